package queue

import (
	"math"
	"time"
)

// decayingMean is a mean of a count over time, weighted towards the present.
type decayingMean struct {
	// timeConstant is the time after which a count weighs 1/e.
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

// advance takes in that the count was n since the last call, and returns the
// mean.
func (m *decayingMean) advance(now time.Duration, n int) float64 {
	if now > m.updatedAt {
		keep := math.Exp(-(now - m.updatedAt).Seconds() / m.timeConstant.Seconds())
		m.value = m.value*keep + float64(n)*(1-keep)
		m.updatedAt = now
	}
	return m.value
}
