package agent

import (
	"bytes"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxCancellations bounds the cancelled jobs that an agent remembers, and the
	// withdrawals that it has not answered.
	maxCancellations = 1 << 15
	// cancellationRetention is how long a cancelled job is remembered. Copies of its
	// request arrive up to seconds after its end.
	cancellationRetention = 30 * time.Second
	// cancellationSweepInterval is the time between two searches for cancellations that
	// need not be remembered.
	cancellationSweepInterval = time.Second
)

// cancellation is the last cancellation of a job that entries have passed on. It ends the
// submissions that arrived at their entries before, also those whose requests for the lock
// arrive later. If there was one, the job has ended, and so do later submissions of it.
type cancellation struct {
	ref string
	// at is when the cancellation was sent.
	at    time.Duration
	until time.Duration
	// found is set if there is a submission that the unanswered withdrawals end. ended is
	// set once there was one: the job is over for good.
	found, ended bool
	// asked are the withdrawals without an answer.
	asked []withdrawal
}

type withdrawal struct {
	entry   uint64 // incarnation
	request uint64
}

type cancellations struct {
	byRef map[string]*cancellation
	// pending lists those with unanswered withdrawals, whose number is asked.
	pending []*cancellation
	asked   int
	sweepAt time.Duration
}

// handleWithdrawals records the cancellations that an entry passes on. One for which there
// is no room gets no answer.
func (s *State) handleWithdrawals(e *entry, list []wire.Withdrawal, lag time.Duration) {
	for i := range list {
		w := &list[i]
		t := &s.cancellations
		c := t.byRef[w.Ref]
		if t.asked >= maxCancellations || c == nil && len(t.byRef) >= maxCancellations {
			continue
		}
		if c == nil {
			c = &cancellation{ref: w.Ref, at: s.now - lag}
			t.byRef[w.Ref] = c
		}
		c.at, c.until = max(c.at, s.now-lag), s.now+cancellationRetention
		if len(c.asked) == 0 {
			c.found = false
			t.pending = append(t.pending, c)
		}
		c.asked = append(c.asked, withdrawal{e.peer.Incarnation, w.Request})
		t.asked++
		s.tellCancelled(c)
	}
}

// claimed applies an earlier cancellation of a job to a request for its lock.
func (s *State) claimed(ref string) {
	if c := s.cancellations.byRef[ref]; c != nil && s.now < c.until {
		s.tellCancelled(c)
	}
}

// tellCancelled tells the entries of the submissions that c ends, once on each session.
func (s *State) tellCancelled(c *cancellation) {
	s.eachCancelled(c, func(claim *lockClaim, e *entry) {
		c.found, c.ended = true, true
		if claim.toldSeq == 0 && e.session != 0 {
			claim.toldSeq = e.reportSeq + 1
			e.cancelled = append(e.cancelled, wire.LockRef{Ref: c.ref, Submission: claim.submission})
		}
	})
}

// eachCancelled calls do for each submission that c ends, that may have runs or wait for
// the lock, and whose entry is known. The runs of an entry that was restarted are being
// stopped anyway.
func (s *State) eachCancelled(c *cancellation, do func(*lockClaim, *entry)) {
	l := s.locks.byRef[c.ref]
	if l == nil {
		return
	}
	for _, claim := range []*lockClaim{&l.holder, l.waiter} {
		if claim == nil || claim.arrivedAt > c.at && !c.ended || s.now >= claim.until {
			continue
		}
		if e := s.entries[claim.entry]; e != nil {
			do(claim, e)
		}
	}
}

// repeatCancellations tells an entry on its new session which of its submissions are
// cancelled. The report that told it on the last one may be lost.
func (s *State) repeatCancellations(e *entry) {
	e.cancelled, e.withdrawn = nil, nil
	for _, c := range s.cancellations.byRef {
		if s.now >= c.until {
			continue
		}
		s.eachCancelled(c, func(claim *lockClaim, o *entry) {
			if o == e {
				claim.toldSeq = 0
			}
		})
		s.tellCancelled(c)
	}
	slices.SortFunc(e.cancelled, func(a, b wire.LockRef) int { return bytes.Compare(a.Submission[:], b.Submission[:]) })
}

// settleCancellations answers the withdrawals of jobs whose submissions are over, or whose
// entries have acknowledged the report that told them.
func (s *State) settleCancellations() {
	t := &s.cancellations
	t.pending = slices.DeleteFunc(t.pending, func(c *cancellation) bool {
		open := false
		s.eachCancelled(c, func(claim *lockClaim, e *entry) {
			open = open || !e.heedsCancelled || claim.toldSeq == 0 || e.ackedSeq < claim.toldSeq
		})
		if open && s.now < c.until {
			return false
		}
		if !open {
			s.answerWithdrawals(c)
		}
		t.asked -= len(c.asked)
		c.asked = nil
		return true
	})
	if s.now < t.sweepAt {
		return
	}
	t.sweepAt = s.now + cancellationSweepInterval
	for ref, c := range t.byRef {
		if s.now >= c.until {
			delete(t.byRef, ref)
		}
	}
}

func (s *State) answerWithdrawals(c *cancellation) {
	for _, w := range c.asked {
		if e := s.entries[w.entry]; e != nil && e.session != 0 {
			e.withdrawn = append(e.withdrawn, wire.WithdrawalAnswer{Request: w.request, Found: c.found})
		}
	}
}

// hasCancellationNews reports whether the next report to the entry says something about
// cancelled jobs.
func (e *entry) hasCancellationNews() bool { return len(e.cancelled)+len(e.withdrawn) > 0 }
