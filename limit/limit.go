// Package limit bounds how many tasks of a service may be in the system, by
// what its upstreams finish in time. It reaches no clock: the time since the
// process started is passed in.
package limit

import "time"

const (
	// window is the time over which outcomes are judged together.
	window = time.Second
	// targetWait is the share of a task's slack, its deadline less its run
	// time, that it should spend waiting when the limit is reached.
	targetWait = 0.6
	// lateShare is the share of late tasks above which the limit shrinks in
	// any case.
	lateShare = 0.05
	// shrink and grow bound the change of the limit in one window.
	shrink = 0.8
	grow   = 1.1
	// growStep is added besides, so that a small limit grows too.
	growStep = 1
	// pressure is the share of the limit that must have been in use for it to
	// grow: one that nobody reaches says nothing.
	pressure = 0.8
	// smoothing is the weight of the newest window in the rate.
	smoothing = 0.3
)

// Bounds of what a refused caller is told to wait.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// unknownRetryAfter is told while no task has finished yet.
	unknownRetryAfter = time.Second
)

// Limiter is the limit of one service. Each window it moves so that the tasks
// which wait behind it spend targetWait of their slack waiting: the wait is in
// proportion to the limit, and is known before any task is late.
type Limiter struct {
	low, high float64
	limit     float64
	// rate is the smoothed count of tasks a second that finish in time.
	rate  float64
	known bool

	end          time.Duration
	inTime, late int
	// waited sums the shares of slack spent waiting.
	waited float64
	// peak is the most tasks in the system that Admit was told of.
	peak int
}

// New returns a limiter that starts at, and never exceeds, high; it never
// falls below low.
func New(now time.Duration, low, high int) *Limiter {
	l := &Limiter{end: now + window}
	l.SetBounds(low, high)
	l.limit = l.high
	return l
}

// SetBounds changes the bounds.
func (l *Limiter) SetBounds(low, high int) {
	l.low = float64(max(1, low))
	l.high = max(l.low, float64(high))
	l.limit = min(max(l.limit, l.low), l.high)
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

// Finished counts a task that ended after it had waited and run. One that ran
// beyond its deadline counts as late.
func (l *Limiter) Finished(now, waited, ran, deadline time.Duration) {
	if waited+ran > deadline {
		l.Late(now)
		return
	}
	l.advance(now)
	l.inTime++
	if slack := deadline - ran; slack > 0 {
		l.waited += float64(waited) / float64(slack)
	}
}

// Late counts a task that ran into its deadline, started or not.
func (l *Limiter) Late(now time.Duration) {
	l.advance(now)
	l.late++
	l.waited++
}

// RetryAfter returns when n more tasks should have finished.
func (l *Limiter) RetryAfter(now time.Duration, n int) time.Duration {
	l.advance(now)
	return l.retryAfter(float64(n))
}

func (l *Limiter) retryAfter(excess float64) time.Duration {
	if !l.known || l.rate <= 0 {
		return unknownRetryAfter
	}
	wait := excess / l.rate * float64(time.Second)
	return time.Duration(min(max(wait, float64(MinRetryAfter)), float64(MaxRetryAfter)))
}

// advance closes the windows that have ended by now.
func (l *Limiter) advance(now time.Duration) {
	if now < l.end {
		return
	}
	l.close()
	skipped := (now - l.end) / window
	l.end += (skipped + 1) * window
}

func (l *Limiter) close() {
	total := float64(l.inTime + l.late)
	if total > 0 {
		l.adjust(total)
		l.observe(float64(l.inTime) / window.Seconds())
	}
	l.inTime, l.late, l.waited, l.peak = 0, 0, 0, 0
}

// adjust moves the limit by the outcomes of a window.
func (l *Limiter) adjust(total float64) {
	wait := l.waited / total
	pressed := float64(l.peak) >= pressure*l.limit
	switch {
	case float64(l.late) > lateShare*total:
		l.limit = min(l.limit, float64(l.peak)) * max(shrink, min(1, targetWait/wait))
	case wait > targetWait:
		l.limit *= max(shrink, targetWait/wait)
	case pressed:
		l.limit = l.limit*min(grow, targetWait/max(wait, targetWait/grow)) + growStep
	}
	l.limit = min(max(l.limit, l.low), l.high)
}

func (l *Limiter) observe(rate float64) {
	if !l.known {
		l.known, l.rate = true, rate
		return
	}
	l.rate += smoothing * (rate - l.rate)
}
