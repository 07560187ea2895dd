package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// health judges an upstream by what it starts. Distinct submissions are
// counted, so that one job whose every task fails ejects no upstream.
type health struct {
	after       int
	first, most time.Duration

	failing   []task.SubmissionID
	suspended bool
	probation bool
	until     time.Duration
	backoff   time.Duration
}

// failed notes a failure and reports whether the upstream is now suspended.
func (h *health) failed(now time.Duration, id task.SubmissionID) bool {
	if h.suspended {
		return false
	}
	if !slices.Contains(h.failing, id) {
		h.failing = append(h.failing, id)
	}
	if !h.probation && len(h.failing) < h.after {
		return false
	}
	h.backoff = min(max(2*h.backoff, h.first), h.most)
	h.until = now + h.backoff
	h.suspended, h.probation = true, false
	h.failing = h.failing[:0]
	return true
}

// succeeded notes a success, which ends a probation.
func (h *health) succeeded() {
	h.failing = h.failing[:0]
	if h.suspended {
		return
	}
	h.probation = false
	h.backoff = 0
}

// tick turns a suspension that has run out into probation.
func (h *health) tick(now time.Duration) {
	if h.suspended && now >= h.until {
		h.suspended, h.probation = false, true
	}
}
