package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// maxListedEnds is the number of ended runs that an answer lists at most.
const maxListedEnds = 500

// requestLists sends a hold that is answered at once with the lists.
func (s *State) requestLists() { s.sendHold(false, "") }

func (s *State) sendHold(longPoll bool, probe string) {
	if !s.haveUpstream {
		return
	}
	wait, answerTimeout := s.waits()
	if !longPoll {
		wait = 0
	}
	h := hold{call: s.nextCall(), sentAt: s.now, deadline: s.now + wait + answerTimeout, fence: s.fence, longPoll: longPoll, probe: probe}
	eff := HoldCall{
		Call: h.call, Target: s.target, AckSeq: s.ackSeq(), Fence: s.fence,
		Wait: wait, AnswerTimeout: answerTimeout,
	}
	if s.mayRenew() {
		eff.Until = s.newLeaseEnd()
	}
	s.holds = append(s.holds, h)
	s.ackedSeq, s.ackAt = eff.AckSeq, 0
	s.emit(eff)
}

// ackSeq returns the number up to which ended runs are acknowledged. Numbers start anew
// with each process, and a successor may have accepted a start.
func (s *State) ackSeq() uint64 {
	for _, r := range s.runs {
		if r.byOther {
			return 0
		}
	}
	return s.lastEndSeq
}

// waits returns how long the upstream may delay the answer to a long poll now, and how
// long an answer may take beyond that.
func (s *State) waits() (wait, answerTimeout time.Duration) {
	if s.now < s.lossyUntil {
		return s.cfg.LossyWait, s.cfg.LossyAnswerTimeout
	}
	return s.cfg.Wait, s.cfg.AnswerTimeout
}

// awaitsHold reports whether the answer to a hold is due no later than that to a long
// poll sent now would be. One that was sent before answers were lost may be due much
// later.
func (s *State) awaitsHold() bool {
	wait, answerTimeout := s.waits()
	return slices.ContainsFunc(s.holds, func(h hold) bool { return h.deadline <= s.now+wait+answerTimeout })
}

// probe checks for the agent whether the upstream answers.
func (s *State) probe(instance string) {
	if !s.haveUpstream || instance != s.upstream.Instance {
		s.notify(agent.Probed{Instance: instance})
		return
	}
	s.sendHold(false, instance)
}

// maintainHold keeps a hold in flight while there are runs or the upstream is silent,
// and acknowledges the last ended runs once there are none.
func (s *State) maintainHold() {
	if !s.haveUpstream || s.now < s.retryAt {
		return
	}
	switch {
	case s.awaitsHold():
	case len(s.runs) > 0 || len(s.unknownRuns) > 0:
		s.sendHold(true, "")
	case !s.reconciled || s.silence.reported:
		s.requestLists()
	case s.ackedSeq < s.lastEndSeq && s.ackAt == 0:
		s.ackAt = s.now + idleAckDelay
	case s.ackedSeq < s.lastEndSeq && s.now >= s.ackAt:
		s.requestLists()
	}
}

func (s *State) removeHold(call CallID) (hold, bool) {
	for i, h := range s.holds {
		if h.call == call {
			s.holds = slices.Delete(s.holds, i, i+1)
			return h, true
		}
	}
	return hold{}, false
}

func (s *State) holdAnswered(ev HoldAnswered) {
	if s.candidateAnswered(ev) || s.guardAnswered(ev) {
		return
	}
	h, ok := s.removeHold(ev.Call)
	if !ok {
		return
	}
	switch ev.Result {
	case HoldOK:
		s.handleView(h, ev.View)
	case HoldFenced:
		s.fence += fenceIncrement
		s.log("fencing token was too low", "token", s.fence)
		s.sendHold(false, h.probe)
	case HoldWrongInstance:
		s.dropUpstream("another process answers in place of the upstream", false)
	case HoldSuccessor:
		s.dropUpstream("upstream has restarted", true)
	case HoldRefused:
		s.pinRuns(h.call)
		if s.departing || s.hasVerifiedCandidate() {
			s.dropUpstream("upstream has ended", true)
			return
		}
		s.holdFailed(h)
		if s.silence.reported && !s.silence.refused {
			s.silence.refused = true
			s.notifyCrash()
		}
	default:
		s.holdFailed(h)
	}
}

// handleView handles the lists in the answer to a hold.
func (s *State) handleView(h hold, v View) {
	s.answered()
	s.verifiedBorn = s.lastAnnounced.Born
	s.correctClock(h, v.Clock)
	s.observeClock(v.Clock)
	if h.probe != "" {
		s.notify(agent.Probed{Instance: h.probe, OK: true})
	}
	for _, e := range v.Ended {
		s.handleEnd(e)
	}
	s.matchRunning(h, v)
	if !s.reconciled && len(s.unknownRuns) == 0 {
		s.reconciled = true
		// The lease that a predecessor sent last.
		s.latestLeaseEnd = v.Clock + s.cfg.Lease
		s.log("upstream is ready", "instance", s.upstream.Instance, "clock", v.Clock)
		s.notify(agent.Announced{Upstream: s.upstream})
	}
}

// observeClock records the upstream's clock. A message that was delayed carries an
// older clock and is ignored.
func (s *State) observeClock(clock time.Duration) {
	if clock > 0 && (s.clockAt == 0 || clock > s.clockNow()) {
		s.clock, s.clockAt = clock, s.now
	}
}

// correctClock sets back an estimate that is certainly ahead of the upstream's clock, which
// has advanced since its answer to a hold by no more than the time since that was sent. The
// clock stands still while the host is suspended.
func (s *State) correctClock(h hold, clock time.Duration) {
	if s.clockAt > 0 && clock > 0 && s.clockNow() > clock+s.now-h.sentAt+expiryMargin {
		s.log("upstream's clock stood still", "instance", s.upstream.Instance, "clock", clock, "estimate", s.clockNow())
		s.clock, s.clockAt = clock, s.now
	}
}

// handleEnd handles one listed end; an end that was handled before is skipped.
func (s *State) handleEnd(e Ended) {
	if e.Seq <= s.lastEndSeq {
		return
	}
	s.lastEndSeq = e.Seq
	key := runKey{e.Task, e.Run}
	delete(s.unknownRuns, key)
	s.removeStop(key)
	r := s.runs[key]
	if r == nil {
		return
	}
	switch e.How {
	case EndDone:
		s.end(r, agent.EndComplete)
	case EndFailed:
		s.end(r, agent.EndFailed)
	case EndStopped:
		s.end(r, agent.EndStopped)
	default:
		s.log("run was cut off", "task", key.task, "run", key.run, "lapsed", e.How == EndLeaseExpired)
		s.end(r, agent.EndCutOff)
	}
}

// matchRunning compares the listed runs with the known ones. A list is
// conclusive for starts that were answered before its hold was sent, and for
// starts without an answer whose tokens its own token supersedes.
func (s *State) matchRunning(h hold, v View) {
	listed := make(map[runKey]bool, len(v.Running))
	for _, r := range v.Running {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		s.recordProgress(key, r.Percent)
		if s.runs[key] == nil && !s.unknownRuns[key] {
			s.log("stopping unknown run", "task", key.task, "run", key.run)
			s.unknownRuns[key] = true
			s.requestStop(key)
		}
	}
	for key := range s.unknownRuns {
		if !listed[key] {
			delete(s.unknownRuns, key)
			s.removeStop(key)
		}
	}
	if len(v.Ended) >= maxListedEnds {
		return // further ends follow, among them perhaps those of runs that are missing
	}
	for _, r := range s.sortedRuns() {
		s.matchRun(h, r, listed[r.key])
	}
}

// stallDivisor gives the time that a run may take for one percent of progress:
// its declared run time divided by stallDivisor. A run that takes ten times its
// declared time is slow, not stalled.
const stallDivisor = 10

// recordProgress records the progress of a run and reports a run that has
// stalled.
func (s *State) recordProgress(key runKey, percent int) {
	r := s.runs[key]
	if r == nil {
		return
	}
	if r.progressedAt == 0 || percent > r.percent {
		r.percent, r.progressedAt = percent, s.now
		return
	}
	if s.now-r.progressedAt < max(s.cfg.StalledAfter, r.Declared/stallDivisor) {
		return
	}
	s.log("run makes no progress", "task", key.task, "run", key.run, "percent", percent, "for", s.now-r.progressedAt)
	r.progressedAt = s.now
	s.notify(agent.Stalled{Run: r.Run})
}

// matchRun compares one known run with the answer to h: it confirms or resends a
// start that got no answer, and ends a run that is missing from the list.
func (s *State) matchRun(h hold, r *run, listed bool) {
	if r.carriedAt != "" {
		s.matchCarried(h, r, listed)
		return
	}
	if listed {
		r.pinned, r.byOther = true, false
	}
	switch {
	case r.phase == phaseUnconfirmed && listed:
		r.phase, r.lastCall = phaseRunning, s.lastCallID
	case r.phase == phaseUnconfirmed && h.fence >= r.fence:
		s.log("start was not carried out", "task", r.key.task, "run", r.key.run)
		s.resendStart(r)
	case r.phase == phaseRunning && !listed && h.call > r.lastCall:
		s.log("run is missing from the upstream's list", "task", r.key.task, "run", r.key.run)
		s.end(r, agent.EndCutOff)
	}
}

func (s *State) sortedRuns() []*run {
	runs := slices.Collect(maps.Values(s.runs))
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.call, b.call) })
	return runs
}

// leaseExpiredAt returns when the lease of a run has certainly expired, unless a call is
// answered before. ok is false while its start is in flight.
func (s *State) leaseExpiredAt(r *run) (at time.Duration, ok bool) {
	if r.phase == phaseStarting || r.carriedAt != "" {
		return 0, false
	}
	remaining := float64(s.latestLeaseEnd - s.clock)
	at = s.clockAt + time.Duration(remaining/(1-maxClockDrift)) + expiryMargin
	if resumed := s.silence.resumedAt; resumed > 0 {
		at = max(at, resumed+time.Duration(float64(s.cfg.Lease)/(1-maxClockDrift))+expiryMargin)
	}
	if !r.pinned {
		at = max(at, s.overAtSuccessor(max(r.sentAt, s.renewedAt)))
	}
	return at, true
}

// expire times out holds that got no answer, and ends runs whose lease has
// expired.
func (s *State) expire() {
	for i := 0; i < len(s.holds); i++ {
		if h := s.holds[i]; s.now >= h.deadline {
			s.holds = slices.Delete(s.holds, i, i+1)
			i--
			s.holdFailed(h)
		}
	}
	s.expireCarried()
	if !s.leasesMayExpire() {
		return
	}
	for _, r := range s.sortedRuns() {
		if at, ok := s.leaseExpiredAt(r); ok && s.now >= at {
			s.log("lease expired", "task", r.key.task, "run", r.key.run, "failures", s.silence.failures)
			s.end(r, agent.EndCutOff)
		}
	}
}

// leasesMayExpire reports whether the leases are not renewed. One hold without an answer
// may only mean that this process was paused; the next lists then show how each run
// ended.
func (s *State) leasesMayExpire() bool {
	return len(s.runs) > 0 && s.silence.reported && s.clockAt > 0
}

// Next returns when the next Tick is due.
func (s *State) Next() (at time.Duration, ok bool) {
	add := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, h := range s.holds {
		add(h.deadline)
	}
	for _, c := range s.candidates {
		switch {
		case c.verified:
		case c.call != 0:
			add(c.deadline)
		default:
			add(c.retryAt)
		}
	}
	if s.retryAt > s.now {
		add(s.retryAt)
	}
	if s.ackAt > 0 {
		add(s.ackAt)
	}
	for _, p := range s.stops {
		if s.canSend(p) {
			add(p.sendAt)
		}
	}
	if s.guard.call != 0 {
		add(s.guard.deadline)
	} else if s.awaitsGuard() {
		add(s.guard.retryAt)
	}
	for _, r := range s.runs {
		if r.carriedAt != "" {
			add(r.carriedUntil)
		}
		if expired, counts := s.leaseExpiredAt(r); counts && s.leasesMayExpire() && expired > s.now {
			add(expired)
		}
	}
	return at, ok
}
