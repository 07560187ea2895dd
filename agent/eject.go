package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// health judges an upstream by what it starts. Distinct submissions are
// counted, so that one job whose every task fails ejects no upstream.
type health struct {
	threshold                      int
	firstSuspension, maxSuspension time.Duration

	failedSubmissions []task.SubmissionID
	suspended         bool
	probation         bool
	suspendedUntil    time.Duration
	backoff           time.Duration
}

// failed notes a failure and reports whether the upstream is now suspended.
func (h *health) failed(now time.Duration, id task.SubmissionID) bool {
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

// succeeded notes a success, which ends a probation.
func (h *health) succeeded() {
	h.failedSubmissions = h.failedSubmissions[:0]
	if h.suspended {
		return
	}
	h.probation = false
	h.backoff = 0
}

// expireSuspension turns a suspension that has run out into probation.
func (h *health) expireSuspension(now time.Duration) {
	if h.suspended && now >= h.suspendedUntil {
		h.suspended, h.probation = false, true
	}
}
