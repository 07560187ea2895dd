package lease

import (
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// maxCarried bounds the time for which a run is carried over while nobody answers at the
// address of its process. Upstreams carry out calls up to 12 s late.
const maxCarried = 14 * time.Second

// carry keeps a run until the lists of the successor show whether it is there.
func (s *State) carry(r *run) {
	r.phase, r.carriedAt = phaseUnconfirmed, s.target.Addr
	r.carriedUntil = s.now + maxCarried
	s.log("run may be at the successor", "task", r.key.task, "run", r.key.run, "instance", s.upstream.Instance)
	if s.guard.target != s.target || s.guard.call == 0 {
		s.guard = guard{target: s.target}
	}
}

// guard keeps the successor of a process that has ended from carrying out calls that were
// meant for that one, by a hold under a higher token, until one is answered.
type guard struct {
	target   Target
	call     CallID
	sentAt   time.Duration
	deadline time.Duration
	retryAt  time.Duration
}

// sendGuard sends the hold of the guard while it is needed.
func (s *State) sendGuard() {
	g := &s.guard
	if g.call != 0 && s.now >= g.deadline {
		g.call, g.retryAt = 0, s.now+retryDelay
	}
	if g.call != 0 || s.now < g.retryAt || !s.awaitsGuard() {
		return
	}
	s.fence++
	g.call, g.sentAt, g.deadline = s.nextCall(), s.now, s.now+s.cfg.AnswerTimeout
	s.emit(HoldCall{Call: g.call, Target: g.target, Fence: s.fence, AnswerTimeout: s.cfg.AnswerTimeout})
}

// awaitsGuard reports whether there is a carried run that neither the guard nor the lists
// of an upstream at its address have dealt with.
func (s *State) awaitsGuard() bool {
	if s.haveUpstream && s.target.Addr == s.guard.target.Addr {
		return false
	}
	for _, r := range s.runs {
		if r.carriedAt != "" && r.carriedAt == s.guard.target.Addr && !r.guarded {
			return true
		}
	}
	return false
}

// guardAnswered handles the answer to the hold of the guard. Once the successor has seen
// the token it accepts none of the starts, and what it runs ends with its lease. Where
// nothing listens, nobody runs what was sent in time before.
func (s *State) guardAnswered(ev HoldAnswered) bool {
	g := &s.guard
	if g.call == 0 || ev.Call != g.call {
		return false
	}
	g.call, g.retryAt = 0, s.now+retryDelay
	for _, r := range s.sortedRuns() {
		switch {
		case r.carriedAt == "" || r.carriedAt != g.target.Addr:
		case ev.Result == HoldOK, ev.Result == HoldSuccessor, ev.Result == HoldFenced:
			r.guarded, r.carriedUntil = true, s.now+s.cfg.RunsEndWithin()
		case ev.Result == HoldWrongInstance, ev.Result == HoldRefused && r.sentAt+s.cfg.AnswerTimeout <= g.sentAt:
			s.end(r, agent.EndCutOff)
		}
	}
	return true
}

// overAtSuccessor returns when a run has ended that an unknown successor accepted or
// renewed by a call sent until sentAt. Its clock is another one, so that it grants a whole
// lease from the arrival of the call.
func (s *State) overAtSuccessor(sentAt time.Duration) time.Duration {
	return sentAt + s.cfg.Wait + s.cfg.AnswerTimeout + s.cfg.RunsEndWithin()
}

// matchCarried compares a run of a process that has ended with the lists of the present
// one, if that listens at the same address. Under the higher token they show every start
// that it has accepted and will accept.
func (s *State) matchCarried(h hold, r *run, listed bool) {
	switch {
	case r.carriedAt != s.target.Addr:
	case listed:
		s.log("run goes on at the successor", "task", r.key.task, "run", r.key.run, "instance", s.upstream.Instance)
		r.phase, r.lastCall, r.pinned, r.byOther, r.carriedAt = phaseRunning, s.lastCallID, true, false, ""
	case h.fence >= r.fence:
		s.log("run is not at the successor", "task", r.key.task, "run", r.key.run, "instance", s.upstream.Instance)
		s.end(r, agent.EndCutOff)
	}
}

// expireCarried ends the runs of which no successor has told in time.
func (s *State) expireCarried() {
	for _, r := range s.sortedRuns() {
		if r.carriedAt != "" && s.now >= r.carriedUntil {
			s.log("run has expired at the successor", "task", r.key.task, "run", r.key.run, "addr", r.carriedAt)
			s.end(r, agent.EndCutOff)
		}
	}
}
