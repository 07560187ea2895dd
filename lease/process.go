package lease

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// A run has ended with its process only once that process is known to have ended: its
// address refuses connections or another process answers there. Neither a departure nor
// the announcement of another process shows that.

// maxClockLead is by how much an answer's clock may be ahead of the estimate. The
// estimate is behind by the time that the last answer was under way.
const maxClockLead = time.Second

// left handles a departure. It does not say which incarnation has left, and may
// arrive late, so it counts only if the current one has announced that it drains. The
// process may go on for a while.
func (s *State) left(id string) {
	if !s.haveUpstream || s.lastAnnounced.ID != id || s.departing {
		return
	}
	if !s.upstream.Draining {
		s.log("ignoring departure of an upstream that does not drain", "instance", s.upstream.Instance)
		return
	}
	s.log("upstream is leaving", "instance", s.upstream.Instance, "runs", len(s.runs))
	s.departing = true
	s.notify(agent.Left{Instance: s.upstream.Instance})
	if s.hasRuns() {
		s.requestLists()
	}
}

// hasRuns reports whether the upstream may have runs of this agent.
func (s *State) hasRuns() bool {
	for _, r := range s.runs {
		if r.carriedAt == "" || r.carriedAt == s.target.Addr {
			return true
		}
	}
	return false
}

// finishDeparture drops an upstream that has left once it has no runs.
func (s *State) finishDeparture() {
	if s.departing && !s.hasRuns() {
		s.dropUpstream("upstream has shut down", false)
	}
}

// dropUpstream handles the end of the upstream's process. If succeeded is set, another one
// under its id may have got calls that were meant for it, or may get them yet.
func (s *State) dropUpstream(why string, succeeded bool) {
	s.log(why, "instance", s.upstream.Instance, "runs", len(s.runs))
	s.notifyCrash()
	s.endProcess(succeeded)
	s.haveUpstream, s.verifiedBorn = false, 0
	s.notify(agent.Left{Instance: s.upstream.Instance})
}

// notifyCrash tells the agent that the current process has ended, unless it had
// announced that it would.
func (s *State) notifyCrash() {
	if s.haveUpstream && !s.upstream.Draining {
		unstarted, possible := s.unstarted()
		s.notify(agent.Crashed{Instance: s.upstream.Instance, Unstarted: unstarted, Possible: possible})
	}
}

// unstarted returns the runs that the upstream may never have seen, and those of them whose
// starts were sent to it, so that they may have crashed it all the same.
func (s *State) unstarted() (all, possible []agent.RunID) {
	for _, r := range s.sortedRuns() {
		if !s.mayBeUnseen(r) {
			continue
		}
		all = append(all, r.Run)
		if r.carriedAt == "" && !r.byOther && !r.notSent {
			possible = append(possible, r.Run)
		}
	}
	return all, possible
}

// mayBeUnseen reports whether a run may not have reached the upstream: its start is in
// flight, was not sent, was meant for or accepted by another process, or got no answer
// from a process that has answered nothing since, and may have crashed before.
func (s *State) mayBeUnseen(r *run) bool {
	switch {
	case r.phase == phaseStarting, r.carriedAt != "":
		return true
	case r.phase == phaseRunning:
		return r.byOther
	}
	return r.notSent || s.answeredAt < r.sentAt
}

// endProcess ends the runs of a process that has ended and drops all calls to it. Runs
// that its successor may have accepted are carried over: its lists show them.
func (s *State) endProcess(succeeded bool) {
	for _, r := range s.sortedRuns() {
		switch {
		case r.carriedAt != "":
		case succeeded && r.mayBeAtSuccessor():
			s.carry(r)
		default:
			s.end(r, agent.EndCutOff)
		}
	}
	s.holds = s.holds[:0]
	clear(s.unknownRuns)
	s.stops = slices.DeleteFunc(s.stops, func(p *pendingStop) bool { return s.runs[p.key] == nil })
	s.silence, s.retryAt, s.ackAt, s.departing = silence{}, 0, 0, false
}

// mayBeAtSuccessor reports whether the start may have reached, or may yet reach, the
// successor of the process that it was meant for.
func (r *run) mayBeAtSuccessor() bool {
	return !r.pinned && !(r.phase == phaseUnconfirmed && r.notSent)
}

// pinRuns records that no successor can have the runs whose start was answered or given
// up before a hold was sent to whose address nothing listened.
func (s *State) pinRuns(refused CallID) {
	for _, r := range s.runs {
		if r.phase != phaseStarting && r.lastCall < refused && r.carriedAt == "" {
			r.pinned = true
		}
	}
}

// isOthersClock reports whether the clock in the answer to a start can't be that of the
// present process. The clock of another one starts at any time, so that the reverse does
// not hold.
func (s *State) isOthersClock(r *run, clock time.Duration) bool {
	if clock == 0 || s.clockAt == 0 {
		return false
	}
	return clock < r.sentClock || clock > s.clock+s.now-s.clockAt+maxClockLead
}
