// Package quota bounds the rate of a team's tasks with a token bucket. It does
// not read the clock: callers pass in the time since the process started.
package quota

import (
	"math"
	"time"
)

// Forever is the wait for tasks that cannot be admitted within the range of
// time.Duration.
const Forever time.Duration = math.MaxInt64

// tolerance is the fraction of a token that may be missing. It prevents rounding
// errors from rejecting tasks that waited for the returned time.
const tolerance = 1e-6

// Bucket is a token bucket. The zero value admits everything.
type Bucket struct {
	// rate is in tokens per second; zero means unlimited.
	rate  float64
	burst float64
	// tokens is the balance at the time refilledAt. It is negative after a job
	// larger than the burst.
	tokens     float64
	refilledAt time.Duration
}

// New returns a full bucket that gains rate tokens per second up to burst. A
// rate of zero means unlimited.
func New(now time.Duration, rate, burst float64) *Bucket {
	b := &Bucket{refilledAt: now}
	b.SetLimits(now, rate, burst)
	b.tokens = b.burst
	return b
}

// SetLimits changes the rate and the burst. It keeps the current tokens, up to
// the new burst; a bucket that was unlimited starts full. A burst below one
// counts as one, because no task would fit otherwise.
func (b *Bucket) SetLimits(now time.Duration, rate, burst float64) {
	b.refill(now)
	wasUnlimited := b.rate <= 0
	b.rate, b.burst = rate, max(1, burst)
	if wasUnlimited {
		b.tokens = b.burst
	}
	b.tokens = min(b.tokens, b.burst)
}

// Take admits all n tasks or none. If it admits none, wait is the time until
// they fit, provided that no other tokens are taken. A full bucket admits more
// tasks than the burst; its balance then becomes negative.
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

// Wait returns the time until n tasks fit, without taking tokens.
func (b *Bucket) Wait(now time.Duration, n int) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	return b.wait(n)
}

// Return returns the tokens of n tasks that were admitted but did not run.
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

// refill adds the tokens gained since the last call. A time in the past adds
// none.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}
