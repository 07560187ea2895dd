package proof

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// simulation wires entry and agent reducers by fake sessions and fake upstreams
// under a virtual clock. Everything that happens is an item on one heap, so a
// run follows from its seed alone.
type simulation struct {
	now             time.Duration
	pending         actionQueue
	lastSeq         uint64
	rng             *rand.Rand
	linkDelay       time.Duration
	jitter          time.Duration
	entries         []*simEntry
	agents          map[string]*simAgent
	lastIncarnation uint64
	// fleetEntries is how many entries the directory names.
	fleetEntries int
	config       *fleet.Config

	started       map[task.ID]int
	startsOf      map[taskKey]int
	answers       map[task.SubmissionID][]task.Answer
	submitted     map[task.SubmissionID]time.Duration
	latency       map[task.SubmissionID]time.Duration
	messages      int
	partitioned   map[string]bool // "entry|agent" pairs that can't talk
	duplicateRate float64
	controlUp     bool // answers claims
	claims        map[string]wire.Claim
	outcomes      map[string]task.Outcome
}

type taskKey struct {
	sub   task.SubmissionID
	index uint32
}

type scheduledAction struct {
	at     time.Duration
	seq    uint64
	action func()
}

type actionQueue []scheduledAction

func (h actionQueue) Len() int { return len(h) }
func (h actionQueue) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].seq < h[k].seq
}
func (h actionQueue) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *actionQueue) Push(x any)   { *h = append(*h, x.(scheduledAction)) }
func (h *actionQueue) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simEntry struct {
	id             string
	incarnation    uint64
	reducer        *entry.Entry
	effects        []entry.Effect
	dead           bool
	lastSubmission uint64
	links          map[string]*simLink // by agent
	tickAt         time.Duration
}

type simAgent struct {
	id          string
	incarnation uint64
	reducer     *agent.State
	effects     []agent.Effect
	dead        bool
	frozen      bool
	deferred    []func() // what arrived while frozen
	links       map[agent.SessionID]*simLink
	lastSession agent.SessionID
	tickAt      time.Duration
	cfg         agent.Config
	worker      workerSpec
	runs        map[agent.RunID]bool
}

// workerSpec is the fake upstream behind an agent.
type workerSpec struct {
	slots    uint32
	slowdown float64 // run times are multiplied by it
	fails    bool    // fails at once all it starts
	restarts int     // counts the upstream's runs
	departed bool    // announces nothing
}

// simLink is a session: two ordered streams.
type simLink struct {
	entry        *simEntry
	agent        *simAgent
	entrySession uint64
	agentSession agent.SessionID
	closed       bool
	// welcomed is set once the entry has the welcome.
	welcomed    bool
	lastToAgent time.Duration // when the last message arrives, for order
	lastToEntry time.Duration
}

type simulationOptions struct {
	seed         uint64
	entries      int
	agents       int
	slots        uint32
	linkDelay    time.Duration
	policy       placement.Policy
	order        queue.Order
	agentCfg     agent.Config
	config       *fleet.Config
	demandFanout int
}

func newSimulation(o simulationOptions) *simulation {
	w := &simulation{
		rng:       rand.New(rand.NewPCG(o.seed, 1)),
		linkDelay: o.linkDelay,
		agents:    make(map[string]*simAgent),
		config:    o.config,

		fleetEntries: o.entries,

		started:     make(map[task.ID]int),
		startsOf:    make(map[taskKey]int),
		answers:     make(map[task.SubmissionID][]task.Answer),
		submitted:   make(map[task.SubmissionID]time.Duration),
		latency:     make(map[task.SubmissionID]time.Duration),
		partitioned: make(map[string]bool),
		controlUp:   true,
		claims:      make(map[string]wire.Claim),
		outcomes:    make(map[string]task.Outcome),
	}
	if w.config == nil {
		w.config = testConfig()
	}
	for i := range o.agents {
		w.startAgent(fmt.Sprintf("a%02d", i), o.agentCfg, workerSpec{slots: o.slots, slowdown: 1})
	}
	for i := range o.entries {
		w.startEntry(fmt.Sprintf("e%d", i), o)
	}
	return w
}

func testConfig() *fleet.Config {
	return &fleet.Config{
		Index: 1,
		Services: map[string]fleet.Service{
			"svc": {Name: "svc", MaxTasks: 1000, MaxBody: 1 << 20, Deadline: 60 * time.Second, MaxDeadline: 10 * time.Minute, MaxWaiting: 1 << 20},
		},
		Teams: map[string]fleet.Team{"t0": {Name: "t0", Weight: 1}, "t1": {Name: "t1", Weight: 1}},
		Retry: fleet.Retry{Budget: 0.1, MaxAttempts: 3},
	}
}

func (w *simulation) at(t time.Duration, do func()) {
	w.lastSeq++
	heap.Push(&w.pending, scheduledAction{max(t, w.now), w.lastSeq, do})
}

// run handles everything up to a time.
func (w *simulation) run(until time.Duration) {
	for len(w.pending) > 0 && w.pending[0].at <= until {
		it := heap.Pop(&w.pending).(scheduledAction)
		w.now = it.at
		it.action()
	}
	w.now = until
}

func (w *simulation) newIncarnation() uint64 {
	w.lastIncarnation++
	return w.lastIncarnation
}

func (w *simulation) delay() time.Duration {
	if w.jitter == 0 {
		return w.linkDelay
	}
	return w.linkDelay + time.Duration(w.rng.Int64N(int64(w.jitter)))
}

func (w *simulation) startEntry(id string, o simulationOptions) *simEntry {
	e := &simEntry{id: id, incarnation: w.newIncarnation(), links: make(map[string]*simLink), tickAt: -1}
	e.reducer = entry.New(entry.Options{
		Self:         wire.Peer{Role: wire.RoleEntry, ID: id, Incarnation: e.incarnation},
		Policy:       o.policy,
		Order:        o.order,
		Seed:         o.seed + e.incarnation,
		Config:       w.config,
		DemandFanout: o.demandFanout,
	})
	w.entries = append(w.entries, e)
	w.stepEntry(e, entry.DirectoryChanged{Directory: w.directory()})
	return e
}

func (w *simulation) directory() wire.Directory {
	d := wire.Directory{Full: true, Complete: true}
	for i := range len(w.agents) {
		a := w.agents[fmt.Sprintf("a%02d", i)]
		if a == nil || a.dead {
			continue
		}
		d.Upserts = append(d.Upserts, wire.Member{Peer: a.peer(), Worker: &wire.Worker{Service: "svc", Slots: a.worker.slots}})
	}
	for i := range w.fleetEntries {
		d.Upserts = append(d.Upserts, wire.Member{Peer: wire.Peer{Role: wire.RoleEntry, ID: fmt.Sprintf("e%d", i)}})
	}
	return d
}

func (a *simAgent) peer() wire.Peer {
	return wire.Peer{Role: wire.RoleAgent, ID: a.id, Incarnation: a.incarnation, Addr: a.id}
}

func (w *simulation) startAgent(id string, cfg agent.Config, spec workerSpec) *simAgent {
	a := &simAgent{
		id: id, incarnation: w.newIncarnation(), cfg: cfg, worker: spec, tickAt: -1,
		links: make(map[agent.SessionID]*simLink),
		runs:  make(map[agent.RunID]bool),
	}
	a.reducer = agent.New(a.peer(), cfg)
	w.agents[id] = a
	w.announce(a)
	return a
}

// announce renews the upstream's lease for as long as the agent lives.
func (w *simulation) announce(a *simAgent) {
	if a.dead {
		return
	}
	w.at(w.now+time.Second, func() { w.announce(a) })
	if a.worker.departed {
		return
	}
	w.stepAgent(a, agent.Announced{Upstream: agent.Upstream{
		Instance: a.instance(), Service: "svc", Slots: a.worker.slots, Connections: 64,
		Offered: task.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: 1},
		Lease:   3 * time.Second, CanStop: true,
	}})
}

func (a *simAgent) instance() string { return fmt.Sprintf("u%s-%d", a.id, a.worker.restarts) }

// restartUpstream lets the upstream say goodbye; its next run announces itself after d.
func (w *simulation) restartUpstream(a *simAgent, d time.Duration) {
	if a.worker.departed {
		return
	}
	w.stepAgent(a, agent.Left{Instance: a.instance()})
	a.worker.departed = true
	w.at(w.now+d, func() {
		a.worker.restarts++
		a.worker.departed = false
	})
}

func (w *simulation) stepEntry(e *simEntry, ev entry.Event) {
	if e.dead {
		return
	}
	e.effects = e.reducer.Step(w.now, ev, e.effects[:0])
	for _, eff := range e.effects {
		w.entryEffect(e, eff)
	}
	if at, ok := e.reducer.Next(); ok && (e.tickAt < 0 || at < e.tickAt || e.tickAt <= w.now) {
		e.tickAt = at
		w.at(at, func() {
			if e.tickAt == at {
				e.tickAt = -1
				w.stepEntry(e, entry.Tick{})
			}
		})
	}
}

func (w *simulation) stepAgent(a *simAgent, ev agent.Event) {
	if a.dead {
		return
	}
	if a.frozen {
		a.deferred = append(a.deferred, func() { w.stepAgent(a, ev) })
		return
	}
	a.effects = a.reducer.Step(w.now, ev, a.effects[:0])
	for _, eff := range append([]agent.Effect(nil), a.effects...) {
		w.agentEffect(a, eff)
	}
	if at, ok := a.reducer.Next(); ok && (a.tickAt < 0 || at < a.tickAt || a.tickAt <= w.now) {
		a.tickAt = at
		w.at(at, func() {
			if a.tickAt == at && !a.frozen {
				a.tickAt = -1
				w.stepAgent(a, agent.Tick{})
			}
		})
	}
}

func (w *simulation) entryEffect(e *simEntry, eff entry.Effect) {
	switch eff := eff.(type) {
	case entry.Answer:
		id := eff.Answer.ID
		w.answers[id] = append(w.answers[id], eff.Answer)
		if _, ok := w.latency[id]; !ok {
			w.latency[id] = w.now - w.submitted[id]
		}
	case entry.Dial:
		w.dial(e, eff)
	case entry.Send:
		if l := e.links[eff.Agent]; l != nil && l.entrySession == eff.Session {
			w.sendToAgent(l, agent.UpdateReceived{Session: l.agentSession, Update: eff.Update})
		}
	case entry.Hangup:
		if l := e.links[eff.Agent]; l != nil && l.entrySession == eff.Session {
			w.breakLink(l)
		}
	case entry.SendClaim:
		w.claim(e, eff.Claim)
	case entry.SendResolve:
		w.resolve(eff.Resolve)
	}
}

func (w *simulation) agentEffect(a *simAgent, eff agent.Effect) {
	switch eff := eff.(type) {
	case agent.SendWelcome:
		if l := a.links[eff.Session]; l != nil {
			w.sendToEntry(l, entry.Connected{Agent: a.id, Session: l.entrySession, Welcome: eff.Welcome})
		}
	case agent.SendReport:
		if l := a.links[eff.Session]; l != nil {
			w.sendToEntry(l, entry.Received{Agent: a.id, Session: l.entrySession, Report: eff.Report})
		}
	case agent.CloseSession:
		if l := a.links[eff.Session]; l != nil {
			w.breakLink(l)
		}
	case agent.StartRun:
		w.startRun(a, eff)
	case agent.StopRun:
		if a.runs[eff.Run] {
			delete(a.runs, eff.Run)
			w.at(w.now, func() { w.stepAgent(a, agent.RunEnded{Run: eff.Run, End: agent.EndStopped}) })
		}
	case agent.AbandonRun:
		delete(a.runs, eff.Run)
	}
}

// payload says how long a task runs and names it.
func payload(run time.Duration) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(run))
}

func (w *simulation) startRun(a *simAgent, eff agent.StartRun) {
	if w.now > eff.StartBy {
		w.stepAgentLater(a, agent.RunEnded{Run: eff.Run, End: agent.EndExpired}, 0)
		return
	}
	w.started[eff.ID]++
	w.startsOf[taskKey{eff.ID.Submission, eff.ID.Index}]++
	run := time.Duration(float64(binary.BigEndian.Uint64(eff.Payload)) * a.worker.slowdown)
	ev := agent.RunEnded{Run: eff.Run, End: agent.EndComplete, Body: eff.Payload, Ran: run}
	if a.worker.fails {
		run = time.Millisecond
		ev = agent.RunEnded{Run: eff.Run, End: agent.EndFailed, Ran: run}
	}
	a.runs[eff.Run] = true
	w.at(w.now+run, func() {
		if a.runs[eff.Run] {
			delete(a.runs, eff.Run)
			w.stepAgent(a, ev)
		}
	})
}

func (w *simulation) stepAgentLater(a *simAgent, ev agent.Event, d time.Duration) {
	w.at(w.now+d, func() { w.stepAgent(a, ev) })
}

func (w *simulation) dial(e *simEntry, eff entry.Dial) {
	a := w.agents[eff.Peer.ID]
	fail := func() {
		w.stepEntry(e, entry.Disconnected{Agent: eff.Peer.ID, Session: eff.Hello.Session})
	}
	if a == nil || a.dead {
		w.at(w.now+w.delay(), fail)
		return
	}
	if a.frozen || w.partitioned[e.id+"|"+a.id] {
		w.at(w.now+eff.Within, fail)
		return
	}
	a.lastSession++
	l := &simLink{entry: e, agent: a, entrySession: eff.Hello.Session, agentSession: a.lastSession}
	e.links[a.id] = l
	a.links[l.agentSession] = l
	w.sendToAgent(l, agent.SessionOpened{Session: l.agentSession, Hello: eff.Hello})
	w.at(w.now+eff.Within, func() {
		if !l.welcomed {
			w.breakLink(l)
		}
	})
}

// sendToAgent delivers in order, unless the link breaks first.
func (w *simulation) sendToAgent(l *simLink, ev agent.Event) {
	w.messages++
	l.lastToAgent = max(l.lastToAgent, w.now+w.delay())
	deliver := func() {
		if !l.closed && !w.partitioned[l.entry.id+"|"+l.agent.id] {
			w.stepAgent(l.agent, ev)
		}
	}
	w.at(l.lastToAgent, deliver)
	if w.duplicateRate > 0 && w.rng.Float64() < w.duplicateRate {
		w.at(l.lastToAgent+w.delay(), deliver)
	}
}

func (w *simulation) sendToEntry(l *simLink, ev entry.Event) {
	w.messages++
	l.lastToEntry = max(l.lastToEntry, w.now+w.delay())
	deliver := func() {
		if !l.closed && !w.partitioned[l.entry.id+"|"+l.agent.id] {
			l.welcomed = true
			w.stepEntry(l.entry, ev)
		}
	}
	w.at(l.lastToEntry, deliver)
	if w.duplicateRate > 0 && w.rng.Float64() < w.duplicateRate {
		w.at(l.lastToEntry+w.delay(), deliver)
	}
}

// breakLink loses what is under way on a session and tells both ends.
func (w *simulation) breakLink(l *simLink) {
	if l.closed {
		return
	}
	l.closed = true
	w.at(w.now, func() {
		w.stepEntry(l.entry, entry.Disconnected{Agent: l.agent.id, Session: l.entrySession})
	})
	w.at(w.now, func() { w.stepAgent(l.agent, agent.SessionClosed{Session: l.agentSession}) })
}

func (w *simulation) openLinks(a *simAgent) []*simLink {
	var out []*simLink
	for sid := agent.SessionID(1); sid <= a.lastSession; sid++ {
		if l := a.links[sid]; l != nil && !l.closed {
			out = append(out, l)
		}
	}
	return out
}

// silenceTimeout is when a fake session notices that its other end is mute.
const silenceTimeout = 2 * time.Second

// killAgent ends an agent with all that it holds; its upstream goes on.
func (w *simulation) killAgent(id string) {
	a := w.agents[id]
	links := w.openLinks(a)
	a.dead = true
	w.at(w.now+silenceTimeout, func() {
		for _, l := range links {
			w.breakLink(l)
		}
	})
}

// restartAgent starts a new incarnation and announces it to the entries.
func (w *simulation) restartAgent(id string) {
	old := w.agents[id]
	spec := old.worker
	spec.departed = false
	w.startAgent(id, old.cfg, spec)
	w.publishDirectory()
}

func (w *simulation) publishDirectory() {
	for _, e := range w.entries {
		w.stepEntry(e, entry.DirectoryChanged{Directory: w.directory()})
	}
}

// freezeAgent stops an agent for a time, as SIGSTOP does: what arrives is kept
// by its sockets, and its sessions are found silent.
func (w *simulation) freezeAgent(id string, d time.Duration) {
	a := w.agents[id]
	if a.frozen || a.dead {
		return
	}
	a.frozen = true
	links := w.openLinks(a)
	w.at(w.now+silenceTimeout, func() {
		if a.frozen {
			for _, l := range links {
				w.breakLink(l)
			}
		}
	})
	w.at(w.now+d, func() {
		a.frozen = false
		held := a.deferred
		a.deferred = nil
		for _, do := range held {
			do()
		}
		w.stepAgent(a, agent.Tick{})
	})
}

// submit hands a submission to an entry.
func (w *simulation) submit(e *simEntry, s task.Submission) task.SubmissionID {
	e.lastSubmission++
	id := task.NewSubmissionID(e.incarnation, e.lastSubmission)
	w.submitted[id] = w.now
	w.stepEntry(e, entry.Submit{ID: id, Sub: s})
	return id
}

func (w *simulation) claim(e *simEntry, c wire.Claim) {
	reply := func(r wire.ClaimReply) {
		r.Request = c.Request
		w.at(w.now+w.delay(), func() { w.stepEntry(e, entry.ClaimReplied{Reply: r}) })
	}
	w.at(w.now+w.delay(), func() {
		held, ok := w.claims[c.Key]
		out, done := w.outcomes[c.Key]
		switch {
		case !w.controlUp:
			reply(wire.ClaimReply{State: wire.ClaimUnavailable})
		case !ok:
			w.claims[c.Key] = c
			reply(wire.ClaimReply{State: wire.ClaimGranted, Owner: c.Owner})
		case held.BodyDigest != c.BodyDigest:
			reply(wire.ClaimReply{State: wire.ClaimMismatch})
		case done:
			reply(wire.ClaimReply{State: wire.ClaimDone, Owner: held.Owner, Outcome: &out})
		default:
			reply(wire.ClaimReply{State: wire.ClaimPending, Owner: held.Owner})
		}
	})
}

func (w *simulation) resolve(r wire.Resolve) {
	w.at(w.now+w.delay(), func() {
		if c, ok := w.claims[r.Key]; !ok || c.Owner != r.Owner {
			return
		}
		if r.Outcome.State == task.NotRun {
			delete(w.claims, r.Key)
			return
		}
		w.outcomes[r.Key] = r.Outcome
	})
}

func runTimeOf(p []byte) time.Duration { return time.Duration(binary.BigEndian.Uint64(p)) }

// dump describes the state of every process, for a failed test.
func (w *simulation) dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "now %s\n", w.now)
	for _, e := range w.entries {
		fmt.Fprintf(&b, "entry %s/%d dead %v %+v\n", e.id, e.incarnation, e.dead, e.reducer.View())
	}
	for _, a := range w.agents {
		running, queued := a.reducer.Load()
		fmt.Fprintf(&b, "agent %s/%d dead %v frozen %v running %d queued %d %+v %+v\n", a.id, a.incarnation, a.dead, a.frozen, running, queued, a.worker, a.reducer.Stats())
	}
	return b.String()
}
