package entry

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// linkState is what the entry has towards an agent.
type linkState uint8

const (
	linkIdle linkState = iota // no session, none wanted now
	linkDialing
	linkOpen
)

// agent is what the entry knows of one agent and shares with it.
type agent struct {
	placement.Agent
	peer   wire.Peer
	worker wire.Worker
	svc    *service
	link   linkState
	// met is the incarnation that sent the last welcome, zero before the first.
	met     uint64
	session uint64
	// listed is set while the directory names the agent.
	listed bool
	// pooled is set while the agent is in its service's pool.
	pooled bool
	// lostAt is when the last session ended; meaningless while one is open.
	lostAt   time.Duration
	redial   time.Duration
	sent     map[task.ID]sentRec
	dirty    bool
	tasks    []wire.Assignment
	cancel   []task.ID
	seq      uint64 // of the last update sent
	unseen   []unseen
	seen     uint64        // highest report handled
	told     uint64        // highest report acknowledged
	sentAt   time.Duration // of the last update
	ackArmed bool
	// expecting is what the driver was last told to expect of the session.
	expecting bool
	// wanted is the count of waiting tasks that the agent was last told, at
	// wantedAt.
	wanted   uint32
	wantedAt time.Duration
	// wantedRank is the rank of the first of them.
	wantedRank float64
	speed      speed
	// pace is what the agent last said of its upstream's pace; zero if nothing.
	pace float64
	// probeAt is when a slow agent gets its next task, probeWait how long it
	// waits after that.
	probeAt   time.Duration
	probeWait time.Duration
}

// sentRec is a task at an agent.
type sentRec struct {
	sub      *submission
	index    uint32
	at       time.Duration
	declared time.Duration
	need     task.Resources
}

// unseen counts the tasks of an update that no report has taken in yet.
type unseen struct {
	seq   uint64
	tasks int
}

// directory takes in a difference of the list of members.
func (e *Entry) directory(d wire.Directory) {
	named := make(map[string]bool, len(d.Upserts))
	for _, m := range d.Upserts {
		named[m.Peer.ID] = true
		switch m.Peer.Role {
		case wire.RoleAgent:
			e.agentListed(m)
		case wire.RoleEntry:
			e.entries[m.Peer.ID] = true
		}
	}
	if d.Full && d.Complete {
		e.dropUnnamed(named)
	}
	for _, p := range d.Removed {
		e.memberRemoved(p)
	}
	e.configureTeams()
}

// dropUnnamed takes a full list's silence about an agent as its removal from
// the directory; an open session outlives that.
func (e *Entry) dropUnnamed(named map[string]bool) {
	for id, a := range e.agents {
		if a.listed && !named[id] {
			e.unlist(a)
		}
	}
	for id := range e.entries {
		if !named[id] {
			delete(e.entries, id)
		}
	}
}

func (e *Entry) memberRemoved(p wire.Peer) {
	if p.Role == wire.RoleEntry {
		delete(e.entries, p.ID)
		return
	}
	if a := e.agents[p.ID]; a != nil && a.peer.Incarnation == p.Incarnation {
		e.unlist(a)
	}
}

// unlist forgets an agent that the directory has dropped, unless a session is
// open: first-hand evidence counts more than a lease that ran out elsewhere.
func (e *Entry) unlist(a *agent) {
	a.listed = false
	if a.link == linkIdle && len(a.sent) == 0 {
		delete(e.agents, a.peer.ID)
	}
}

// agentListed takes in a directory entry of an agent. A new incarnation or
// address is dialled at once.
func (e *Entry) agentListed(m wire.Member) {
	if m.Worker == nil || m.Worker.Service == "" {
		return
	}
	a := e.agents[m.Peer.ID]
	if a == nil {
		a = &agent{sent: make(map[task.ID]sentRec), redial: redialDelay}
		a.ID = m.Peer.ID
		a.peer = m.Peer
		e.agents[m.Peer.ID] = a
	}
	a.listed = true
	moved := m.Peer.Addr != a.peer.Addr
	if m.Peer.Incarnation > a.peer.Incarnation || a.link != linkOpen {
		a.peer.Addr = m.Peer.Addr
		a.peer.Domain = m.Peer.Domain
	}
	if a.svc == nil {
		a.worker = *m.Worker
		a.svc = e.service(m.Worker.Service)
		a.Offered = m.Worker.Offered
	}
	if a.link == linkIdle || moved && a.link == linkDialing {
		a.redial = redialDelay
		e.dial(a)
	}
}

// dial opens a session and names the tasks whose outcomes the entry awaits.
func (e *Entry) dial(a *agent) {
	a.link = linkDialing
	e.sessions++
	a.session = e.sessions
	h := &wire.Hello{
		From:             e.opts.Self,
		Session:          a.session,
		SentAt:           e.now,
		AgentIncarnation: a.met,
	}
	h.Pending = a.sentIDs()
	e.emit(Dial{Peer: a.peer, Hello: h, Within: dialWithin})
}

// connected takes in a welcome.
func (e *Entry) connected(ev Connected) {
	a := e.agents[ev.Agent]
	if a == nil || a.session != ev.Session || a.link != linkDialing {
		e.emit(Hangup{Agent: ev.Agent, Session: ev.Session, Why: "superseded session"})
		return
	}
	w := ev.Welcome
	if w.From.Incarnation != a.met {
		e.agentRestarted(a, w.From)
	}
	a.link = linkOpen
	a.redial = redialDelay
	a.seq = 0
	a.unseen = a.unseen[:0]
	a.wanted = 0
	a.expecting = false
	if w.Worker != nil {
		e.workerChanged(a, *w.Worker)
	}
	e.pool(a)
	if w.Report != nil {
		e.report(a, w.Report)
	}
	e.cancelOrphans(a)
}

// workerChanged takes in what an agent says of its upstream. An agent that does
// not know its upstream yet is taken to offer what it offered before.
func (e *Entry) workerChanged(a *agent, w wire.Worker) {
	a.worker = w
	a.Slots = int(w.Slots)
	if w.Service == "" {
		return
	}
	if a.pooled && a.svc.name != w.Service {
		a.svc.pool.Remove(&a.Agent)
		a.pooled = false
	}
	a.svc = e.service(w.Service)
	a.Offered = w.Offered
}

// pool counts the agent among those of its service.
func (e *Entry) pool(a *agent) {
	if a.pooled || a.svc == nil {
		return
	}
	a.svc.pool.Add(&a.Agent)
	a.pooled = true
}

// agentRestarted settles what the previous incarnation took with it. The new
// one numbers its reports afresh.
func (e *Entry) agentRestarted(a *agent, p wire.Peer) {
	a.peer = p
	a.met = p.Incarnation
	a.seen, a.told = 0, 0
	e.settleAll(a, task.ReasonAgentRestarted)
}

// sentIDs lists the tasks at the agent in a fixed order.
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

// cancelOrphans cancels tasks at the agent whose submissions are answered.
func (e *Entry) cancelOrphans(a *agent) {
	for _, id := range a.sentIDs() {
		if a.sent[id].sub.answered {
			a.cancel = append(a.cancel, id)
		}
	}
	if len(a.cancel) > 0 {
		e.markDirty(a)
	}
}

// disconnected handles the end of a session or a failed dial: the agent gets
// no more work, and is dialled again before it is judged.
func (e *Entry) disconnected(ev Disconnected) {
	a := e.agents[ev.Agent]
	if a == nil || a.session != ev.Session || a.link == linkIdle {
		return
	}
	wasOpen := a.link == linkOpen
	a.link = linkIdle
	e.unpool(a)
	if wasOpen {
		a.lostAt = e.now
		e.arm(timer{at: e.now + e.opts.GoneAfter, kind: timerGone, ag: a})
		e.dial(a)
		return
	}
	if !a.listed && len(a.sent) == 0 {
		delete(e.agents, a.peer.ID)
		return
	}
	e.arm(timer{at: e.now + a.redial, kind: timerDial, ag: a})
	a.redial = min(2*a.redial, maxRedialDelay)
}

func (e *Entry) unpool(a *agent) {
	if a.pooled {
		a.svc.pool.Remove(&a.Agent)
		a.pooled = false
	}
	a.Credit = 0
	a.tasks = nil
	a.cancel = nil
}

func (e *Entry) dialDue(a *agent) {
	if a.link != linkIdle || e.agents[a.peer.ID] != a {
		return
	}
	e.dial(a)
}

// goneDue gives up on the tasks of an agent that has had no session since the
// timer was set.
func (e *Entry) goneDue(a *agent, at time.Duration) {
	if e.agents[a.peer.ID] != a || a.link == linkOpen || a.lostAt+e.opts.GoneAfter > at {
		return
	}
	e.settleAll(a, task.ReasonAgentGone)
	if !a.listed && a.link == linkIdle {
		delete(e.agents, a.peer.ID)
	}
}

// settleAll ends every task at an agent with an unknown outcome.
func (e *Entry) settleAll(a *agent, why task.Reason) {
	for _, id := range a.sentIDs() {
		e.settle(a, id, a.sent[id], task.Outcome{State: task.Unknown, Reason: why, Where: a.ID})
	}
}

// markDirty lets the agent get an update at the end of the step.
func (e *Entry) markDirty(a *agent) {
	if !a.dirty {
		a.dirty = true
		e.dirty = append(e.dirty, a)
	}
}

func (e *Entry) ackDue(a *agent) {
	a.ackArmed = false
	if a.link == linkOpen && a.told < a.seen {
		e.markDirty(a)
	}
}

// pulse lets every agent that holds tasks hear from this entry.
func (e *Entry) pulse() {
	e.arm(timer{at: e.now + e.opts.Pulse/2, kind: timerPulse})
	for _, id := range slices.Sorted(maps.Keys(e.agents)) {
		a := e.agents[id]
		if a.link == linkOpen && len(a.sent) > 0 && e.now >= a.sentAt+e.opts.Pulse {
			e.markDirty(a)
		}
	}
}
