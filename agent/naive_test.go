package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// naive decides the same as State in the simplest way: one list of all tasks
// ever seen, searched from end to end, and nothing is forgotten.
type naive struct {
	cfg      Config
	tasks    []*naiveTask
	sessions map[SessionID]*naiveEntry
	entries  map[uint64]*naiveEntry
	up       Upstream
	until    time.Duration
	leaving  bool
	suspect  bool
	busy     time.Duration
	drain    bool
	failing  map[task.SubmissionID]bool
	state    string // "", suspended or probation
	resume   time.Duration
	backoff  time.Duration
	lastRun  RunID
}

type naiveEntry struct {
	clock   peerClock
	session SessionID
	no, seq uint64
	goneAt  time.Duration
}

type naiveTask struct {
	id             task.ID
	entry          *naiveEntry
	phase          phase
	rank           float64
	need           task.Resources
	startBy, runBy time.Duration
	arrived        time.Duration
	run            RunID
	stopWhy        task.Reason
	stopAt         time.Duration
	state          task.State
	reason         task.Reason
	seqs           []uint64
	acked          bool
}

func newNaive(cfg Config) *naive {
	return &naive{
		cfg:      cfg.withDefaults(),
		sessions: map[SessionID]*naiveEntry{},
		entries:  map[uint64]*naiveEntry{},
		failing:  map[task.SubmissionID]bool{},
	}
}

func (n *naive) step(now time.Duration, due time.Duration, dueOK bool, ev Event) {
	if dueOK && now-due >= stallAfter {
		n.stalled(now)
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
		n.left(ev.Instance)
	case RunEnded:
		n.ended(now, ev)
	case RunChecked:
		n.checked(ev)
	case Probed:
		if n.until > 0 && ev.Instance == n.up.Instance {
			n.setSuspect(!ev.OK)
		}
	case Drain:
		n.drain = true
		n.refuseAll(task.ReasonDraining)
	}
	n.dispatch(now)
}

func (n *naive) stalled(now time.Duration) {
	if n.until > 0 {
		n.until = max(n.until, now+n.up.Lease)
	}
	for _, t := range n.in(phaseRunning) {
		if t.stopWhy != "" {
			t.stopAt = now
		}
	}
}

// in returns the tasks of a phase; queued ones by rank and then by arrival.
func (n *naive) in(p phase) []*naiveTask {
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

func (t *naiveTask) end(s task.State, why task.Reason) {
	t.phase, t.state, t.reason = phaseEnded, s, why
}

func (n *naive) refuseAll(why task.Reason) {
	for _, t := range n.in(phaseQueued) {
		t.end(task.NotRun, why)
	}
}

func (n *naive) slots() int {
	switch {
	case n.drain, n.until == 0, n.leaving, n.suspect, n.state == "suspended":
		return 0
	case n.state == "probation":
		return 1
	}
	return int(min(n.up.Slots, n.up.Connections))
}

func (n *naive) expire(now time.Duration) {
	if n.state == "suspended" && now >= n.resume {
		n.state = "probation"
	}
	if n.until > 0 && now >= n.until && (!n.leaving || len(n.in(phaseRunning)) == 0) {
		n.lose()
	}
	for inc, e := range n.entries {
		if e.session == 0 && now >= e.goneAt+n.cfg.ForgetEntry {
			n.forget(inc, e, now)
		}
	}
	n.expireQueued(now)
	for _, t := range n.in(phaseRunning) {
		switch {
		case t.stopWhy != "" && now >= t.stopAt+n.cfg.StopGrace:
			t.end(task.Unknown, t.stopWhy)
		case t.stopWhy == "" && now >= t.runBy && n.up.CanStop:
			t.stopWhy, t.stopAt = task.ReasonDeadline, now
		case t.stopWhy == "" && now >= t.runBy:
			t.end(task.Unknown, task.ReasonDeadline)
		}
	}
}

func (n *naive) expireQueued(now time.Duration) {
	for _, t := range n.in(phaseQueued) {
		if now >= t.startBy {
			t.end(task.NotRun, task.ReasonStartExpired)
		}
	}
}

func (n *naive) lose() {
	n.until = 0
	n.refuseAll(task.ReasonNoUpstream)
	for _, t := range n.in(phaseRunning) {
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
		if t.phase == phaseRunning && t.stopWhy == "" && n.up.CanStop {
			t.stopWhy, t.stopAt = task.ReasonEntryRestarted, now
		}
	}
}

func (n *naive) open(now time.Duration, ev SessionOpened) {
	h := ev.Hello
	e := n.entries[h.From.Incarnation]
	if e != nil && h.Session <= e.no {
		return
	}
	if e == nil {
		e = &naiveEntry{}
		n.entries[h.From.Incarnation] = e
	}
	delete(n.sessions, e.session)
	e.session, e.no, e.seq = ev.Session, h.Session, 0
	n.observe(now, e, h.SentAt)
	n.sessions[ev.Session] = e
}

func (n *naive) close(now time.Duration, id SessionID) {
	if e := n.sessions[id]; e != nil {
		delete(n.sessions, id)
		e.session, e.goneAt = 0, now
	}
}

func (n *naive) update(now time.Duration, ev UpdateReceived) {
	e, u := n.sessions[ev.Session], ev.Update
	if e == nil || u.Seq <= e.seq {
		return
	}
	lag := n.observe(now, e, u.SentAt)
	if u.Seq != e.seq+1 {
		n.close(now, ev.Session)
		return
	}
	e.seq = u.Seq
	for _, t := range n.tasks {
		if t.entry == e && slices.ContainsFunc(t.seqs, func(s uint64) bool { return s <= u.Ack }) {
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

func (n *naive) observe(now time.Duration, e *naiveEntry, sentAt time.Duration) time.Duration {
	lag, correction := e.clock.observe(now, sentAt)
	for _, t := range n.in(phaseQueued) {
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
	case n.until == 0:
		t.end(task.NotRun, task.ReasonNoUpstream)
	case n.suspect:
		t.end(task.NotRun, task.ReasonUpstreamGone)
	case n.state == "suspended":
		t.end(task.NotRun, task.ReasonSuspended)
	case !t.need.Fits(n.up.Offered):
		t.end(task.NotRun, task.ReasonNeverFits)
	}
	queued := n.in(phaseQueued)
	limit := n.slots() + n.queueLen()
	if now < n.busy && n.slots() > 0 {
		limit = n.queueLen() + len(n.in(phaseRunning))
	}
	if t.phase == phaseQueued && len(queued)+len(n.in(phaseRunning)) > limit {
		queued[len(queued)-1].end(task.NotRun, task.ReasonBusy)
	}
}

func (n *naive) queueLen() int {
	if n.state == "probation" {
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
	case t.phase == phaseRunning && t.stopWhy == "" && n.up.CanStop:
		t.stopWhy, t.stopAt = task.ReasonCancelled, now
	}
}

func (n *naive) dispatch(now time.Duration) {
	n.expireQueued(now)
	for len(n.in(phaseRunning)) < n.slots() && now >= n.busy {
		t := n.pick(now)
		if t == nil {
			return
		}
		n.lastRun++
		t.phase, t.run = phaseRunning, n.lastRun
	}
}

func (n *naive) pick(now time.Duration) *naiveTask {
	free := n.up.Offered
	for _, t := range n.in(phaseRunning) {
		free = free.Sub(t.need)
	}
	for i, t := range n.in(phaseQueued) {
		if t.need.Fits(free) {
			return t
		}
		if i == 0 && now-t.arrived >= n.cfg.BypassAfter {
			return nil
		}
	}
	return nil
}

func (n *naive) announce(now time.Duration, a Upstream) {
	if n.until == 0 || a.Instance != n.up.Instance {
		n.lose()
		n.leaving, n.suspect, n.busy = false, false, 0
		clear(n.failing)
	}
	n.up, n.until = a, now+a.Lease
	if a.Draining {
		n.left(a.Instance)
	}
}

func (n *naive) left(instance string) {
	if n.until > 0 && instance == n.up.Instance && !n.leaving {
		n.leaving = true
		n.refuseAll(task.ReasonDraining)
	}
}

func (n *naive) setSuspect(on bool) {
	if on && !n.suspect {
		n.refuseAll(task.ReasonUpstreamGone)
	}
	n.suspect = on
}

func (n *naive) byRun(id RunID) *naiveTask {
	for _, t := range n.in(phaseRunning) {
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
		if n.until > 0 {
			n.setSuspect(true)
		}
	}
}

func (n *naive) ended(now time.Duration, ev RunEnded) {
	t := n.byRun(ev.Run)
	if t == nil {
		return
	}
	if t.stopWhy == "" {
		n.judge(now, t, ev.End)
	}
	why := t.stopWhy
	if why == "" {
		why = task.ReasonUpstreamError
	}
	switch ev.End {
	case EndComplete:
		t.end(task.Complete, task.ReasonNone)
	case EndFailed, EndStopped:
		t.end(task.Failed, why)
	case EndBusy:
		t.end(task.NotRun, task.ReasonBusy)
		n.busy = now + n.cfg.BusyPause
	case EndExpired:
		t.end(task.NotRun, task.ReasonStartExpired)
	case EndLost:
		t.end(task.Unknown, task.ReasonUpstreamGone)
	case EndRefused:
		t.end(task.NotRun, task.ReasonUpstreamGone)
		if n.until > 0 {
			n.setSuspect(true)
		}
	}
}

func (n *naive) judge(now time.Duration, t *naiveTask, end End) {
	switch end {
	case EndComplete:
		clear(n.failing)
		if n.state == "probation" || n.state == "" {
			n.state, n.backoff = "", 0
		}
	case EndFailed, EndLost, EndRefused:
		if n.state == "suspended" {
			return
		}
		n.failing[t.id.Submission] = true
		if n.state == "probation" || len(n.failing) >= n.cfg.EjectAfter {
			n.backoff = min(max(2*n.backoff, n.cfg.SuspendFirst), n.cfg.SuspendMax)
			n.state, n.resume = "suspended", now+n.backoff
			clear(n.failing)
			n.refuseAll(task.ReasonSuspended)
		}
	}
}

// told notes which report carried an outcome.
func (n *naive) told(id task.ID, seq uint64) {
	if t := n.find(id); t != nil {
		t.seqs = append(t.seqs, seq)
	}
}
