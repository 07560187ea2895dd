package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// naive is a reference implementation of State that makes the same decisions in
// the simplest way: it keeps all tasks ever seen in one list and searches it
// linearly.
type naive struct {
	cfg               Config
	tasks             []*naiveTask
	sessions          map[SessionID]*naiveEntry
	entries           map[uint64]*naiveEntry
	up                Upstream
	leaseUntil        time.Duration
	leaving           bool
	unreachable       bool
	busyUntil         time.Duration
	drain             bool
	failedSubmissions map[task.SubmissionID]bool
	health            string // "", suspended or probation
	suspendedUntil    time.Duration
	backoff           time.Duration
	lastRun           RunID
}

type naiveEntry struct {
	clock              peerClock
	session            SessionID
	sessionNo, lastSeq uint64
	disconnectedAt     time.Duration
	welcomedAt         time.Duration
}

type naiveTask struct {
	id              task.ID
	entry           *naiveEntry
	phase           phase
	rank            float64
	need            task.Resources
	startBy, runBy  time.Duration
	arrived         time.Duration
	run             RunID
	stopReason      task.Reason
	stopRequestedAt time.Duration
	state           task.State
	reason          task.Reason
	reportSeqs      []uint64
	acked           bool
}

func newNaive(cfg Config) *naive {
	return &naive{
		cfg:               cfg.withDefaults(),
		sessions:          map[SessionID]*naiveEntry{},
		entries:           map[uint64]*naiveEntry{},
		failedSubmissions: map[task.SubmissionID]bool{},
	}
}

func (n *naive) step(now time.Duration, due time.Duration, dueOK bool, ev Event) {
	if dueOK && now-due >= freezeThreshold {
		n.extendAfterFreeze(now)
	}
	n.expire(now)
	switch ev := ev.(type) {
	case SessionOpened:
		n.open(now, ev)
	case UpdateReceived:
		n.update(now, ev)
	case SessionClosed:
		n.close(now, ev.Session)
	case Announced:
		n.announce(now, ev.Upstream)
	case Left:
		n.leave(ev.Instance)
	case RunEnded:
		n.ended(now, ev)
	case RunChecked:
		n.checked(ev)
	case Probed:
		if n.leaseUntil > 0 && ev.Instance == n.up.Instance {
			n.setUnreachable(!ev.OK)
		}
	case Drain:
		n.drain = true
		n.refuseAll(task.ReasonDraining)
	}
	n.dispatch(now)
}

func (n *naive) extendAfterFreeze(now time.Duration) {
	if n.leaseUntil > 0 {
		n.leaseUntil = max(n.leaseUntil, now+n.up.Lease)
	}
	for _, t := range n.inPhase(phaseRunning) {
		if t.stopReason != "" {
			t.stopRequestedAt = now
		}
	}
}

// inPhase returns the tasks in a phase, and queued ones ordered by rank and then
// by arrival.
func (n *naive) inPhase(p phase) []*naiveTask {
	var list []*naiveTask
	for _, t := range n.tasks {
		if t.phase == p {
			list = append(list, t)
		}
	}
	if p == phaseQueued {
		slices.SortStableFunc(list, func(a, b *naiveTask) int {
			if a.rank < b.rank {
				return -1
			}
			if a.rank > b.rank {
				return 1
			}
			return 0
		})
	}
	return list
}

func (n *naive) find(id task.ID) *naiveTask {
	for _, t := range n.tasks {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (t *naiveTask) end(s task.State, reason task.Reason) {
	t.phase, t.state, t.reason = phaseEnded, s, reason
}

func (n *naive) refuseAll(reason task.Reason) {
	for _, t := range n.inPhase(phaseQueued) {
		t.end(task.NotRun, reason)
	}
}

func (n *naive) slots() int {
	switch {
	case n.drain, n.leaseUntil == 0, n.leaving, n.unreachable, n.health == "suspended":
		return 0
	case n.health == "probation":
		return 1
	}
	return int(min(n.up.Slots, n.up.Connections))
}

func (n *naive) expire(now time.Duration) {
	if n.health == "suspended" && now >= n.suspendedUntil {
		n.health = "probation"
	}
	if n.leaseUntil > 0 && now >= n.leaseUntil && (!n.leaving || len(n.inPhase(phaseRunning)) == 0) {
		n.dropUpstream()
	}
	for inc, e := range n.entries {
		if e.session == 0 && now >= e.disconnectedAt+n.cfg.EntryTTL {
			n.forget(inc, e, now)
		}
	}
	n.expireQueued(now)
	for _, t := range n.inPhase(phaseRunning) {
		switch {
		case t.stopReason != "" && now >= t.stopRequestedAt+n.cfg.StopGrace:
			t.end(task.Unknown, t.stopReason)
		case t.stopReason == "" && now >= t.runBy && n.up.CanStop:
			t.stopReason, t.stopRequestedAt = task.ReasonDeadline, now
		case t.stopReason == "" && now >= t.runBy:
			t.end(task.Unknown, task.ReasonDeadline)
		}
	}
}

func (n *naive) expireQueued(now time.Duration) {
	for _, t := range n.inPhase(phaseQueued) {
		if now >= t.startBy {
			t.end(task.NotRun, task.ReasonStartExpired)
		}
	}
}

func (n *naive) dropUpstream() {
	n.leaseUntil = 0
	n.refuseAll(task.ReasonNoUpstream)
	for _, t := range n.inPhase(phaseRunning) {
		t.end(task.Unknown, task.ReasonUpstreamGone)
	}
}

func (n *naive) forget(inc uint64, e *naiveEntry, now time.Duration) {
	delete(n.entries, inc)
	for _, t := range n.tasks {
		if t.entry != e {
			continue
		}
		t.acked = true
		if t.phase == phaseQueued {
			t.end(task.NotRun, task.ReasonEntryRestarted)
		}
		if t.phase == phaseRunning && t.stopReason == "" && n.up.CanStop {
			t.stopReason, t.stopRequestedAt = task.ReasonEntryRestarted, now
		}
	}
}

func (n *naive) open(now time.Duration, ev SessionOpened) {
	h := ev.Hello
	e := n.entries[h.From.Incarnation]
	if e != nil && h.Session <= e.sessionNo {
		return
	}
	if e == nil {
		e = &naiveEntry{}
		n.entries[h.From.Incarnation] = e
	}
	delete(n.sessions, e.session)
	e.session, e.sessionNo, e.lastSeq = ev.Session, h.Session, 0
	n.observe(now, e, h.SentAt, unknownAge)
	e.welcomedAt = now
	n.sessions[ev.Session] = e
	for _, t := range n.tasks {
		if t.entry == e && t.phase != phaseEnded && !slices.Contains(h.Pending, t.id) {
			n.cancel(now, e, t.id)
		}
	}
}

func (n *naive) close(now time.Duration, id SessionID) {
	if e := n.sessions[id]; e != nil {
		delete(n.sessions, id)
		e.session, e.disconnectedAt = 0, now
	}
}

func (n *naive) update(now time.Duration, ev UpdateReceived) {
	e, u := n.sessions[ev.Session], ev.Update
	if e == nil || u.Seq <= e.lastSeq {
		return
	}
	lag := n.observe(now, e, u.SentAt, now-e.welcomedAt)
	if u.Seq != e.lastSeq+1 {
		n.close(now, ev.Session)
		return
	}
	e.lastSeq = u.Seq
	for _, t := range n.tasks {
		if t.entry == e && slices.ContainsFunc(t.reportSeqs, func(s uint64) bool { return s <= u.Ack }) {
			t.acked = true
		}
	}
	for _, a := range u.Tasks {
		n.assign(now, e, a, lag)
	}
	for _, id := range u.Cancel {
		n.cancel(now, e, id)
	}
}

func (n *naive) observe(now time.Duration, e *naiveEntry, sentAt, maxAge time.Duration) time.Duration {
	lag, correction := e.clock.observe(now, sentAt, maxAge)
	for _, t := range n.inPhase(phaseQueued) {
		if t.entry == e {
			t.startBy -= correction
			t.runBy -= correction
		}
	}
	return lag
}

func (n *naive) assign(now time.Duration, e *naiveEntry, a wire.Assignment, lag time.Duration) {
	if n.find(a.ID) != nil {
		return
	}
	within := a.RunWithin
	if within <= 0 || within > n.cfg.MaxRun {
		within = n.cfg.MaxRun
	}
	t := &naiveTask{
		id: a.ID, entry: e, phase: phaseQueued, rank: a.Rank, need: a.Spec.Need,
		startBy: now + a.StartWithin - lag, runBy: now + within - lag, arrived: now,
	}
	n.tasks = append(n.tasks, t)
	switch {
	case now >= t.startBy:
		t.end(task.NotRun, task.ReasonStartExpired)
	case n.drain || n.leaving:
		t.end(task.NotRun, task.ReasonDraining)
	case n.leaseUntil == 0:
		t.end(task.NotRun, task.ReasonNoUpstream)
	case n.unreachable:
		t.end(task.NotRun, task.ReasonUpstreamGone)
	case n.health == "suspended":
		t.end(task.NotRun, task.ReasonSuspended)
	case !t.need.Fits(n.up.Offered):
		t.end(task.NotRun, task.ReasonNeverFits)
	}
	queued := n.inPhase(phaseQueued)
	limit := n.slots() + n.queueCapacity()
	if now < n.busyUntil && n.slots() > 0 {
		limit = n.queueCapacity() + len(n.inPhase(phaseRunning))
	}
	if t.phase == phaseQueued && len(queued)+len(n.inPhase(phaseRunning)) > limit {
		queued[len(queued)-1].end(task.NotRun, task.ReasonBusy)
	}
}

func (n *naive) queueCapacity() int {
	if n.health == "probation" {
		return 0
	}
	return max(n.cfg.QueueMin, int(n.cfg.QueueShare*float64(n.slots())))
}

func (n *naive) cancel(now time.Duration, e *naiveEntry, id task.ID) {
	t := n.find(id)
	switch {
	case t == nil:
		t = &naiveTask{id: id, entry: e}
		t.end(task.NotRun, task.ReasonCancelled)
		n.tasks = append(n.tasks, t)
	case t.entry != e:
	case t.phase == phaseQueued:
		t.end(task.NotRun, task.ReasonCancelled)
	case t.phase == phaseRunning && t.stopReason == "" && n.up.CanStop:
		t.stopReason, t.stopRequestedAt = task.ReasonCancelled, now
	}
}

func (n *naive) dispatch(now time.Duration) {
	n.expireQueued(now)
	for len(n.inPhase(phaseRunning)) < n.slots() && now >= n.busyUntil {
		t := n.nextFitting(now)
		if t == nil {
			return
		}
		n.lastRun++
		t.phase, t.run = phaseRunning, n.lastRun
	}
}

func (n *naive) nextFitting(now time.Duration) *naiveTask {
	free := n.up.Offered
	for _, t := range n.inPhase(phaseRunning) {
		free = free.Sub(t.need)
	}
	for i, t := range n.inPhase(phaseQueued) {
		if t.need.Fits(free) {
			return t
		}
		if i == 0 && now-t.arrived >= n.cfg.MaxBypass {
			return nil
		}
	}
	return nil
}

func (n *naive) announce(now time.Duration, a Upstream) {
	if n.leaseUntil == 0 || a.Instance != n.up.Instance {
		n.dropUpstream()
		n.leaving, n.unreachable, n.busyUntil = false, false, 0
		clear(n.failedSubmissions)
	}
	n.up, n.leaseUntil = a, now+a.Lease
	if a.Draining {
		n.leave(a.Instance)
	}
}

func (n *naive) leave(instance string) {
	if n.leaseUntil > 0 && instance == n.up.Instance && !n.leaving {
		n.leaving = true
		n.refuseAll(task.ReasonDraining)
	}
}

func (n *naive) setUnreachable(on bool) {
	if on && !n.unreachable {
		n.refuseAll(task.ReasonUpstreamGone)
	}
	n.unreachable = on
}

func (n *naive) byRun(id RunID) *naiveTask {
	for _, t := range n.inPhase(phaseRunning) {
		if t.run == id {
			return t
		}
	}
	return nil
}

func (n *naive) checked(ev RunChecked) {
	t := n.byRun(ev.Run)
	if t == nil {
		return
	}
	switch ev.Verdict {
	case VerdictMissing:
		t.end(task.Unknown, task.ReasonUpstreamGone)
	case VerdictUnreachable:
		if n.leaseUntil > 0 {
			n.setUnreachable(true)
		}
	}
}

func (n *naive) ended(now time.Duration, ev RunEnded) {
	t := n.byRun(ev.Run)
	if t == nil {
		return
	}
	if t.stopReason == "" {
		n.updateHealth(now, t, ev.End)
	}
	reason := t.stopReason
	if reason == "" {
		reason = task.ReasonUpstreamError
	}
	switch ev.End {
	case EndComplete:
		t.end(task.Complete, task.ReasonNone)
	case EndFailed, EndStopped:
		t.end(task.Failed, reason)
	case EndBusy:
		t.end(task.NotRun, task.ReasonBusy)
		n.busyUntil = now + n.cfg.BusyPause
	case EndExpired:
		t.end(task.NotRun, task.ReasonStartExpired)
	case EndLost:
		t.end(task.Unknown, task.ReasonUpstreamGone)
	case EndRefused:
		t.end(task.NotRun, task.ReasonUpstreamGone)
		if n.leaseUntil > 0 {
			n.setUnreachable(true)
		}
	}
}

func (n *naive) updateHealth(now time.Duration, t *naiveTask, end End) {
	switch end {
	case EndComplete:
		clear(n.failedSubmissions)
		if n.health == "probation" || n.health == "" {
			n.health, n.backoff = "", 0
		}
	case EndFailed, EndLost, EndRefused:
		if n.health == "suspended" {
			return
		}
		n.failedSubmissions[t.id.Submission] = true
		if n.health == "probation" || len(n.failedSubmissions) >= n.cfg.SuspendAfter {
			n.backoff = min(max(2*n.backoff, n.cfg.SuspendFirst), n.cfg.SuspendMax)
			n.health, n.suspendedUntil = "suspended", now+n.backoff
			clear(n.failedSubmissions)
			n.refuseAll(task.ReasonSuspended)
		}
	}
}

// recordReport records that the report with number seq carried a task's outcome.
func (n *naive) recordReport(id task.ID, seq uint64) {
	if t := n.find(id); t != nil {
		t.reportSeqs = append(t.reportSeqs, seq)
	}
}
