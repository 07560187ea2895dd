package limit

import "time"

// Scale adjusts the limit and the known rate to a sudden change of the capacity by
// the given factor, which the outcomes of the next windows would show only gradually.
// It answers a load that stays the same while a part of the upstreams is withdrawn.
func (l *Limiter) Scale(now time.Duration, factor float64) {
	l.advance(now)
	l.rate *= factor
	l.limit = min(max(l.limit*factor, l.minLimit), l.maxLimit)
}
