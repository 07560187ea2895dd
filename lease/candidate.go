package lease

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

const (
	// maxCandidates bounds the announced processes that are checked at a time.
	maxCandidates = 4
	// maxCandidateCalls bounds the calls to a candidate that does not answer. Its next
	// announcement starts them anew.
	maxCandidateCalls = 20
	// maxSeqStep bounds by how much an announcement's number may exceed the last one.
	maxSeqStep = 1 << 20
)

// candidate is a process that has announced itself beside the present upstream. Anyone
// can send an announcement, and the runs of the present upstream are given up with it,
// so that the candidate first has to answer under the instance that it announced.
type candidate struct {
	Announced
	// call is the hold in flight; zero if none.
	call     CallID
	deadline time.Duration
	calls    int
	retryAt  time.Duration
	// verified is set once the process has answered while the present upstream may
	// still have runs.
	verified bool
}

// propose starts to check the process of an announcement.
func (s *State) propose(ev Announced) {
	i := slices.IndexFunc(s.candidates, func(c *candidate) bool { return c.Upstream.Instance == ev.Upstream.Instance })
	switch {
	case i >= 0:
		if c := s.candidates[i]; ev.Seq > c.Seq {
			c.Announced, c.calls = ev, 0
		}
		return
	case len(s.candidates) == maxCandidates:
		s.log("announcement ignored, too many processes are being checked", "instance", ev.Upstream.Instance)
		return
	}
	s.log("checking announced upstream", "instance", ev.Upstream.Instance, "addr", ev.Upstream.Addr, "present", s.upstream.Instance)
	c := &candidate{Announced: ev}
	s.candidates = append(s.candidates, c)
	s.callCandidate(c)
}

// callCandidate requests the lists of a candidate without a lease.
func (s *State) callCandidate(c *candidate) {
	c.call, c.deadline = s.nextCall(), s.now+s.cfg.AnswerTimeout
	c.calls++
	s.emit(HoldCall{
		Call: c.call, Target: Target{Addr: c.Upstream.Addr, Instance: c.Upstream.Instance},
		Fence: s.fence, AnswerTimeout: s.cfg.AnswerTimeout,
	})
}

// candidateAnswered handles the answer to a call to a candidate. It reports whether the
// call was one.
func (s *State) candidateAnswered(ev HoldAnswered) bool {
	i := slices.IndexFunc(s.candidates, func(c *candidate) bool { return c.call == ev.Call })
	if i < 0 {
		return false
	}
	switch c := s.candidates[i]; ev.Result {
	case HoldOK:
		s.verifyCandidate(c)
	case HoldFenced:
		s.fence += fenceIncrement
		s.verifyCandidate(c)
	default:
		s.candidateFailed(c)
	}
	return true
}

// verifyCandidate makes a process that has answered the upstream, as soon as the present
// one can have no more runs.
func (s *State) verifyCandidate(c *candidate) {
	c.call, c.verified = 0, true
	if !s.mayOutlive(c) {
		s.replaceUpstream(c.Announced)
		return
	}
	s.log("announced upstream waits for the end of the present one", "instance", c.Upstream.Instance,
		"addr", c.Upstream.Addr, "present", s.upstream.Instance, "runs", len(s.runs))
	s.requestLists()
}

// mayOutlive reports whether the present upstream may live and run tasks although a
// candidate has answered. Two processes can't listen at one address.
func (s *State) mayOutlive(c *candidate) bool {
	return s.haveUpstream && s.hasRuns() && c.Upstream.Addr != s.upstream.Addr
}

func (s *State) hasVerifiedCandidate() bool {
	return slices.ContainsFunc(s.candidates, func(c *candidate) bool { return c.verified })
}

func (s *State) candidateFailed(c *candidate) {
	c.call, c.retryAt = 0, s.now+retryDelay
	if c.calls < maxCandidateCalls {
		return
	}
	s.log("announced upstream does not answer", "instance", c.Upstream.Instance, "addr", c.Upstream.Addr, "calls", c.calls)
	s.candidates = slices.DeleteFunc(s.candidates, func(o *candidate) bool { return o == c })
}

// checkCandidates repeats the calls to candidates that have not answered, and uses the
// latest one that has once the present upstream has ended.
func (s *State) checkCandidates() {
	var next *candidate
	for _, c := range s.candidates {
		if c.verified && !s.mayOutlive(c) && (next == nil || c.Born > next.Born) {
			next = c
		}
	}
	if next != nil {
		s.replaceUpstream(next.Announced)
	}
	for _, c := range slices.Clone(s.candidates) {
		switch {
		case c.verified:
		case c.call != 0 && s.now >= c.deadline:
			s.candidateFailed(c)
		case c.call == 0 && s.now >= c.retryAt:
			s.callCandidate(c)
		}
	}
}

// replaceUpstream makes an announced process the upstream and requests its lists. The
// runs of the one before have ended with it, but starts that were meant for it may have
// reached a successor under its id, or may yet: the lists are requested under a higher
// token, so that they show all that it has accepted and it accepts no more of them.
func (s *State) replaceUpstream(ev Announced) {
	s.log("upstream instance changed", "instance", ev.Upstream.Instance, "before", s.upstream.Instance)
	s.candidates = slices.DeleteFunc(s.candidates, func(c *candidate) bool {
		return c.Born < ev.Born || c.Upstream.Instance == ev.Upstream.Instance
	})
	if ev.Upstream.Addr == s.target.Addr {
		s.notifyCrash() // at another address, the present process was only silent
	}
	if s.haveUpstream {
		s.notify(agent.Left{Instance: s.upstream.Instance})
	}
	s.endProcess(ev.ID == s.lastAnnounced.ID && ev.Upstream.Addr == s.target.Addr)
	s.haveUpstream, s.reconciled = true, false
	s.clock, s.clockAt, s.latestLeaseEnd = 0, 0, 0
	s.lastEndSeq, s.ackedSeq = 0, 0
	s.fence++
	for _, r := range s.runs {
		r.fence = s.fence
	}
	if ev.Upstream.Instance != s.lastAnnounced.Upstream.Instance {
		s.hasPredecessor = ev.ID == s.lastAnnounced.ID
	}
	s.renewUpstream(ev)
	s.requestLists()
}

// keepAddress keeps the address of the present upstream while it has runs: what answers
// at another one, or that nothing does, says nothing of them.
func (s *State) keepAddress(ev *Announced) {
	if ev.Upstream.Addr == s.target.Addr || !s.hasRuns() && len(s.unknownRuns) == 0 {
		return
	}
	s.log("present upstream was announced at another address", "instance", ev.Upstream.Instance, "addr", ev.Upstream.Addr, "kept", s.target.Addr)
	ev.Upstream.Addr = s.target.Addr
}

// renewUpstream applies an announcement of the present upstream.
func (s *State) renewUpstream(ev Announced) {
	s.lastAnnounced = ev
	s.observeClock(ev.Clock)
	s.upstream = ev.Upstream
	s.target = Target{Addr: ev.Upstream.Addr, Instance: ev.Upstream.Instance}
	if s.reconciled {
		s.notify(agent.Announced{Upstream: ev.Upstream})
	}
}

// isStale reports whether an announcement is older than what is known, or can't follow
// it. Until the present upstream has answered, what it announced may be another
// writer's, and sets no bound for others.
func (s *State) isStale(ev Announced) bool {
	last := &s.lastAnnounced
	if ev.Born == last.Born && ev.ID == last.ID {
		return ev.Seq <= last.Seq || last.ID != "" && ev.Seq-last.Seq > maxSeqStep
	}
	return ev.Born < s.verifiedBorn
}
