package queue

import (
	"math"
	"time"
)

// decayingMean is an exponentially weighted mean of a count over time.
type decayingMean struct {
	// timeConstant is the age at which the weight of a count has fallen to 1/e.
	timeConstant time.Duration
	value        float64
	updatedAt    time.Duration
}

// advance records that the count has been n since the previous call and returns
// the mean.
func (m *decayingMean) advance(now time.Duration, n int) float64 {
	if now > m.updatedAt {
		retained := math.Exp(-(now - m.updatedAt).Seconds() / m.timeConstant.Seconds())
		m.value = m.value*retained + float64(n)*(1-retained)
		m.updatedAt = now
	}
	return m.value
}
