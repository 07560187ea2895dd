package agent

import (
	"math"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// maxWait bounds the time within which an assignment may start.
const maxWait = time.Hour

// handleAssignment queues or refuses one task. lag is the transit delay of its
// message and shortens the deadlines.
func (s *State) handleAssignment(e *entry, a *wire.Assignment, lag time.Duration) {
	if s.isDuplicate(e, a.ID) {
		s.stats.Duplicates++
		return
	}
	s.stats.Received++
	r := &record{
		id:    a.ID,
		entry: e,
		phase: phaseQueued,
		rank:  a.Rank,
		need:  a.Spec.Need,
		name:  a.Spec.Name,
		kind:  a.Kind,

		apartFor: a.ApartFor,
		alone:    a.Alone,

		payload: a.Spec.Payload,

		declared: a.Spec.DeclaredRunTime,
		arrived:  s.now,
		startBy:  s.now + min(a.StartWithin, maxWait) - lag,
		runBy:    s.now + s.runWithin(a) - lag,
	}
	s.tasks[r.id] = r
	e.held++
	s.meanNeed.observe(r.need)
	if s.cfg.OrphanAfter > 0 && lag >= s.cfg.OrphanAfter {
		// The entry may have been given up, or have given up the task.
		s.refuse(r, task.ReasonEntryGone)
		return
	}
	if reason := s.refusalReason(r); reason != task.ReasonNone {
		s.refuse(r, reason)
		return
	}
	s.hold(r, len(r.payload))
	s.enqueue(r)
}

// isDuplicate reports whether the task id is queued, running or finished. If its
// outcome is not yet acknowledged, it is sent again.
func (s *State) isDuplicate(e *entry, id task.ID) bool {
	r, ok := s.tasks[id]
	if !ok {
		return s.finished.has(id)
	}
	if r.phase == phaseEnded && r.entry == e && r.reportSeq != 0 {
		i := slices.Index(e.unacked, r)
		e.unacked = append(slices.Delete(e.unacked, i, i+1), r)
		e.sent--
		r.reportSeq = 0
	}
	return true
}

// runWithin returns the time limit of a run, at most MaxRun.
func (s *State) runWithin(a *wire.Assignment) time.Duration {
	if a.RunWithin <= 0 || a.RunWithin > s.cfg.MaxRun {
		return s.cfg.MaxRun
	}
	return a.RunWithin
}

// refusalReason returns the reason to refuse a task, or ReasonNone to accept it.
func (s *State) refusalReason(r *record) task.Reason {
	switch {
	case s.now >= r.startBy:
		s.stats.Stale++
		return task.ReasonStartExpired
	case s.isOrphan(r.entry):
		return task.ReasonEntryGone
	case s.drain.active || s.up.leaving:
		return task.ReasonDraining
	case s.evacuation.active:
		s.stats.Evacuated++
		return task.ReasonEvacuated
	case s.up.leaseUntil == 0 || s.up.unannounced:
		return task.ReasonNoUpstream
	case s.up.unreachable:
		return task.ReasonUpstreamGone
	case s.health.suspended:
		return task.ReasonSuspended
	case !r.need.Fits(s.up.largest):
		return task.ReasonNeverFits
	case !r.need.Fits(s.up.Offered), !s.fits(r):
		s.stats.Busy++
		return task.ReasonBusy
	}
	return task.ReasonNone
}

// enqueue queues a task. If that exceeds the capacity, the least urgent queued
// task is refused, which may be another one.
func (s *State) enqueue(r *record) {
	s.queue.push(r)
	if s.spareCapacity() < 0 {
		s.stats.Busy++
		s.refuse(s.queue.last(), task.ReasonBusy)
	}
}

// refuse ends a queued task that has not started; its outcome is not run.
func (s *State) refuse(r *record, reason task.Reason) {
	s.endTask(r, task.Outcome{State: task.NotRun, Reason: reason})
}

// cancel refuses a queued task or stops a running one at the request of the entry
// that sent it.
func (s *State) cancel(e *entry, id task.ID) {
	r, ok := s.tasks[id]
	switch {
	case !ok && s.finished.has(id):
	case !ok:
		s.refuseUnknown(e, id)
	case r.entry != e:
	case r.phase == phaseQueued:
		s.refuse(r, task.ReasonCancelled)
	case r.phase == phaseRunning:
		s.stop(r, task.ReasonCancelled)
	}
}

// refuseUnknown refuses a task that is cancelled before its assignment arrives.
func (s *State) refuseUnknown(e *entry, id task.ID) {
	r := &record{id: id, entry: e, phase: phaseQueued, arrived: s.now}
	s.tasks[id] = r
	e.held++
	s.refuse(r, task.ReasonCancelled)
}

// dispatch starts queued tasks while slots and resources allow.
func (s *State) dispatch() {
	s.expireQueued()
	slots := s.slots()
	for len(s.running) < slots && !s.paused() {
		r := s.nextFitting()
		if r == nil {
			return
		}
		s.start(r)
	}
}

// nextFitting returns the most urgent queued task that fits the free resources.
// Once the first task has been queued for MaxBypass, no other may overtake it.
func (s *State) nextFitting() *record {
	for i, r := range s.queue.recs {
		if s.mayJoin(r) && s.up.fits(r.need, s.running) {
			return r
		}
		if i == 0 && s.now-r.arrived >= s.cfg.MaxBypass {
			return nil
		}
	}
	return nil
}

// neverWhileRunning is later than any time.
const neverWhileRunning = time.Duration(math.MaxInt64)

// mayJoin reports whether a task may start beside the runs in progress, as far as it or
// one of them has to be kept apart from others.
func (s *State) mayJoin(r *record) bool {
	return s.joinAt(r) <= s.now
}

// joinAt returns when a task may start beside the runs in progress, neverWhileRunning
// if that depends on the end of a run.
func (s *State) joinAt(r *record) time.Duration {
	at := time.Duration(0)
	if r.alone && len(s.running) > 0 {
		return neverWhileRunning
	}
	for _, o := range s.running {
		if o.alone {
			return neverWhileRunning
		}
		if apart := max(r.apartFor, o.apartFor); apart > 0 {
			at = max(at, o.started+apart)
		}
	}
	return at
}

// start takes a task from the queue and starts it at the upstream.
func (s *State) start(r *record) {
	s.queue.remove(r)
	s.lastRun++
	s.stats.Started++
	r.phase, r.run, r.started = phaseRunning, s.lastRun, s.now
	if !s.up.Leased {
		r.checkAt = s.now + s.cfg.CheckAfter
	}
	s.up.reserve(r.need)
	s.running = append(s.running, r)
	if s.cfg.Trace {
		s.emit(RunStarted{TaskRef: s.ref(r), Waited: s.now - r.arrived, Running: len(s.running), Queued: s.queue.len()})
	}
	s.emit(StartRun{Run: r.run, ID: r.id, Name: r.name, Instance: s.up.Instance, Payload: r.payload, Declared: r.declared, Need: r.need, StartBy: r.startBy, RunBy: r.runBy})
	r.payload = nil
}

// stalled stops a run that makes no progress. A stall counts as a failure for the
// upstream's health, so stalls in several submissions suspend it.
func (s *State) stalled(ev Stalled) {
	r := s.findRun(ev.Run)
	if r == nil || r.stopReason != task.ReasonNone {
		return
	}
	s.stop(r, task.ReasonStalled)
	if s.health.recordFailure(s.now, r.id.Submission) {
		s.stats.Suspensions++
		s.refuseQueued(task.ReasonSuspended)
	}
}

// stop requests the upstream to stop a run, once, if it supports that.
func (s *State) stop(r *record, reason task.Reason) {
	if r.stopReason != task.ReasonNone || !s.up.CanStop {
		return
	}
	r.stopReason = reason
	r.stopRequestedAt = s.now
	s.emit(StopOrdered{TaskRef: s.ref(r), Reason: reason, Ran: s.now - r.started, EntrySilent: s.now - r.entry.lastMessageAt})
	s.emit(StopRun{Run: r.run, ID: r.id})
}

func (s *State) findRun(id RunID) *record {
	for _, r := range s.running {
		if r.run == id {
			return r
		}
	}
	return nil
}

// runEnded processes the end of a run. The end of an abandoned run is ignored.
func (s *State) runEnded(ev RunEnded) {
	r := s.findRun(ev.Run)
	if r == nil {
		return
	}
	if r.stopReason == task.ReasonNone {
		s.updateHealth(r, ev.End)
	}
	if ev.End == EndComplete {
		s.runTimeRatio.observe(r.declared, ev.Ran)
	}
	s.endTask(r, outcome(r, ev))
	switch ev.End {
	case EndRefused:
		s.markUnreachable()
	case EndBusy:
		s.up.busyUntil = s.now + s.cfg.BusyPause
	}
}

// outcome converts the end of a run to a task outcome.
func outcome(r *record, ev RunEnded) task.Outcome {
	switch ev.End {
	case EndComplete:
		return task.Outcome{State: task.Complete, Body: ev.Body, Ran: ev.Ran}
	case EndFailed:
		return task.Outcome{State: task.Failed, Reason: failureReason(r), Body: ev.Body, Ran: ev.Ran}
	case EndStopped:
		return task.Outcome{State: task.Failed, Reason: failureReason(r), Ran: ev.Ran}
	case EndRefused:
		return task.Outcome{State: task.NotRun, Reason: task.ReasonUpstreamGone}
	case EndBusy, EndRejected:
		return task.Outcome{State: task.NotRun, Reason: task.ReasonBusy}
	case EndCutOff:
		return task.Outcome{State: task.Failed, Reason: task.ReasonCutOff, Ran: ev.Ran}
	case EndExpired:
		return task.Outcome{State: task.NotRun, Reason: task.ReasonStartExpired}
	case EndEvacuated:
		return task.Outcome{State: task.NotRun, Reason: task.ReasonEvacuated}
	}
	return task.Outcome{State: task.Unknown, Reason: task.ReasonUpstreamGone, Ran: ev.Ran}
}

// failureReason returns the reason why a started run did not complete.
func failureReason(r *record) task.Reason {
	if r.stopReason != task.ReasonNone {
		return r.stopReason
	}
	return task.ReasonUpstreamError
}

// updateHealth records the end of a run in the upstream's health.
func (s *State) updateHealth(r *record, end End) {
	switch end {
	case EndComplete:
		s.health.recordSuccess()
	case EndFailed, EndLost, EndRefused:
		if s.health.recordFailure(s.now, r.id.Submission) {
			s.stats.Suspensions++
			s.refuseQueued(task.ReasonSuspended)
		}
	}
}

// runChecked processes the result of a query about a run.
func (s *State) runChecked(ev RunChecked) {
	r := s.findRun(ev.Run)
	if r == nil {
		return
	}
	r.checkAt = s.now + s.cfg.CheckInterval
	switch ev.Verdict {
	case VerdictMissing:
		s.abandon(r, task.Outcome{State: task.Unknown, Reason: task.ReasonUpstreamGone, Ran: s.now - r.started})
	case VerdictUnreachable:
		s.markUnreachable()
	}
}

// abandon ends a run at the agent without waiting for the upstream to report its
// end.
func (s *State) abandon(r *record, out task.Outcome) {
	s.emit(AbandonRun{Run: r.run, ID: r.id})
	s.endTask(r, out)
}

// endTask records a task's final outcome and removes the task from the queue or
// releases its slot and resources. It must be called once per task.
func (s *State) endTask(r *record, out task.Outcome) {
	switch r.phase {
	case phaseQueued:
		s.queue.remove(r)
	case phaseRunning:
		s.running = slices.DeleteFunc(s.running, func(o *record) bool { return o == r })
		s.up.unreserve(r.need)
	}
	waited := s.now - r.arrived
	if r.run > 0 {
		waited = r.started - r.arrived
	}
	out.Where = s.self.ID
	if s.cfg.Trace {
		s.emitDecision(r, &out, waited)
	}
	r.phase, r.payload = phaseEnded, nil
	r.result = wire.Result{ID: r.id, Outcome: out, WaitTime: waited}
	r.entry.held--
	r.entry.unackedBytes += len(out.Body)
	s.hold(r, len(out.Body))
	if r.entry.forgotten {
		s.release(r)
		return
	}
	r.entry.unacked = append(r.entry.unacked, r)
}

// ref names a task for the log.
func (s *State) ref(r *record) TaskRef {
	name := r.name
	if name == "" {
		name = r.id.String()
	}
	return TaskRef{
		Task: name, Run: r.id.Attempt + 1, Submission: r.id.Submission,
		Entry: r.entry.peer.ID, Incarnation: r.entry.peer.Incarnation, Instance: s.up.Instance,
	}
}

// emitDecision emits the outcome of a task.
func (s *State) emitDecision(r *record, out *task.Outcome, waited time.Duration) {
	s.emit(Decision{
		TaskRef: s.ref(r), State: out.State.String(), Reason: out.Reason,
		Waited: waited, Ran: out.Ran, Running: len(s.running), Queued: s.queue.len(),
	})
}

// expire handles all deadlines that have passed.
func (s *State) expire() {
	s.health.expireSuspension(s.now)
	s.expireUpstream()
	s.expireEntries()
	s.refuseOrphans()
	s.stopOrphans()
	s.expireQueued()
	for i := 0; i < len(s.running); i++ {
		if r := s.running[i]; s.expireRun(r) {
			i--
		}
	}
}

// expireQueued refuses the queued tasks whose start deadline has passed.
func (s *State) expireQueued() {
	for i := 0; i < s.queue.len(); i++ {
		if r := s.queue.recs[i]; s.now >= r.startBy {
			s.stats.Stale++
			s.refuse(r, task.ReasonStartExpired)
			i--
		}
	}
}

// expireRun handles the deadlines of a run and reports whether the run was
// abandoned.
func (s *State) expireRun(r *record) bool {
	switch {
	case r.stopReason != task.ReasonNone:
		if s.up.Leased || s.now < r.stopRequestedAt+s.cfg.StopGrace {
			return false
		}
		s.abandon(r, task.Outcome{State: task.Unknown, Reason: r.stopReason, Ran: s.now - r.started})
		return true
	case s.now >= r.runBy && !s.up.CanStop:
		s.abandon(r, task.Outcome{State: task.Unknown, Reason: task.ReasonDeadline, Ran: s.now - r.started})
		return true
	case s.now >= r.runBy:
		s.stop(r, task.ReasonDeadline)
	case r.checkAt > 0 && s.now >= r.checkAt:
		r.checkAt = 0
		s.emit(CheckRun{Run: r.run, ID: r.id, Status: s.up.CanStatus})
	}
	return false
}
