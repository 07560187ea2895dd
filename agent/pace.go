package agent

import (
	"math"
	"time"
)

const (
	// paceWeight is the share of a new run in the mean: some six runs show an
	// upstream that has become four times slower.
	paceWeight = 0.2
	// paceSamples is how many runs a mean takes.
	paceSamples = 4
)

// pace tracks how long tasks take at the upstream against what was declared, as
// a mean of logarithms, over the tasks of all entries.
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

// value returns the mean, zero while it says nothing.
func (p *pace) value() float32 {
	if p.n < paceSamples {
		return 0
	}
	return float32(p.mean)
}
