// Package quota bounds the rate of a team's tasks with a token bucket. It
// reaches no clock: the time since the process started is passed in.
package quota

import (
	"math"
	"time"
)

// Forever is the wait for tasks that no amount of waiting admits.
const Forever time.Duration = math.MaxInt64

// tolerance is how much of a token may be missing, so that rounding never
// refuses tasks that have waited as long as they were told.
const tolerance = 1e-6

// Bucket is a token bucket. The zero value admits everything.
type Bucket struct {
	// rate is in tokens a second; zero means no bound.
	rate  float64
	burst float64
	// tokens is what was there at the time at; it is negative after a job
	// larger than the burst.
	tokens     float64
	refilledAt time.Duration
}

// New returns a full bucket that gains rate tokens a second up to burst. A
// rate of zero means no bound.
func New(now time.Duration, rate, burst float64) *Bucket {
	b := &Bucket{refilledAt: now}
	b.SetLimits(now, rate, burst)
	b.tokens = b.burst
	return b
}

// SetLimits changes the rate and the burst. Tokens gained so far stay, up to
// the new burst. A burst below one counts as one, so that a task can ever fit.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	unbound := b.rate <= 0
	b.rate, b.burst = rate, max(1, burst)
	if unbound {
		b.tokens = b.burst
	}
	b.tokens = min(b.tokens, b.burst)
}

// Take admits n tasks together or none. If it admits none, wait is how long
// until they would fit if nobody else took tokens. Tasks above the burst are
// admitted by a full bucket, which then owes the rest.
func (b *Bucket) Take(now time.Duration, n int) (ok bool, wait time.Duration) {
	if b.rate <= 0 {
		return true, 0
	}
	b.refill(now)
	if wait := b.wait(n); wait > 0 {
		return false, wait
	}
	b.tokens -= float64(n)
	return true, 0
}

// Wait returns how long until n tasks fit, without taking them.
func (b *Bucket) Wait(now time.Duration, n int) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	return b.wait(n)
}

// Return gives back the tokens of n tasks that were admitted but did not run.
func (b *Bucket) Return(now time.Duration, n int) {
	b.refill(now)
	b.tokens = min(b.tokens+float64(n), b.burst)
}

func (b *Bucket) wait(n int) time.Duration {
	missing := min(float64(n), b.burst) - b.tokens
	if missing <= tolerance {
		return 0
	}
	wait := math.Ceil(missing / b.rate * float64(time.Second))
	if wait >= float64(Forever) {
		return Forever
	}
	return time.Duration(wait)
}

// refill adds what was gained since the last call. A time in the past adds
// nothing.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}
