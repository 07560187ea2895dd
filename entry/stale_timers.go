package entry

import "container/heap"

// stale reports whether the timer's handler would do nothing, now and later.
func (t *timer) stale() bool {
	switch t.kind {
	case timerDeadline, timerInfeasible, timerForecastCheck, timerLatestStart, timerLock:
		return t.sub.answered
	case timerCancellation:
		return t.cancellation.decided
	}
	return false
}

// dropStaleTimers removes timers for which the process would wake up in vain. Most
// submissions are answered long before their deadlines.
func (e *Entry) dropStaleTimers() {
	for len(e.timers) > 0 && e.timers[0].stale() {
		heap.Pop(&e.timers)
	}
}
