package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/agent"
)

// look asks for the lists at once.
func (s *State) look() { s.sendHold(false, "") }

func (s *State) sendHold(long bool, probe string) {
	if !s.known {
		return
	}
	wait, within := s.cfg.Wait, s.cfg.AnswerWithin
	if s.now < s.lossyUntil {
		wait, within = s.cfg.LossyWait, s.cfg.LossyAnswerWithin
	}
	if !long {
		wait = 0
	}
	h := hold{call: s.nextCall(), by: s.now + wait + within, fence: s.fence, long: long, probe: probe}
	eff := HoldCall{
		Call: h.call, Target: s.target, Seen: s.seen, Fence: s.fence,
		Wait: wait, Within: within,
	}
	if s.failures < failuresToSuspect {
		// The leases of an upstream that does not answer have to run out.
		eff.Until = s.lease()
	}
	s.holds = append(s.holds, h)
	s.told, s.ackAt = s.seen, 0
	s.emit(eff)
}

// probe asks on behalf of the agent whether the upstream answers.
func (s *State) probe(instance string) {
	if !s.known || instance != s.up.Instance {
		s.notify(agent.Probed{Instance: instance})
		return
	}
	s.sendHold(false, instance)
}

// keepHolding has a hold under way while there are runs, and acknowledges the
// last ends once there are none.
func (s *State) keepHolding() {
	if !s.known || s.now < s.retryAt {
		return
	}
	switch {
	case len(s.holds) > 0:
	case len(s.runs) > 0 || len(s.foreign) > 0:
		s.sendHold(true, "")
	case !s.clean:
		s.look()
	case s.told < s.seen && s.ackAt == 0:
		s.ackAt = s.now + idleAckDelay
	case s.told < s.seen && s.now >= s.ackAt:
		s.look()
	}
}

func (s *State) takeHold(call CallID) (hold, bool) {
	for i, h := range s.holds {
		if h.call == call {
			s.holds = slices.Delete(s.holds, i, i+1)
			return h, true
		}
	}
	return hold{}, false
}

func (s *State) holdAnswered(ev HoldAnswered) {
	h, ok := s.takeHold(ev.Call)
	if !ok {
		return
	}
	switch ev.Result {
	case HoldOK:
		s.answered(h, ev.View)
	case HoldFenced:
		s.fence += fenceJump
		s.note("fencing token was too low", "token", s.fence)
		s.sendHold(false, h.probe)
	case HoldOtherLife:
		s.note("upstream has restarted", "instance", s.up.Instance)
		s.forget()
		s.known = false
		s.notify(agent.Left{Instance: s.up.Instance})
	default:
		s.holdFailed(h)
	}
}

// holdFailed counts a hold without an answer. Carried out late it does no harm:
// its lease is over, and what it acknowledges has been handled.
func (s *State) holdFailed(h hold) {
	s.failures++
	s.lossyUntil = s.now + s.cfg.LossyFor
	if s.failures > 1 {
		s.retryAt = s.now + retryPause
	}
	if h.probe != "" {
		s.notify(agent.Probed{Instance: h.probe})
	}
	if s.failures == failuresToSuspect {
		s.note("upstream does not answer", "instance", s.up.Instance, "failures", s.failures)
		s.notify(agent.Silent{Instance: s.up.Instance})
	}
}

// answered takes in the lists of a hold.
func (s *State) answered(h hold, v View) {
	s.failures, s.retryAt = 0, 0
	s.observe(v.Clock)
	if h.probe != "" {
		s.notify(agent.Probed{Instance: h.probe, OK: true})
	}
	for _, e := range v.Ended {
		s.takeEnd(e)
	}
	s.matchRunning(h, v)
	if !s.clean && len(s.foreign) == 0 {
		s.clean = true
		s.note("upstream is ready", "instance", s.up.Instance, "clock", v.Clock)
		s.notify(agent.Announced{Upstream: s.up})
	}
}

// observe notes the upstream's clock. An answer that was overtaken is older
// than what is known.
func (s *State) observe(clock time.Duration) {
	if clock > s.clock || s.clockAt == 0 && clock > 0 {
		s.clock, s.clockAt = clock, s.now
	}
}

// takeEnd handles one listed end, once.
func (s *State) takeEnd(e Ended) {
	if e.Seq <= s.seen {
		return
	}
	s.seen = e.Seq
	key := runKey{e.Task, e.Run}
	delete(s.foreign, key)
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
		s.note("run was cut off", "task", key.task, "run", key.run, "lapsed", e.How == EndLapsed)
		s.end(r, agent.EndCutOff)
	}
}

// matchRunning compares the runs in a list with those that are known. A list
// tells of starts that were answered before its hold was sent, and of starts
// without an answer that its token rules out.
func (s *State) matchRunning(h hold, v View) {
	listed := make(map[runKey]bool, len(v.Running))
	for _, r := range v.Running {
		key := runKey{r.Task, r.Run}
		listed[key] = true
		s.progress(key, r.Percent)
		if s.runs[key] == nil && !s.foreign[key] {
			s.note("unknown run is stopped", "task", key.task, "run", key.run)
			s.foreign[key] = true
			s.sendStop(key)
		}
	}
	for key := range s.foreign {
		if !listed[key] {
			delete(s.foreign, key)
		}
	}
	for _, r := range s.sorted() {
		s.matchRun(h, r, listed[r.key])
	}
}

// stalledShare is the part of its declared run time, as a divisor, that a run may
// take for one percent of progress: one that takes ten times as long as declared
// is slow, not stalled.
const stalledShare = 10

// progress notes how far a run has come.
func (s *State) progress(key runKey, percent int) {
	r := s.runs[key]
	if r == nil {
		return
	}
	if r.movedAt == 0 || percent > r.percent {
		r.percent, r.movedAt = percent, s.now
		return
	}
	if s.now-r.movedAt < max(s.cfg.StalledAfter, r.Declared/stalledShare) {
		return
	}
	s.note("run makes no progress", "task", key.task, "run", key.run, "percent", percent, "for", s.now-r.movedAt)
	r.movedAt = s.now
	s.notify(agent.Stalled{Run: r.Run})
}

func (s *State) matchRun(h hold, r *run, listed bool) {
	switch {
	case r.phase == phaseDoubtful && listed:
		r.phase, r.since = phaseRunning, s.calls
		if r.stop {
			s.sendStop(r.key)
		}
	case r.phase == phaseDoubtful && h.fence >= r.fence:
		s.note("start was not carried out", "task", r.key.task, "run", r.key.run)
		if r.stop || s.now >= r.StartBy {
			s.end(r, agent.EndRejected)
			return
		}
		s.sendStart(r)
	case r.phase == phaseRunning && !listed && h.call > r.since:
		s.note("run is missing", "task", r.key.task, "run", r.key.run)
		s.end(r, agent.EndCutOff)
	}
}

func (s *State) sorted() []*run {
	runs := slices.Collect(maps.Values(s.runs))
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.call, b.call) })
	return runs
}

// lapsedAt returns when every run has surely lost its lease, unless a call is
// answered before.
func (s *State) lapsedAt() time.Duration {
	left := float64(s.until - s.clock)
	return s.clockAt + time.Duration(left/(1-clockSlack)) + lapseMargin
}

// expire gives up on holds that got no answer, and on runs whose lease is over.
func (s *State) expire() {
	for i := 0; i < len(s.holds); i++ {
		if h := s.holds[i]; s.now >= h.by {
			s.holds = slices.Delete(s.holds, i, i+1)
			i--
			s.holdFailed(h)
		}
	}
	// One hold without an answer may only mean that this process was paused: the
	// lists tell then how each run ended.
	if len(s.runs) == 0 || s.failures < failuresToSuspect || s.clockAt == 0 || s.now < s.lapsedAt() {
		return
	}
	for _, r := range s.sorted() {
		if r.phase != phaseStarting {
			s.note("lease has run out", "task", r.key.task, "run", r.key.run, "failures", s.failures)
			s.end(r, agent.EndCutOff)
		}
	}
}

// Next returns when the state wants a tick.
func (s *State) Next() (at time.Duration, ok bool) {
	add := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for _, h := range s.holds {
		add(h.by)
	}
	if s.retryAt > s.now {
		add(s.retryAt)
	}
	if s.ackAt > 0 {
		add(s.ackAt)
	}
	if len(s.runs) > 0 && s.failures >= failuresToSuspect && s.clockAt > 0 {
		if at := s.lapsedAt(); at > s.now {
			add(at)
		}
	}
	return at, ok
}
