package entry

import "time"

const (
	// rateWindow is the time over which the rate of completed tasks is taken.
	rateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound what callers are told to wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// drainRetry, noUpstreamRetry, lostRetry and claimsRetry are when to come
	// back for the refusals that no rate can tell of.
	drainRetry      = time.Second
	noUpstreamRetry = 2 * time.Second
	lostRetry       = time.Second
	claimsRetry     = time.Second
)

// rate counts completed tasks in two alternating windows.
type rate struct {
	start    time.Duration
	now      float64
	previous float64
}

func (r *rate) observe(now time.Duration) {
	r.roll(now)
	r.now++
}

func (r *rate) roll(now time.Duration) {
	switch age := now - r.start; {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.previous, r.now = r.now, 0
		r.start += rateWindow
	default:
		r.previous, r.now = 0, 0
		r.start = now
	}
}

// perSecond estimates the completed tasks a second.
func (r *rate) perSecond(now time.Duration) float64 {
	r.roll(now)
	share := (now - r.start).Seconds() / rateWindow.Seconds()
	return (r.previous*(1-share) + r.now) / rateWindow.Seconds()
}

// timeFor estimates when n tasks will have ended.
func (r *rate) timeFor(n int, now time.Duration) time.Duration {
	per := r.perSecond(now)
	if per <= 0 {
		return noUpstreamRetry
	}
	d := time.Duration(float64(n) / per * float64(time.Second))
	return min(max(d, minRetryAfter), maxRetryAfter)
}
