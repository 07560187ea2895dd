package lease

import (
	"slices"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

// start starts a run. A start past its StartBy is not sent, nor one that was decided for
// another upstream than the present one, which may be of another service.
func (s *State) start(eff agent.StartRun) {
	r := &run{StartRun: eff, key: keyOf(eff), startedAt: s.now}
	switch {
	case !s.haveUpstream || eff.Instance != s.upstream.Instance:
		s.log("start is not sent, the upstream has changed", "task", r.key.task, "run", r.key.run, "decided-for", eff.Instance, "present", s.upstream.Instance)
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndRejected})
		return
	case !s.mayStart():
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndRejected})
		return
	case s.now >= eff.StartBy:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndExpired})
		return
	case s.evacuated:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndEvacuated})
		return
	case s.runs[r.key] != nil || s.unknownRuns[r.key]:
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndRejected})
		return
	case !s.hasRoomFor(r):
		s.notify(agent.RunEnded{Run: eff.Run, End: agent.EndBusy})
		return
	}
	s.runs[r.key], s.runsByID[eff.Run] = r, r
	s.sendStart(r)
}

// hasRoomFor reports whether a run fits the capacity beside all others. The capacity
// may have shrunk since the agent decided on the start.
func (s *State) hasRoomFor(r *run) bool {
	used := r.Need
	for _, o := range s.runs {
		if o != r {
			used = used.Add(o.Need)
		}
	}
	return used == (task.Resources{}) || used.Fits(s.upstream.Offered)
}

func (s *State) sendStart(r *run) {
	r.phase, r.call, r.sentAt, r.fence = phaseStarting, s.nextCall(), s.now, s.fence
	r.lastCall, r.notSent, r.pinned, r.sentClock = r.call, false, false, 0
	if s.clockAt > 0 {
		r.sentClock = s.clockNow()
	}
	s.emit(StartCall{
		Call: r.call, Target: s.target, Task: r.key.task, Run: r.key.run,
		Payload: r.Payload, Until: s.newLeaseEnd(), Fence: s.fence,
	})
}

// mayRenew reports whether calls may extend the leases, as every start does. They must not
// while the upstream does not answer, has left, may have runs of a predecessor or does not
// carry out a stop. A departure may be that of a process before under its id.
func (s *State) mayRenew() bool {
	left := s.departing && !s.hasPredecessor
	return s.reconciled && !s.silence.reported && !left && !slices.ContainsFunc(s.stops, s.isIneffective)
}

// mayStart reports whether runs may start.
func (s *State) mayStart() bool { return s.mayRenew() && !s.departing }

// startAnswered handles the outcome of a start. Except for a lost or fenced start,
// a start that was not accepted ends the run.
func (s *State) startAnswered(ev StartAnswered) {
	r := s.runByCall(ev.Call)
	if r == nil {
		return
	}
	byOther := s.isOthersClock(r, ev.Clock)
	if byOther && ev.Result == StartAccepted {
		ev.Result = StartAcceptedByOther
	}
	if ev.Result.answered() && !byOther {
		s.observeClock(ev.Clock)
		s.answered()
	}
	switch ev.Result {
	case StartAccepted:
		r.phase, r.lastCall = phaseRunning, s.lastCallID
	case StartAcceptedByOther:
		s.log("start was accepted by another process", "task", r.key.task, "run", r.key.run, "instance", s.upstream.Instance)
		r.phase, r.lastCall, r.byOther = phaseRunning, s.lastCallID, true
		s.requestLists()
	case StartLost, StartNotSent:
		r.notSent = ev.Result == StartNotSent
		s.markUnconfirmed(r)
	case StartFenced:
		if r.fence == s.fence {
			s.fence += fenceIncrement
			s.log("fencing token was too low", "task", r.key.task, "token", s.fence)
		}
		s.resendStart(r)
	case StartStale:
		s.end(r, agent.EndRejected)
	case StartExpired:
		s.end(r, agent.EndRejected)
		s.requestLists()
	case StartNoCapacity:
		s.end(r, agent.EndBusy)
	case StartUnhealthy:
		s.end(r, agent.EndRefused)
	case StartInvalid:
		s.end(r, agent.EndFailed)
	case StartWrongInstance:
		s.end(r, agent.EndRejected)
	}
}

// resendStart sends a start again that was certainly not carried out, unless the
// run is no longer wanted, its entry may have given it up meanwhile, as during a
// pause of this process, or the failure domain is evacuated.
func (s *State) resendStart(r *run) {
	if s.evacuated {
		s.log("start is not repeated, the failure domain is evacuated", "task", r.key.task, "run", r.key.run)
		s.end(r, agent.EndEvacuated)
		return
	}
	if !s.hasRoomFor(r) {
		s.log("start is not repeated, the capacity has shrunk", "task", r.key.task, "run", r.key.run, "offered", s.upstream.Offered)
		s.end(r, agent.EndBusy)
		return
	}
	if !s.mayStart() || s.stopOf(r.key) != nil || s.now >= min(r.StartBy, r.startedAt+s.cfg.RunsEndWithin()) {
		s.end(r, agent.EndRejected)
		return
	}
	s.sendStart(r)
}

// markUnconfirmed keeps a run whose start got no answer until the upstream has
// seen a higher token.
func (s *State) markUnconfirmed(r *run) {
	s.fence++
	s.lossyUntil = s.now + s.cfg.LossyFor
	r.phase, r.fence, r.lastCall = phaseUnconfirmed, s.fence, s.lastCallID
	s.log("start got no answer", "task", r.key.task, "run", r.key.run, "token", s.fence)
	s.requestLists()
}

func (s *State) runByCall(call CallID) *run {
	for _, r := range s.runs {
		if r.call == call && r.phase == phaseStarting {
			return r
		}
	}
	return nil
}
