package agent

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// transit is the minimum transit time of a message in the fake network.
const transit = time.Millisecond

// world simulates an agent with fake entries, a fake network and a fake upstream
// on one virtual clock. It records what actually happened, to check the agent's
// reports against.
type world struct {
	t       *rapid.T
	now     time.Duration
	state   *State
	naive   *naive
	self    wire.Peer
	entries []*fakeEntry
	conns   map[SessionID]*fakeConn
	lastID  SessionID
	runs    map[RunID]*fakeRun

	// startBy is the actual start deadline of each task, on the virtual clock.
	startBy map[task.ID]time.Duration
	started map[task.ID]bool
	notRun  map[task.ID]bool
	outcome map[task.ID]task.Outcome
	probing bool
	drained bool
}

// fakeConn is one connection. Its messages wait in inbox, in order, until the
// network delivers them.
type fakeConn struct {
	id    SessionID
	entry *fakeEntry
	inbox []Event
	last  Event
	cut   bool
}

// fakeEntry is an entry whose only information about the agent comes from
// welcomes and reports.
type fakeEntry struct {
	peer     wire.Peer
	skew     time.Duration
	conn     *fakeConn
	session  uint64
	seq      uint64
	seen     uint64
	agentInc uint64
	welcomed bool
	credit   int
	pending  []task.ID
	lastTask uint64
	minLag   time.Duration
}

type fakeRun struct {
	StartRun
	starts  bool
	stopped bool
}

func newWorld(t *rapid.T, cfg Config, entries int) *world {
	w := &world{
		t: t, now: time.Second, conns: map[SessionID]*fakeConn{},
		startBy: map[task.ID]time.Duration{}, started: map[task.ID]bool{}, notRun: map[task.ID]bool{}, outcome: map[task.ID]task.Outcome{},
	}
	for i := range entries {
		w.entries = append(w.entries, &fakeEntry{
			peer: wire.Peer{Role: wire.RoleEntry, ID: fmt.Sprint("entry-", i), Incarnation: uint64(100 + i)},
			skew: time.Duration(i+1) * 13 * time.Hour,
		})
	}
	w.boot(cfg)
	return w
}

// boot starts a new incarnation of the agent and cuts all connections to the old
// one.
func (w *world) boot(cfg Config) {
	w.self = wire.Peer{Role: wire.RoleAgent, ID: "agent", Incarnation: w.self.Incarnation + 1}
	w.state, w.naive, w.runs, w.drained = New(w.self, cfg), newNaive(cfg), map[RunID]*fakeRun{}, false
	w.probing = false
	for _, c := range w.conns {
		c.cut = true
	}
	clear(w.conns)
	for _, e := range w.entries {
		e.conn, e.minLag = nil, 0
	}
}

// drawIntBits is the number of random bits that drawInt uses.
const drawIntBits = 10

// drawInt draws uniformly from 0 to n-1. Rapid's own integer generators are biased
// towards the ends of the range.
func (w *world) drawInt(n int) int {
	x := 0
	for range drawIntBits {
		x <<= 1
		if rapid.Bool().Draw(w.t, "bit") {
			x |= 1
		}
	}
	return x * n >> drawIntBits
}

// step applies one event to both reducers, executes the effects and compares the
// states.
func (w *world) step(ev Event) {
	due, ok := w.state.Next()
	w.naive.step(w.now, due, ok, ev)
	for _, eff := range w.state.Step(w.now, ev, nil) {
		w.execute(eff)
	}
	w.compare()
}

func (w *world) execute(eff Effect) {
	switch eff := eff.(type) {
	case StartRun:
		w.start(eff)
	case StopRun:
		// The run may already have ended, with its RunEnded still to come.
		if r := w.runs[eff.Run]; r != nil {
			r.stopped = true
		}
	case AbandonRun:
		delete(w.runs, eff.Run)
	case CloseSession:
		w.cut(w.conns[eff.Session])
	case SendWelcome:
		w.welcome(w.conns[eff.Session], eff.Welcome)
	case SendReport:
		w.report(w.conns[eff.Session], eff.Report)
	case ProbeUpstream:
		w.probing = true
	case Drained:
		w.drained = true
	}
}

// start checks that a task may start. Whether the upstream actually starts it is
// drawn at random, and the end of the run is chosen accordingly.
func (w *world) start(eff StartRun) {
	by, ok := w.startBy[eff.ID]
	if !ok {
		w.t.Fatalf("%s started but was never sent", eff.ID)
	}
	e := w.entryOf(eff.ID)
	if late := w.now - by; late > e.minLag+w.now/5000 {
		w.t.Fatalf("%s started %s after its start deadline", eff.ID, late)
	}
	r := &fakeRun{StartRun: eff, starts: w.drawInt(20) > 0}
	w.runs[eff.Run] = r
	if !r.starts {
		return
	}
	if w.started[eff.ID] {
		w.t.Fatalf("%s started twice", eff.ID)
	}
	if w.notRun[eff.ID] {
		w.t.Fatalf("%s started after it was reported as not run", eff.ID)
	}
	w.started[eff.ID] = true
}

func (w *world) entryOf(id task.ID) *fakeEntry {
	return w.entryOfIncarnation(id.Submission.Incarnation())
}

func (w *world) entryOfIncarnation(inc uint64) *fakeEntry {
	for _, e := range w.entries {
		if e.peer.Incarnation == inc {
			return e
		}
	}
	return nil
}

// checkOutcome checks a reported outcome against what actually happened and
// against earlier reports.
func (w *world) checkOutcome(r wire.Result, seq uint64) {
	o := r.Outcome
	if o.State == task.NotRun {
		w.notRun[r.ID] = true
		if w.started[r.ID] {
			w.t.Fatalf("%s is reported as not run (%s) but was started", r.ID, o.Reason)
		}
	}
	if (o.State == task.Complete || o.State == task.Failed) && !w.started[r.ID] {
		w.t.Fatalf("%s is reported as %s but never started", r.ID, o.State)
	}
	if before, ok := w.outcome[r.ID]; ok && o.Reason != task.ReasonAgentRestarted &&
		(before.State != o.State || before.Reason != o.Reason) {
		w.t.Fatalf("%s has two outcomes: %v and %v", r.ID, before, o)
	}
	w.outcome[r.ID] = o
	w.naive.recordReport(r.ID, seq)
}

// welcome checks the outcomes in a Welcome and delivers it, unless the connection
// is cut, in which case the message is lost. Method report does the same for
// reports.
func (w *world) welcome(c *fakeConn, m *wire.Welcome) {
	for _, r := range m.Report.Outcomes {
		w.checkOutcome(r, m.Report.Seq)
	}
	if c.cut {
		return
	}
	e := c.entry
	if m.From.Incarnation != e.agentInc {
		e.agentInc, e.seen = m.From.Incarnation, 0
	}
	e.welcomed = true
	e.applyReport(m.Report)
}

func (w *world) report(c *fakeConn, r *wire.Report) {
	for _, o := range r.Outcomes {
		w.checkOutcome(o, r.Seq)
	}
	if !c.cut {
		c.entry.applyReport(r)
	}
}

func (e *fakeEntry) applyReport(r *wire.Report) {
	if r.Seq <= e.seen {
		return
	}
	e.seen, e.credit = r.Seq, int(r.Credit)
	for _, o := range r.Outcomes {
		if i := slices.Index(e.pending, o.ID); i >= 0 {
			e.pending = slices.Delete(e.pending, i, i+1)
		}
	}
}

func (w *world) clockOf(e *fakeEntry) time.Duration { return w.now + e.skew }

// dial opens a new connection and queues its Hello, which sometimes no longer lists
// a task. The older connection may still deliver the messages in its inbox.
func (w *world) dial(e *fakeEntry) {
	if n := len(e.pending); n > 0 && w.drawInt(4) == 0 {
		i := w.drawInt(n)
		e.pending = slices.Delete(e.pending, i, i+1)
	}
	w.lastID++
	c := &fakeConn{id: w.lastID, entry: e}
	w.conns[c.id] = c
	e.conn, e.welcomed, e.seq = c, false, 0
	e.session++
	w.enqueue(c, SessionOpened{Session: c.id, Hello: &wire.Hello{
		From: e.peer, Session: e.session, SentAt: w.clockOf(e),
		AgentIncarnation: e.agentInc, Pending: slices.Clone(e.pending),
	}})
}

func (w *world) enqueue(c *fakeConn, ev Event) { c.inbox = append(c.inbox, ev) }

// send queues an update with new tasks and cancellations.
func (w *world) send(e *fakeEntry, tasks []wire.Assignment, cancel []task.ID) {
	for i := range tasks {
		tasks[i].ID = w.nextID(e)
		w.startBy[tasks[i].ID] = max(w.startBy[tasks[i].ID], w.now+tasks[i].StartWithin)
		if !slices.Contains(e.pending, tasks[i].ID) {
			e.pending = append(e.pending, tasks[i].ID)
		}
	}
	e.seq++
	waiting := rapid.Uint32Range(0, 3).Draw(w.t, "waiting")
	w.enqueue(e.conn, UpdateReceived{Session: e.conn.id, Update: &wire.Update{
		Seq: e.seq, Ack: e.seen, SentAt: w.clockOf(e), Tasks: tasks, Cancel: cancel,
		Demand: wire.Demand{Waiting: waiting, Rank: float64(waiting)},
	}})
}

// nextID returns the id of a new task or, sometimes, of a pending one, which is
// thereby sent again or was cancelled before it was sent.
func (w *world) nextID(e *fakeEntry) task.ID {
	if n := len(e.pending); n > 0 && w.drawInt(12) == 0 {
		return e.pending[w.drawInt(n)]
	}
	return e.newID()
}

// newID returns the id of the next task. Each job has three tasks.
func (e *fakeEntry) newID() task.ID {
	e.lastTask++
	return task.ID{Submission: task.NewSubmissionID(e.peer.Incarnation, e.lastTask/3), Index: uint32(e.lastTask % 3)}
}

// deliver passes the next message of a connection to the agent.
func (w *world) deliver(c *fakeConn) {
	if len(c.inbox) == 0 {
		return
	}
	ev := c.inbox[0]
	c.inbox, c.last = c.inbox[1:], ev
	if w.accepts(ev) {
		w.recordLag(c.entry, ev)
	}
	w.step(ev)
}

// accepts reports whether the agent uses a message for its clock estimate. It
// ignores messages of older sessions and duplicates. For an entry that the agent
// does not know, accepts also resets minLag.
func (w *world) accepts(ev Event) bool {
	switch ev := ev.(type) {
	case SessionOpened:
		e := w.state.entries[ev.Hello.From.Incarnation]
		if e == nil {
			w.entryOfIncarnation(ev.Hello.From.Incarnation).minLag = 0
		}
		return e == nil || ev.Hello.Session > e.sessionNo
	case UpdateReceived:
		e := w.state.sessions[ev.Session]
		return e != nil && ev.Update.Seq > e.lastSeq
	}
	return false
}

// recordLag updates the minimum actual transit time of an entry's messages.
func (w *world) recordLag(e *fakeEntry, ev Event) {
	var sentAt time.Duration
	switch ev := ev.(type) {
	case SessionOpened:
		sentAt = ev.Hello.SentAt
	case UpdateReceived:
		sentAt = ev.Update.SentAt
	default:
		return
	}
	if lag := w.clockOf(e) - sentAt; e.minLag == 0 || lag < e.minLag {
		e.minLag = lag
	}
}

// cut closes a connection on the entry's side. Messages that the entry has sent
// may still arrive.
func (w *world) cut(c *fakeConn) {
	if c == nil || c.cut {
		return
	}
	c.cut = true
	if c.entry.conn == c {
		c.entry.conn = nil
	}
}

// advance moves the clock forward and delivers the ticks that the agent requests.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for i := 0; ; i++ {
		at, ok := w.state.Next()
		if !ok || at > end {
			break
		}
		if i > 10_000 {
			w.t.Fatalf("ticks don't end: %s", at)
		}
		w.now = max(w.now, at)
		w.step(Tick{})
	}
	w.now = end
}

// finish ends a run in a way that is consistent with whether it started and was
// requested to stop.
func (w *world) finish(r *fakeRun, draw int) {
	delete(w.runs, r.Run)
	end := RunEnded{Run: r.Run, Ran: time.Millisecond}
	switch {
	case !r.starts:
		end.End = []End{EndRefused, EndBusy, EndExpired}[draw%3]
	case r.stopped:
		end.End = []End{EndStopped, EndComplete, EndLost}[draw%3]
	default:
		end.End = []End{EndComplete, EndComplete, EndComplete, EndFailed, EndLost}[draw%5]
	}
	w.step(end)
}

// compare compares the state with that of the naive implementation.
func (w *world) compare() {
	var running, queued []task.ID
	for _, r := range w.state.running {
		running = append(running, r.id)
	}
	for _, r := range w.state.queue.recs {
		queued = append(queued, r.id)
	}
	w.equal("running", running, ids(w.naive.inPhase(phaseRunning)), true)
	w.equal("queued", queued, ids(w.naive.inPhase(phaseQueued)), false)
	if got, want := w.state.slots(), w.naive.slots(); got != want {
		w.t.Fatalf("slots: %d, naive %d", got, want)
	}
	for _, n := range w.naive.inPhase(phaseEnded) {
		w.compareEnded(n)
	}
}

func (w *world) compareEnded(n *naiveTask) {
	r := w.state.tasks[n.id]
	switch {
	case r == nil && !n.acked:
		w.t.Fatalf("%s: outcome was dropped before it was acknowledged", n.id)
	case r != nil && (r.phase != phaseEnded || r.result.Outcome.State != n.state || r.result.Outcome.Reason != n.reason):
		w.t.Fatalf("%s: phase %d outcome %v, naive %s %s", n.id, r.phase, r.result.Outcome, n.state, n.reason)
	}
}

func ids(tasks []*naiveTask) []task.ID {
	var list []task.ID
	for _, t := range tasks {
		list = append(list, t.id)
	}
	return list
}

func (w *world) equal(what string, got, want []task.ID, anyOrder bool) {
	if anyOrder {
		slices.SortFunc(got, compareID)
		slices.SortFunc(want, compareID)
	}
	if !slices.Equal(got, want) {
		w.t.Fatalf("%s: %v, naive %v", what, got, want)
	}
}

func compareID(a, b task.ID) int {
	return slices.Compare([]byte(a.String()), []byte(b.String()))
}
