package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// health suspends an upstream on which the tasks of several submissions fail.
// It counts distinct submissions, so that a single job whose tasks all fail does
// not suspend the upstream.
type health struct {
	threshold                      int
	firstSuspension, maxSuspension time.Duration

	failedSubmissions []task.SubmissionID
	suspended         bool
	probation         bool
	suspendedUntil    time.Duration
	backoff           time.Duration
}

// recordFailure records a failure and reports whether it suspended the upstream.
func (h *health) recordFailure(now time.Duration, id task.SubmissionID) bool {
	if h.suspended {
		return false
	}
	if !slices.Contains(h.failedSubmissions, id) {
		h.failedSubmissions = append(h.failedSubmissions, id)
	}
	if !h.probation && len(h.failedSubmissions) < h.threshold {
		return false
	}
	h.backoff = min(max(2*h.backoff, h.firstSuspension), h.maxSuspension)
	h.suspendedUntil = now + h.backoff
	h.suspended, h.probation = true, false
	h.failedSubmissions = h.failedSubmissions[:0]
	return true
}

// recordSuccess records a success, which ends a probation.
func (h *health) recordSuccess() {
	h.failedSubmissions = h.failedSubmissions[:0]
	if h.suspended {
		return
	}
	h.probation = false
	h.backoff = 0
}

// expireSuspension replaces a suspension that has expired by probation.
func (h *health) expireSuspension(now time.Duration) {
	if h.suspended && now >= h.suspendedUntil {
		h.suspended, h.probation = false, true
	}
}
