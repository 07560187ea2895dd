package agent

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of a new run in the moving average. With it,
	// about six runs are enough to detect an upstream that has become four
	// times slower.
	ratioWeight = 0.2
	// minRatioSamples is the minimum number of runs for a valid mean.
	minRatioSamples = 4
)

// runTimeRatio tracks the ratio of actual to declared run times at the upstream,
// over the tasks of all entries, as a moving average of its logarithm.
type runTimeRatio struct {
	mean float64
	n    int
}

func (p *runTimeRatio) observe(declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	p.n++
	p.mean += max(ratioWeight, 1/float64(p.n)) * (math.Log(ran.Seconds()/declared.Seconds()) - p.mean)
}

// value returns the mean logarithm, or zero while there are fewer than
// minRatioSamples runs.
func (p *runTimeRatio) value() float32 {
	if p.n < minRatioSamples {
		return 0
	}
	return float32(p.mean)
}
