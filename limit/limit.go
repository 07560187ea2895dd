// Package limit bounds how many tasks of a service may be in the system, by
// what its upstreams finish in time. It reaches no clock: the time since the
// process started is passed in.
package limit

import "time"

const (
	// window is the time over which outcomes are judged together.
	window = time.Second
	// targetWaitShare is the share of a task's slack, its deadline less its run
	// time, that it should spend waiting when the limit is reached.
	targetWaitShare = 0.6
	// maxLateShare is the share of late tasks above which the limit shrinks in
	// any case.
	maxLateShare = 0.05
	// minFactor and grow bound the change of the limit in one window.
	minFactor = 0.8
	maxFactor = 1.1
	// additiveIncrease is added besides, so that a small limit grows too.
	additiveIncrease = 1
	// minUtilisation is the share of the limit that must have been in use for it to
	// grow: one that nobody reaches says nothing.
	minUtilisation = 0.8
	// rateSmoothing is the weight of the newest window in the rate.
	rateSmoothing = 0.3
)

// Bounds of what a refused caller is told to wait.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// defaultRetryAfter is told while no task has finished yet.
	defaultRetryAfter = time.Second
)

// Limiter is the limit of one service. Each window it moves so that the tasks
// which wait behind it spend targetWait of their slack waiting: the wait is in
// proportion to the limit, and is known before any task is late.
type Limiter struct {
	minLimit, maxLimit float64
	limit              float64
	// rate is the smoothed count of tasks a second that finish in time.
	rate      float64
	rateKnown bool

	windowEnd    time.Duration
	inTime, late int
	// waitShareSum sums the shares of slack spent waiting.
	waitShareSum float64
	// peak is the most tasks in the system that Admit was told of.
	peak int
}

// New returns a limiter that starts at, and never exceeds, high; it never
// falls below low.
func New(now time.Duration, low, high int) *Limiter {
	l := &Limiter{windowEnd: now + window}
	l.SetBounds(low, high)
	l.limit = l.maxLimit
	return l
}

// SetBounds changes the bounds.
func (l *Limiter) SetBounds(low, high int) {
	l.minLimit = float64(max(1, low))
	l.maxLimit = max(l.minLimit, float64(high))
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

// Limit returns how many tasks may be in the system.
func (l *Limiter) Limit(now time.Duration) int {
	l.advance(now)
	return int(l.limit)
}

// Admit reports whether n more tasks may enter besides those in the system. If
// not, retryAfter is when there should be room for them. A job larger than the
// limit is admitted by an empty system, since no wait would help it.
func (l *Limiter) Admit(now time.Duration, inSystem, n int) (ok bool, retryAfter time.Duration) {
	l.advance(now)
	l.peak = max(l.peak, inSystem+n)
	if inSystem == 0 || float64(inSystem+n) <= l.limit {
		return true, 0
	}
	return false, l.retryAfter(float64(inSystem+n) - l.limit)
}

// RecordFinished counts a task that ended after it had waited and run. One that ran
// beyond its deadline counts as late.
func (l *Limiter) RecordFinished(now, waited, ran, deadline time.Duration) {
	if waited+ran > deadline {
		l.RecordLate(now)
		return
	}
	l.advance(now)
	l.inTime++
	if slack := deadline - ran; slack > 0 {
		l.waitShareSum += float64(waited) / float64(slack)
	}
}

// RecordLate counts a task that ran into its deadline, started or not.
func (l *Limiter) RecordLate(now time.Duration) {
	l.advance(now)
	l.late++
	l.waitShareSum++
}

// RetryAfter returns when n more tasks should have finished.
func (l *Limiter) RetryAfter(now time.Duration, n int) time.Duration {
	l.advance(now)
	return l.retryAfter(float64(n))
}

func (l *Limiter) retryAfter(excess float64) time.Duration {
	if !l.rateKnown || l.rate <= 0 {
		return defaultRetryAfter
	}
	wait := excess / l.rate * float64(time.Second)
	return time.Duration(min(max(wait, float64(MinRetryAfter)), float64(MaxRetryAfter)))
}

// advance closes the windows that have ended by now.
func (l *Limiter) advance(now time.Duration) {
	if now < l.windowEnd {
		return
	}
	l.close()
	skipped := (now - l.windowEnd) / window
	l.windowEnd += (skipped + 1) * window
}

func (l *Limiter) close() {
	total := float64(l.inTime + l.late)
	if total > 0 {
		l.adjust(total)
		l.observeRate(float64(l.inTime) / window.Seconds())
	}
	l.inTime, l.late, l.waitShareSum, l.peak = 0, 0, 0, 0
}

// adjust moves the limit by the outcomes of a window.
func (l *Limiter) adjust(total float64) {
	wait := l.waitShareSum / total
	pressed := float64(l.peak) >= minUtilisation*l.limit
	switch {
	case float64(l.late) > maxLateShare*total:
		l.limit = min(l.limit, float64(l.peak)) * max(minFactor, min(1, targetWaitShare/wait))
	case wait > targetWaitShare:
		l.limit *= max(minFactor, targetWaitShare/wait)
	case pressed:
		l.limit = l.limit*min(maxFactor, targetWaitShare/max(wait, targetWaitShare/maxFactor)) + additiveIncrease
	}
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

func (l *Limiter) observeRate(rate float64) {
	if !l.rateKnown {
		l.rateKnown, l.rate = true, rate
		return
	}
	l.rate += rateSmoothing * (rate - l.rate)
}
