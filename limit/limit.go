// Package limit bounds the number of tasks of a service in the system. It adapts
// the limit to the rate at which the service's upstreams finish tasks before
// their deadlines. It does not read the clock: callers pass in the time since
// the process started.
package limit

import "time"

const (
	// window is the period over which outcomes are aggregated before the limit
	// is adjusted.
	window = time.Second
	// targetWaitShare is the share of a task's slack (its deadline minus its run
	// time) that the task should spend waiting when the limit is reached.
	targetWaitShare = 0.6
	// maxLateShare is the share of late tasks above which the limit is reduced
	// regardless of the wait.
	maxLateShare = 0.05
	// minFactor and maxFactor bound the factor by which the limit changes in one
	// window.
	minFactor = 0.8
	maxFactor = 1.1
	// additiveIncrease is added after each increase by a factor, so that a
	// small limit also grows.
	additiveIncrease = 1
	// minUtilisation is the share of the limit that must have been in use for
	// the limit to grow. A window with less load does not show that a higher
	// limit is sustainable.
	minUtilisation = 0.8
	// rateSmoothing is the weight of the newest window in the moving average of
	// the rate.
	rateSmoothing = 0.3
)

// Bounds of the retry delay that a rejected caller receives.
const (
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 30 * time.Second
	// defaultRetryAfter is the delay while the rate is not known or is zero.
	defaultRetryAfter = time.Second
)

// Limiter limits the tasks of one service. After each window it adjusts the
// limit so that tasks spend targetWaitShare of their slack waiting. It controls
// by the wait because the wait is proportional to the limit and is known before
// any task is late.
type Limiter struct {
	minLimit, maxLimit float64
	limit              float64
	// rate is the moving average of tasks per second that finish in time.
	rate      float64
	rateKnown bool

	windowEnd    time.Duration
	inTime, late int
	// waitShareSum is the sum over tasks of the share of slack spent waiting.
	waitShareSum float64
	// peak is the maximum number of tasks in the system that calls of Admit
	// asked for.
	peak int
}

// New returns a limiter whose limit starts at high and stays between low and
// high.
func New(now time.Duration, low, high int) *Limiter {
	l := &Limiter{windowEnd: now + window}
	l.SetBounds(low, high)
	l.limit = l.maxLimit
	return l
}

// SetBounds changes the bounds of the limit. A low above high takes precedence.
func (l *Limiter) SetBounds(low, high int) {
	l.minLimit = float64(max(1, low))
	l.maxLimit = max(l.minLimit, float64(high))
	l.limit = min(max(l.limit, l.minLimit), l.maxLimit)
}

// Limit returns the number of tasks that may be in the system.
func (l *Limiter) Limit(now time.Duration) int {
	l.advance(now)
	return int(l.limit)
}

// Admit reports whether n more tasks may enter the system in addition to those
// in it. If not, retryAfter is the estimated time until they fit. An empty
// system admits a job of any size, because a job larger than the limit would
// otherwise never be admitted.
func (l *Limiter) Admit(now time.Duration, inSystem, n int) (ok bool, retryAfter time.Duration) {
	l.advance(now)
	l.peak = max(l.peak, inSystem+n)
	if inSystem == 0 || float64(inSystem+n) <= l.limit {
		return true, 0
	}
	return false, l.retryAfter(float64(inSystem+n) - l.limit)
}

// RecordFinished counts a task that ended after it waited and ran for the given
// times. A task that ended after its deadline counts as late.
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

// RecordLate counts a task that reached its deadline, whether or not it started.
func (l *Limiter) RecordLate(now time.Duration) {
	l.advance(now)
	l.late++
	l.waitShareSum++
}

// RetryAfter returns the estimated time until n more tasks finish.
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

// advance closes the windows that ended by now. Only the first of them can have
// outcomes.
func (l *Limiter) advance(now time.Duration) {
	if now < l.windowEnd {
		return
	}
	l.close()
	skipped := (now - l.windowEnd) / window
	l.windowEnd += (skipped + 1) * window
}

// close adjusts the limit and the rate from the outcomes of the window and
// starts an empty one.
func (l *Limiter) close() {
	total := float64(l.inTime + l.late)
	if total > 0 {
		l.adjust(total)
		l.observeRate(float64(l.inTime) / window.Seconds())
	}
	l.inTime, l.late, l.waitShareSum, l.peak = 0, 0, 0, 0
}

// adjust changes the limit according to the outcomes of a window with total
// tasks.
func (l *Limiter) adjust(total float64) {
	waitShare := l.waitShareSum / total
	utilised := float64(l.peak) >= minUtilisation*l.limit
	switch {
	case float64(l.late) > maxLateShare*total:
		l.limit = min(l.limit, float64(l.peak)) * max(minFactor, min(1, targetWaitShare/waitShare))
	case waitShare > targetWaitShare:
		l.limit *= max(minFactor, targetWaitShare/waitShare)
	case utilised:
		l.limit = l.limit*min(maxFactor, targetWaitShare/max(waitShare, targetWaitShare/maxFactor)) + additiveIncrease
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
