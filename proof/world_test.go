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

// world wires entry and agent reducers by fake sessions and fake upstreams
// under a virtual clock. Everything that happens is an item on one heap, so a
// run follows from its seed alone.
type world struct {
	now     time.Duration
	items   items
	order   uint64
	rng     *rand.Rand
	hop     time.Duration
	jitter  time.Duration
	entries []*simEntry
	agents  map[string]*simAgent
	lastInc uint64
	// fleetEntries is how many entries the directory names.
	fleetEntries int
	config       *fleet.Config

	started   map[task.ID]int
	startsOf  map[startKey]int
	answers   map[task.SubmissionID][]task.Answer
	submitted map[task.SubmissionID]time.Duration
	latency   map[task.SubmissionID]time.Duration
	messages  int
	cut       map[string]bool // "entry|agent" pairs that can't talk
	doubled   float64
	control   bool // answers claims
	claims    map[string]wire.Claim
	outcomes  map[string]task.Outcome
}

type startKey struct {
	sub   task.SubmissionID
	index uint32
}

type item struct {
	at    time.Duration
	order uint64
	do    func()
}

type items []item

func (h items) Len() int { return len(h) }
func (h items) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].order < h[k].order
}
func (h items) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *items) Push(x any)   { *h = append(*h, x.(item)) }
func (h *items) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type simEntry struct {
	id    string
	inc   uint64
	e     *entry.Entry
	out   []entry.Effect
	dead  bool
	next  uint64
	links map[string]*simLink // by agent
	tick  time.Duration
}

type simAgent struct {
	id     string
	inc    uint64
	a      *agent.State
	out    []agent.Effect
	dead   bool
	frozen bool
	held   []func() // what arrived while frozen
	links  map[agent.SessionID]*simLink
	next   agent.SessionID
	tick   time.Duration
	cfg    agent.Config
	worker workerSpec
	runs   map[agent.RunID]bool
}

// workerSpec is the fake upstream behind an agent.
type workerSpec struct {
	slots  uint32
	factor float64 // run times are multiplied by it
	fails  bool    // fails at once all it starts
	run    int     // counts the upstream's runs
	left   bool    // announces nothing
}

// simLink is a session: two ordered streams.
type simLink struct {
	entry   *simEntry
	agent   *simAgent
	session uint64
	sid     agent.SessionID
	closed  bool
	// welcomed is set once the entry has the welcome.
	welcomed bool
	toAgent  time.Duration // when the last message arrives, for order
	toEntry  time.Duration
}

type worldOptions struct {
	seed     uint64
	entries  int
	agents   int
	slots    uint32
	hop      time.Duration
	policy   placement.Policy
	order    queue.Order
	agentCfg agent.Config
	config   *fleet.Config
	poke     int
}

func newWorld(o worldOptions) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(o.seed, 1)),
		hop:    o.hop,
		agents: make(map[string]*simAgent),
		config: o.config,

		fleetEntries: o.entries,

		started:   make(map[task.ID]int),
		startsOf:  make(map[startKey]int),
		answers:   make(map[task.SubmissionID][]task.Answer),
		submitted: make(map[task.SubmissionID]time.Duration),
		latency:   make(map[task.SubmissionID]time.Duration),
		cut:       make(map[string]bool),
		control:   true,
		claims:    make(map[string]wire.Claim),
		outcomes:  make(map[string]task.Outcome),
	}
	if w.config == nil {
		w.config = testConfig()
	}
	for i := range o.agents {
		w.startAgent(fmt.Sprintf("a%02d", i), o.agentCfg, workerSpec{slots: o.slots, factor: 1})
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

func (w *world) at(t time.Duration, do func()) {
	w.order++
	heap.Push(&w.items, item{max(t, w.now), w.order, do})
}

// run handles everything up to a time.
func (w *world) run(until time.Duration) {
	for len(w.items) > 0 && w.items[0].at <= until {
		it := heap.Pop(&w.items).(item)
		w.now = it.at
		it.do()
	}
	w.now = until
}

func (w *world) incarnation() uint64 {
	w.lastInc++
	return w.lastInc
}

func (w *world) delay() time.Duration {
	if w.jitter == 0 {
		return w.hop
	}
	return w.hop + time.Duration(w.rng.Int64N(int64(w.jitter)))
}

func (w *world) startEntry(id string, o worldOptions) *simEntry {
	e := &simEntry{id: id, inc: w.incarnation(), links: make(map[string]*simLink), tick: -1}
	e.e = entry.New(entry.Options{
		Self:         wire.Peer{Role: wire.RoleEntry, ID: id, Incarnation: e.inc},
		Policy:       o.policy,
		Order:        o.order,
		Seed:         o.seed + e.inc,
		Config:       w.config,
		DemandFanout: o.poke,
	})
	w.entries = append(w.entries, e)
	w.stepEntry(e, entry.DirectoryChanged{Directory: w.directory()})
	return e
}

func (w *world) directory() wire.Directory {
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
	return wire.Peer{Role: wire.RoleAgent, ID: a.id, Incarnation: a.inc, Addr: a.id}
}

func (w *world) startAgent(id string, cfg agent.Config, spec workerSpec) *simAgent {
	a := &simAgent{
		id: id, inc: w.incarnation(), cfg: cfg, worker: spec, tick: -1,
		links: make(map[agent.SessionID]*simLink),
		runs:  make(map[agent.RunID]bool),
	}
	a.a = agent.New(a.peer(), cfg)
	w.agents[id] = a
	w.announce(a)
	return a
}

// announce renews the upstream's lease for as long as the agent lives.
func (w *world) announce(a *simAgent) {
	if a.dead {
		return
	}
	w.at(w.now+time.Second, func() { w.announce(a) })
	if a.worker.left {
		return
	}
	w.stepAgent(a, agent.Announced{Upstream: agent.Upstream{
		Instance: a.instance(), Service: "svc", Slots: a.worker.slots, Connections: 64,
		Offered: task.Resources{MilliCPU: 64000, MemoryMB: 128000, Accelerators: 1},
		Lease:   3 * time.Second, CanStop: true,
	}})
}

func (a *simAgent) instance() string { return fmt.Sprintf("u%s-%d", a.id, a.worker.run) }

// leave lets the upstream say goodbye; its next run announces itself after d.
func (w *world) leave(a *simAgent, d time.Duration) {
	if a.worker.left {
		return
	}
	w.stepAgent(a, agent.Left{Instance: a.instance()})
	a.worker.left = true
	w.at(w.now+d, func() {
		a.worker.run++
		a.worker.left = false
	})
}

func (w *world) stepEntry(e *simEntry, ev entry.Event) {
	if e.dead {
		return
	}
	e.out = e.e.Step(w.now, ev, e.out[:0])
	for _, eff := range e.out {
		w.entryEffect(e, eff)
	}
	if at, ok := e.e.Next(); ok && (e.tick < 0 || at < e.tick || e.tick <= w.now) {
		e.tick = at
		w.at(at, func() {
			if e.tick == at {
				e.tick = -1
				w.stepEntry(e, entry.Tick{})
			}
		})
	}
}

func (w *world) stepAgent(a *simAgent, ev agent.Event) {
	if a.dead {
		return
	}
	if a.frozen {
		a.held = append(a.held, func() { w.stepAgent(a, ev) })
		return
	}
	a.out = a.a.Step(w.now, ev, a.out[:0])
	for _, eff := range append([]agent.Effect(nil), a.out...) {
		w.agentEffect(a, eff)
	}
	if at, ok := a.a.Next(); ok && (a.tick < 0 || at < a.tick || a.tick <= w.now) {
		a.tick = at
		w.at(at, func() {
			if a.tick == at && !a.frozen {
				a.tick = -1
				w.stepAgent(a, agent.Tick{})
			}
		})
	}
}

func (w *world) entryEffect(e *simEntry, eff entry.Effect) {
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
		if l := e.links[eff.Agent]; l != nil && l.session == eff.Session {
			w.toAgent(l, agent.UpdateReceived{Session: l.sid, Update: eff.Update})
		}
	case entry.Hangup:
		if l := e.links[eff.Agent]; l != nil && l.session == eff.Session {
			w.breakLink(l)
		}
	case entry.SendClaim:
		w.claim(e, eff.Claim)
	case entry.SendResolve:
		w.resolve(eff.Resolve)
	}
}

func (w *world) agentEffect(a *simAgent, eff agent.Effect) {
	switch eff := eff.(type) {
	case agent.SendWelcome:
		if l := a.links[eff.Session]; l != nil {
			w.toEntry(l, entry.Connected{Agent: a.id, Session: l.session, Welcome: eff.Welcome})
		}
	case agent.SendReport:
		if l := a.links[eff.Session]; l != nil {
			w.toEntry(l, entry.Received{Agent: a.id, Session: l.session, Report: eff.Report})
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

func (w *world) startRun(a *simAgent, eff agent.StartRun) {
	if w.now > eff.StartBy {
		w.stepAgentLater(a, agent.RunEnded{Run: eff.Run, End: agent.EndExpired}, 0)
		return
	}
	w.started[eff.ID]++
	w.startsOf[startKey{eff.ID.Submission, eff.ID.Index}]++
	run := time.Duration(float64(binary.BigEndian.Uint64(eff.Payload)) * a.worker.factor)
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

func (w *world) stepAgentLater(a *simAgent, ev agent.Event, d time.Duration) {
	w.at(w.now+d, func() { w.stepAgent(a, ev) })
}

func (w *world) dial(e *simEntry, eff entry.Dial) {
	a := w.agents[eff.Peer.ID]
	fail := func() {
		w.stepEntry(e, entry.Disconnected{Agent: eff.Peer.ID, Session: eff.Hello.Session})
	}
	if a == nil || a.dead {
		w.at(w.now+w.delay(), fail)
		return
	}
	if a.frozen || w.cut[e.id+"|"+a.id] {
		w.at(w.now+eff.Within, fail)
		return
	}
	a.next++
	l := &simLink{entry: e, agent: a, session: eff.Hello.Session, sid: a.next}
	e.links[a.id] = l
	a.links[l.sid] = l
	w.toAgent(l, agent.SessionOpened{Session: l.sid, Hello: eff.Hello})
	w.at(w.now+eff.Within, func() {
		if !l.welcomed {
			w.breakLink(l)
		}
	})
}

// toAgent delivers in order, unless the link breaks first.
func (w *world) toAgent(l *simLink, ev agent.Event) {
	w.messages++
	l.toAgent = max(l.toAgent, w.now+w.delay())
	deliver := func() {
		if !l.closed && !w.cut[l.entry.id+"|"+l.agent.id] {
			w.stepAgent(l.agent, ev)
		}
	}
	w.at(l.toAgent, deliver)
	if w.doubled > 0 && w.rng.Float64() < w.doubled {
		w.at(l.toAgent+w.delay(), deliver)
	}
}

func (w *world) toEntry(l *simLink, ev entry.Event) {
	w.messages++
	l.toEntry = max(l.toEntry, w.now+w.delay())
	deliver := func() {
		if !l.closed && !w.cut[l.entry.id+"|"+l.agent.id] {
			l.welcomed = true
			w.stepEntry(l.entry, ev)
		}
	}
	w.at(l.toEntry, deliver)
	if w.doubled > 0 && w.rng.Float64() < w.doubled {
		w.at(l.toEntry+w.delay(), deliver)
	}
}

// breakLink loses what is under way on a session and tells both ends.
func (w *world) breakLink(l *simLink) {
	if l.closed {
		return
	}
	l.closed = true
	w.at(w.now, func() {
		w.stepEntry(l.entry, entry.Disconnected{Agent: l.agent.id, Session: l.session})
	})
	w.at(w.now, func() { w.stepAgent(l.agent, agent.SessionClosed{Session: l.sid}) })
}

func (w *world) linksOf(a *simAgent) []*simLink {
	var out []*simLink
	for sid := agent.SessionID(1); sid <= a.next; sid++ {
		if l := a.links[sid]; l != nil && !l.closed {
			out = append(out, l)
		}
	}
	return out
}

// silentAfter is when a fake session notices that its other end is mute.
const silentAfter = 2 * time.Second

// killAgent ends an agent with all that it holds; its upstream goes on.
func (w *world) killAgent(id string) {
	a := w.agents[id]
	links := w.linksOf(a)
	a.dead = true
	w.at(w.now+silentAfter, func() {
		for _, l := range links {
			w.breakLink(l)
		}
	})
}

// restartAgent starts a new incarnation and announces it to the entries.
func (w *world) restartAgent(id string) {
	old := w.agents[id]
	spec := old.worker
	spec.left = false
	w.startAgent(id, old.cfg, spec)
	w.tellDirectory()
}

func (w *world) tellDirectory() {
	for _, e := range w.entries {
		w.stepEntry(e, entry.DirectoryChanged{Directory: w.directory()})
	}
}

// freezeAgent stops an agent for a time, as SIGSTOP does: what arrives is kept
// by its sockets, and its sessions are found silent.
func (w *world) freezeAgent(id string, d time.Duration) {
	a := w.agents[id]
	if a.frozen || a.dead {
		return
	}
	a.frozen = true
	links := w.linksOf(a)
	w.at(w.now+silentAfter, func() {
		if a.frozen {
			for _, l := range links {
				w.breakLink(l)
			}
		}
	})
	w.at(w.now+d, func() {
		a.frozen = false
		held := a.held
		a.held = nil
		for _, do := range held {
			do()
		}
		w.stepAgent(a, agent.Tick{})
	})
}

// submit hands a submission to an entry.
func (w *world) submit(e *simEntry, s task.Submission) task.SubmissionID {
	e.next++
	id := task.NewSubmissionID(e.inc, e.next)
	w.submitted[id] = w.now
	w.stepEntry(e, entry.Submit{ID: id, Sub: s})
	return id
}

func (w *world) claim(e *simEntry, c wire.Claim) {
	reply := func(r wire.ClaimReply) {
		r.Request = c.Request
		w.at(w.now+w.delay(), func() { w.stepEntry(e, entry.ClaimReplied{Reply: r}) })
	}
	w.at(w.now+w.delay(), func() {
		held, ok := w.claims[c.Key]
		out, done := w.outcomes[c.Key]
		switch {
		case !w.control:
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

func (w *world) resolve(r wire.Resolve) {
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

func runOf(p []byte) time.Duration { return time.Duration(binary.BigEndian.Uint64(p)) }

// dump describes the state of every process, for a failed test.
func (w *world) dump() string {
	var b strings.Builder
	fmt.Fprintf(&b, "now %s\n", w.now)
	for _, e := range w.entries {
		fmt.Fprintf(&b, "entry %s/%d dead %v %+v\n", e.id, e.inc, e.dead, e.e.View())
	}
	for _, a := range w.agents {
		running, queued := a.a.Load()
		fmt.Fprintf(&b, "agent %s/%d dead %v frozen %v running %d queued %d %+v %+v\n", a.id, a.inc, a.dead, a.frozen, running, queued, a.worker, a.a.Stats())
	}
	return b.String()
}
