package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// received handles a report. It ignores reports that are not from the current
// session.
func (e *Entry) received(ev Received) {
	a := e.agents[ev.Agent]
	if a == nil || a.session != ev.Session || a.link != linkOpen {
		return
	}
	e.handleReport(a, ev.Report)
}

// handleReport applies a report: its outcomes, its changes of the worker and its
// credit. Reports of a
// session arrive in order, so a report whose sequence number is not above the
// last one was handled before.
func (e *Entry) handleReport(a *agent, r *wire.Report) {
	e.stats.Received++
	if r.Seq <= a.lastReportSeq {
		e.stats.Wasted.Late++
		return
	}
	a.lastReportSeq = r.Seq
	e.handleCrashes(a, r.Crashes)
	newOutcomes := 0
	for i := range r.Outcomes {
		if e.handleResult(a, &r.Outcomes[i]) {
			newOutcomes++
		}
	}
	e.handleCancelled(a, r.Cancelled)
	e.handleLocks(a, r.Locks)
	e.handleWithdrawn(a, r.Withdrawn)
	if r.Worker != nil {
		e.workerChanged(a, *r.Worker)
		e.addToPool(a)
		if a.pooled {
			a.svc.pool.Changed(&a.Agent)
		}
	}
	hadNoCredit := a.Credit <= 0
	e.applyCapacity(a, r)
	useful := hadNoCredit && a.Credit > 0 && a.svc.q.Len() > 0
	switch {
	case newOutcomes > 0 || useful:
	case len(r.Locks)+len(r.Cancelled)+len(r.Withdrawn) > 0:
		e.stats.Wasted.Locks++
	case len(r.Outcomes) > 0:
		e.stats.Wasted.Late++
	default:
		e.stats.Wasted.Credits++
	}
	switch {
	case r.Slots == 0:
		e.markDirty(a) // a draining agent waits for this acknowledgement
	case len(r.Outcomes) == 0 || a.ackScheduled:
	default:
		a.ackScheduled = true
		e.arm(timer{at: e.now + ackDelay, kind: timerAck, agent: a})
	}
	e.updateExpect(a)
	e.markActive(a.svc)
	if a.Credit > 0 && a.sentDemand > 0 {
		e.credited = append(e.credited, a)
	}
}

// applyCapacity applies the slots, load and run time ratio in a report. It
// replaces the agent's credit by the reported value, less the tasks sent in
// updates that the report does not cover yet.
func (e *Entry) applyCapacity(a *agent, r *wire.Report) {
	tasksUnacked := 0
	stillUnacked := a.unacked[:0]
	for _, u := range a.unacked {
		if u.seq > r.Ack {
			tasksUnacked += u.tasks
			stillUnacked = append(stillUnacked, u)
		}
	}
	a.unacked = stillUnacked
	a.observeSlots(e.now, r)
	a.Credit = int(r.Credit) - tasksUnacked
	a.Slots = int(r.Slots)
	e.noteReportedRatio(a, float64(r.LogRunTimeRatio))
	a.Others = max(0, int(r.Running+r.Queued)-len(a.sent))
	if a.pooled {
		a.svc.pool.Changed(&a.Agent)
	}
}

// handleResult applies the outcome of one task. It reports whether the outcome
// is other than not run and its submission still awaited it.
func (e *Entry) handleResult(a *agent, r *wire.Result) bool {
	rec, ok := a.sent[r.ID]
	if !ok {
		e.stats.LateResults++
		return false
	}
	awaited := !rec.sub.answered
	if awaited {
		rec.sub.messages++
	}
	if r.Outcome.State == task.Complete {
		a.observeSurvivor(rec.sub)
		a.runTimeRatio.observe(rec.declared, r.Outcome.Ran)
		e.observePace(a, rec.declared, r.Outcome.Ran)
		if a.Slow {
			a.probeEnded(e.now, rec.declared, r.Outcome.Ran)
		}
		a.svc.runTimeRatio.observeWeighted(serviceRatioWeight, rec.declared, r.Outcome.Ran)
		a.svc.limit.RecordFinished(e.now, rec.at-rec.sub.arrived+r.WaitTime, r.Outcome.Ran, rec.sub.deadline-rec.sub.arrived)
	}
	if r.Outcome.State == task.NotRun {
		e.stats.Refused++
		e.stats.Wasted.Refusals++ // counts the assignment; handleReport counts the report
		rec.sub.wasted += 2
	}
	if r.Outcome.Reason == task.ReasonEvacuated {
		e.stats.Evacuated++
		rec.sub.displaced = true
	}
	o := r.Outcome
	if o.Where == "" {
		o.Where = a.ID
	}
	e.endAttempt(a, r.ID, rec, o)
	return awaited && o.State != task.NotRun
}

// runsEndBy returns when the runs have ended of an attempt that ends now with an unknown
// outcome. An agent that is gone goes on with the runs that a hello lists as it does after
// any other message, also if its welcome is lost.
func (e *Entry) runsEndBy(a *agent, reason task.Reason) time.Duration {
	heldUntil := e.now
	if reason == task.ReasonAgentGone {
		heldUntil = max(heldUntil, a.lastHello()+e.opts.AgentTimeout)
	}
	return heldUntil + e.runsEndWithin
}

// endAttempt ends one attempt. It releases the agent's resources and gives the
// submission its outcome or another attempt.
func (e *Entry) endAttempt(a *agent, id task.ID, rec sentTask, o task.Outcome) {
	delete(a.sent, id)
	a.Outstanding--
	a.Used = a.Used.Sub(rec.need)
	if a.pooled {
		a.svc.pool.Changed(&a.Agent)
	}
	s := rec.sub
	rec.svc.q.EndTask(s.sub.Team)
	s.inFlight--
	if o.State == task.Unknown {
		s.runsUntil = max(s.runsUntil, e.runsEndBy(a, o.Reason))
	}
	if s.answered {
		e.stats.OrphanedResults++
		e.checkOver(s)
		return
	}
	s.tasks[rec.index].agent = nil
	e.trace(s, "task ended", "task", rec.index, "attempt", id.Attempt, "agent", a.ID, "state", o.State,
		"reason", o.Reason, "ran", o.Ran, "declared", rec.declared, "after", e.now-rec.at)
	if o.State != task.NotRun {
		s.mayHaveRun = true
	}
	if o.State != task.Complete && e.standing(s, rec.index) == quarantine.Guilty {
		o = crashOutcome(a.ID)
	}
	if e.shouldResend(s, rec.index, o) {
		if o.State != task.NotRun {
			e.stats.Retries++
		}
		e.requeue(s, rec.index)
		return
	}
	if o.State == task.Complete {
		s.svc.retries.RecordSuccess(e.now)
	}
	e.finish(s, rec.index, o)
}
