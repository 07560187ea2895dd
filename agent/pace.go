package agent

import (
	"math"
	"time"
)

const (
	// paceWeight is the weight of a new run in the moving average. With it,
	// about six runs are enough to detect an upstream that has become four
	// times slower.
	paceWeight = 0.2
	// paceSamples is the minimum number of runs for a valid mean.
	paceSamples = 4
)

// pace tracks the ratio of actual to declared run times at the upstream, over the
// tasks of all entries, as a moving average of its logarithm.
type pace struct {
	mean float64
	n    int
}

func (p *pace) observe(declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	p.n++
	p.mean += max(paceWeight, 1/float64(p.n)) * (math.Log(ran.Seconds()/declared.Seconds()) - p.mean)
}

// value returns the mean, or zero while there are fewer than paceSamples runs.
func (p *pace) value() float32 {
	if p.n < paceSamples {
		return 0
	}
	return float32(p.mean)
}
