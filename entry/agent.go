package entry

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// linkState is the state of the entry's connection to an agent.
type linkState uint8

const (
	linkIdle linkState = iota // no session, and no dial in progress
	linkDialing
	linkOpen
)

// agent is the entry's state for one agent and its session.
type agent struct {
	placement.Agent
	peer   wire.Peer
	worker wire.Worker
	svc    *service
	link   linkState
	// incarnation is the one that sent the last welcome, zero before the first.
	incarnation uint64
	session     uint64
	// listed reports whether the agent is in the directory, announcesService
	// whether its record there names a service.
	listed, announcesService bool
	// pooled reports whether the agent is in its service's pool.
	pooled bool
	// withheldFrom is the service from whose pool the agent is kept because its
	// failure domain is evacuated; nil otherwise.
	withheldFrom *service
	lostSlots    lostSlots
	// disconnectedAt is when the last session ended; not valid while one is
	// open.
	disconnectedAt time.Duration
	redialDelay    time.Duration
	sent           map[task.ID]sentTask
	// dialedAt is when the last dial began. helloAt is when the last one began that failed
	// although its hello may have reached the agent.
	dialedAt, helloAt time.Duration
	// givenUp lists the tasks that ended since the dial in progress, whose hello
	// lists them as pending.
	givenUp []task.ID
	// dirty is set if an update is due at the end of the step. toAssign and
	// toCancel are the assignments and cancellations that it will carry.
	dirty    bool
	toAssign []wire.Assignment
	toCancel []task.ID
	// toAcquire goes with the update of the step. toRelease may wait for an update
	// that is sent anyway.
	toAcquire      []wire.LockRequest
	toRelease      []wire.LockRef
	toWithdraw     []wire.Withdrawal
	updateSeq      uint64 // sequence number of the last update sent
	unacked        []unackedUpdate
	lastReportSeq  uint64        // highest report sequence number handled
	ackedReportSeq uint64        // highest report sequence number acknowledged
	updateSentAt   time.Duration // time of the last update
	ackScheduled   bool
	// expectSent is the value of the last Expect effect of the session.
	expectSent bool
	// sentDemand is the number of waiting tasks last announced to the agent, at
	// demandSentAt.
	sentDemand   uint32
	demandSentAt time.Duration
	// sentDemandRank is the rank of the first waiting task in that
	// announcement.
	sentDemandRank float64
	// runTimeRatio covers the tasks that this entry sent to the agent.
	runTimeRatio runTimeRatio
	// reportedLogRatio is the last Report.LogRunTimeRatio of the agent, which
	// covers the tasks of all entries; zero if unknown.
	reportedLogRatio float64
	// runTimes covers the tasks that this entry sent to the current upstream; it is
	// kept with Options.Speeds.
	runTimes placement.RunTimes
	// probeAt is when a slow agent may get its next task as a probe. probeWait
	// is the time from one probe to the next.
	probeAt   time.Duration
	probeWait time.Duration

	// runsEndWithin is that of the last welcome; an agent without it keeps no job
	// locks.
	runsEndWithin time.Duration
	// lockHash and domainHash are the hashes of the agent's id and domain.
	lockHash, domainHash uint64
	// keepsLocks is set while the agent is one of Entry.lockAgents, lockConnected if
	// it had a session when that was last determined.
	keepsLocks, lockConnected bool
	// lockUnanswered is set from a lock request that was not answered in time to
	// the next report.
	lockUnanswered bool
	// lockReadyAt is when the locks that a restarted agent does not know are no
	// longer in use; until then it is asked last, and no majority counts it.
	lockReadyAt time.Duration
	// lockMemberUntil is when the agent ceases to be one of Entry.lockAgents, after it is
	// no longer listed or connected or names no service; zero while it is or does.
	lockMemberUntil time.Duration
	// locksKeptSince is the latest time at which the current incarnation can have
	// started. announced is set once it has announced an upstream, which it does only
	// when no run of its predecessor is left there.
	locksKeptSince time.Duration
	announced      bool
	// locks counts the requests of this entry on the current session whose
	// submissions may have runs.
	locks int
}

// sentTask is an attempt at a task that was sent to an agent and has not ended.
type sentTask struct {
	sub   *submission
	index uint32
	// svc is the service or lane from whose queue the task was taken.
	svc      *service
	at       time.Duration
	declared time.Duration
	need     task.Resources
}

// unackedUpdate counts the tasks of an update that no report has acknowledged
// yet.
type unackedUpdate struct {
	seq   uint64
	tasks int
}

// dial opens a session; its hello lists the tasks whose outcomes are pending.
func (e *Entry) dial(a *agent) {
	if a.link == linkDialing {
		a.helloAt = a.dialedAt
	}
	a.link, a.dialedAt = linkDialing, e.now
	e.lastSession++
	a.session = e.lastSession
	h := &wire.Hello{
		From:             e.opts.Self,
		Session:          a.session,
		SentAt:           e.now,
		AgentIncarnation: a.incarnation,
		HeedsCancelled:   true,
	}
	h.Pending = a.sentIDs()
	a.givenUp = nil
	e.emit(Dial{Peer: a.peer, Hello: h, Service: a.worker.Service, Within: dialTimeout})
}

// connected handles the welcome that opens a session.
func (e *Entry) connected(ev Connected) {
	a := e.agents[ev.Agent]
	if a == nil || a.session != ev.Session || a.link != linkDialing {
		e.emit(Hangup{Agent: ev.Agent, Session: ev.Session, Why: "superseded session"})
		return
	}
	w := ev.Welcome
	if why := e.misdirection(a, w.From); why != "" {
		// The session's end counts as that of a failed dial.
		e.emit(Hangup{Agent: ev.Agent, Session: ev.Session, Why: why})
		return
	}
	readyAt := e.now + max(w.OrphansEndWithin, w.RunsEndWithin) - w.LocksKeptFor
	a.locksKeptSince = e.now - w.LocksKeptFor
	if w.From.Incarnation == a.incarnation {
		a.lockReadyAt = min(a.lockReadyAt, readyAt)
	} else {
		a.lockReadyAt = readyAt
		e.agentRestarted(a, w.From)
	}
	a.link = linkOpen
	a.redialDelay = minRedialDelay
	a.updateSeq = 0
	a.unacked = a.unacked[:0]
	a.sentDemand = 0
	a.expectSent = false
	a.locks, a.lockUnanswered = 0, false
	a.runsEndWithin = w.RunsEndWithin
	e.runsEndWithin = max(e.runsEndWithin, a.runsEndWithin)
	e.orphansEndWithin = max(e.orphansEndWithin, w.OrphansEndWithin)
	e.updateLockAgent(a)
	if w.Worker != nil {
		e.workerChanged(a, *w.Worker)
	}
	e.addToPool(a)
	if w.Report != nil {
		e.handleReport(a, w.Report)
	}
	e.cancelUnwanted(a)
}

// misdirection returns why a welcome is not the dialled agent's; empty if it is. An
// address may pass to another agent. A lower incarnation belongs to an older process,
// whose word ends no task of the known one, or to a restart after the clock was set
// back. It is accepted only when the known one counts as lost.
func (e *Entry) misdirection(a *agent, from wire.Peer) string {
	switch {
	case from.Role != wire.RoleAgent || from.ID != a.ID:
		return fmt.Sprintf("welcome of %s %s, dialled agent %s at %s", from.Role, from.ID, a.ID, a.peer.Addr)
	case from.Incarnation < a.incarnation && e.now < a.disconnectedAt+e.opts.AgentTimeout:
		return fmt.Sprintf("welcome of incarnation %d of agent %s, known is %d", from.Incarnation, a.ID, a.incarnation)
	}
	return ""
}

// workerChanged applies an agent's description of its worker. If the agent does
// not know its upstream yet, the previously offered resources stay in use.
func (e *Entry) workerChanged(a *agent, w wire.Worker) {
	a.worker = w
	a.Slots = int(w.Slots)
	if w.Service == "" {
		return
	}
	a.announced = true
	if a.pooled && a.svc.name != w.Service {
		e.withdraw(a)
	}
	if a.svc == nil || a.svc.name != w.Service || a.Offered != w.Offered {
		e.forgetPace(a)
	}
	a.svc = e.service(w.Service).homeOf(a.ID)
	a.setOffered(w)
}

// setOffered applies the resources in a description of a worker. Agents of older
// builds do not say what their upstream offered at most.
func (a *agent) setOffered(w wire.Worker) {
	a.Offered = w.Offered
	a.Largest = w.Offered.Max(w.Largest)
}

// addToPool adds the agent to the pool of its service, unless its failure domain is
// evacuated.
func (e *Entry) addToPool(a *agent) {
	if a.pooled || a.svc == nil {
		return
	}
	if e.cfg.Evacuated(a.peer.Domain) {
		e.withhold(a)
		return
	}
	a.svc.pool.Add(&a.Agent)
	a.pooled = true
}

// agentRestarted ends the tasks that the previous incarnation held. The new
// incarnation numbers its reports from 1.
func (e *Entry) agentRestarted(a *agent, p wire.Peer) {
	a.peer = p
	a.incarnation = p.Incarnation
	a.lastReportSeq, a.ackedReportSeq = 0, 0
	a.announced = false
	a.givenUp = nil
	e.forgetPace(a)
	e.endAllAttempts(a, task.ReasonAgentRestarted)
}

// sentIDs returns the IDs of the tasks at the agent in a deterministic order.
func (a *agent) sentIDs() []task.ID {
	ids := slices.Collect(maps.Keys(a.sent))
	slices.SortFunc(ids, compareIDs)
	return ids
}

func compareIDs(a, b task.ID) int {
	return cmp.Or(
		bytes.Compare(a.Submission[:], b.Submission[:]),
		cmp.Compare(a.Index, b.Index),
		cmp.Compare(a.Attempt, b.Attempt),
	)
}

// cancelUnwanted cancels the tasks at the agent whose submissions are already
// answered, and those that were given up during the dial.
func (e *Entry) cancelUnwanted(a *agent) {
	a.toCancel = append(a.toCancel, a.givenUp...)
	a.givenUp = nil
	for _, id := range a.sentIDs() {
		if a.sent[id].sub.answered {
			a.toCancel = append(a.toCancel, id)
		}
	}
	if len(a.toCancel) > 0 {
		e.markDirty(a)
	}
}

// disconnected handles the end of a session or a failed dial. The agent gets no
// more work. It is dialled again, and its tasks end only after
// Options.AgentTimeout.
func (e *Entry) disconnected(ev Disconnected) {
	a := e.agents[ev.Agent]
	if a == nil || a.session != ev.Session || a.link == linkIdle {
		return
	}
	wasOpen := a.link == linkOpen
	a.link = linkIdle
	e.removeFromPool(a)
	e.updateLockAgent(a)
	if wasOpen {
		a.disconnectedAt = e.now
		e.arm(timer{at: e.now + e.opts.AgentTimeout, kind: timerAgentTimeout, agent: a})
		e.requestDial(a)
		return
	}
	if !ev.HelloUnsent {
		a.helloAt = a.dialedAt
	}
	if e.removeUnused(a) {
		return
	}
	e.arm(timer{at: e.now + a.redialDelay, kind: timerDial, agent: a})
	a.redialDelay = min(2*a.redialDelay, maxRedialDelay)
}

// removeFromPool withdraws the agent from placement. Assignments that are not
// sent yet are dropped; the hello of the next session lists their tasks as
// pending, and an agent of the same incarnation reports them as never received.
func (e *Entry) removeFromPool(a *agent) {
	if a.pooled {
		e.withdraw(a)
	}
	a.endWithholding()
	a.Credit = 0
	a.toAssign = nil
	a.toCancel = nil
	a.toAcquire = nil
	a.toRelease = nil
	a.toWithdraw = nil
}

// withdraw removes a pooled agent from its service.
func (e *Entry) withdraw(a *agent) {
	a.svc.pool.Remove(&a.Agent)
	a.pooled = false
}

func (e *Entry) dialDue(a *agent) {
	if a.link != linkIdle || e.agents[a.peer.ID] != a {
		return
	}
	e.requestDial(a)
}

// agentTimedOut ends the tasks of an agent that has had no session for
// Options.AgentTimeout.
func (e *Entry) agentTimedOut(a *agent, at time.Duration) {
	if e.agents[a.peer.ID] != a || a.link == linkOpen || a.disconnectedAt+e.opts.AgentTimeout > at {
		return
	}
	a.givenUp = append(a.givenUp, a.sentIDs()...)
	e.endAllAttempts(a, task.ReasonAgentGone)
	e.removeUnused(a)
}

// lastHello returns when the last dial began whose hello the agent may have read without
// an effect here.
func (a *agent) lastHello() time.Duration {
	if a.link == linkDialing {
		return a.dialedAt
	}
	return a.helloAt
}

// endAllAttempts ends every attempt at an agent with an unknown outcome.
func (e *Entry) endAllAttempts(a *agent, reason task.Reason) {
	for _, id := range a.sentIDs() {
		e.endAttempt(a, id, a.sent[id], task.Outcome{State: task.Unknown, Reason: reason, Where: a.ID})
	}
}

// markDirty schedules an update to the agent at the end of the step.
func (e *Entry) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		e.dirty = append(e.dirty, a)
	}
}

// ackDue schedules an update that acknowledges the agent's last report unless
// another update has done so.
func (e *Entry) ackDue(a *agent) {
	a.ackScheduled = false
	if a.link == linkOpen && a.ackedReportSeq < a.lastReportSeq {
		e.markDirty(a)
	}
}

// sendKeepalives schedules an update to each agent that holds tasks and has not
// been sent one for Options.KeepaliveInterval.
func (e *Entry) sendKeepalives() {
	e.arm(timer{at: e.now + e.opts.KeepaliveInterval/2, kind: timerKeepalive})
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		a := e.agents[id]
		if a.link == linkOpen && len(a.sent) > 0 && e.now >= a.updateSentAt+e.opts.KeepaliveInterval {
			e.markDirty(a)
		}
	}
}
