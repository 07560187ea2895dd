package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// maxAddrs bounds the addresses that are learned from peers.
const maxAddrs = 1024

func (l *loop) handleMessage(body []byte) {
	e, err := decode(body)
	if err != nil {
		l.opt.Log("dropped a message", "error", err)
		return
	}
	if l.node == nil {
		l.handleOutside(e)
		return
	}
	l.handleInside(e)
}

// handleInside takes a message to a replica that belongs to a cluster.
func (l *loop) handleInside(e *envelope) {
	switch {
	case e.Intro != nil:
		l.sendTo(e.From, e.FromAddr, envelope{Exists: &exists{Initial: l.ident.Initial}})
	case e.Removed != nil:
		if e.Cluster == l.ident.Cluster {
			l.must(ErrRemoved)
		}
	case e.Raft != nil && e.Cluster == l.ident.Cluster && l.stranger(e.From):
		l.sendTo(e.From, e.FromAddr, envelope{Removed: &removed{Term: l.node.Status(l.now()).Term}})
	case e.Raft != nil && e.Cluster == l.ident.Cluster && e.From != l.ident.Replica:
		l.learnAddr(e.From, e.FromAddr)
		l.node.Step(l.now(), *e.Raft)
	}
}

// stranger reports whether this replica leads with a fresh quorum and its
// cluster has no such member. Members are added by the leader before they hear
// of the cluster, so one that speaks and is none was removed.
func (l *loop) stranger(id uint64) bool {
	s := l.node.Status(l.now())
	if s.Role != raft.Leader || !s.Fresh {
		return false
	}
	return !slices.ContainsFunc(s.Members, func(m raft.MemberStatus) bool { return m.ID == id })
}

// learnAddr notes where a replica spoke from; its host may have moved.
func (l *loop) learnAddr(id uint64, addr string) {
	if _, known := l.addrs[id]; known || len(l.addrs) < maxAddrs {
		l.addrs[id] = addr
	}
}

// handleOutside takes a message to a replica that belongs to none.
func (l *loop) handleOutside(e *envelope) {
	switch {
	case e.Intro != nil:
		l.must(l.carryOut(l.former.handleIntro(e)))
	case e.Exists != nil:
		l.must(l.carryOut(l.former.handleExists(e)))
	case e.Removed != nil:
		// This replica belongs to no cluster.
	default:
		l.must(l.carryOut(l.former.adopt(e)))
		if l.node != nil {
			l.handleInside(e)
		}
	}
}

// carryOut makes the identity durable before anyone hears of it.
func (l *loop) carryOut(eff effects) error {
	if eff.save {
		if err := l.saveIdentity(); err != nil {
			return err
		}
	}
	for _, n := range eff.notes {
		l.opt.Log(n.msg, n.keyvals...)
	}
	for _, p := range eff.packets {
		l.sendTo(p.to, p.addr, p.env)
	}
	return nil
}

// saveIdentity stores the former's identity. A member's log is there before
// the identity names it a member.
func (l *loop) saveIdentity() error {
	ident := l.former.ident
	if ident.Phase != wal.PhaseMember {
		l.ident = ident
		return l.wal.SetIdentity(ident)
	}
	s := initialSave(ident)
	if err := l.wal.Save(s); err != nil {
		return err
	}
	if err := l.wal.SetIdentity(ident); err != nil {
		return err
	}
	l.ident = ident
	st := wal.State{Identity: ident, Hard: s.Hard}
	if s.Snapshot != nil {
		st.Snapshot = *s.Snapshot
	}
	return l.startNode(st)
}

func (l *loop) handleRequest(q *request) {
	if q.kind == reqStatus {
		q.answer(result{status: l.status()})
		return
	}
	if err := q.ctx.Err(); err != nil {
		q.answer(result{err: err})
		return
	}
	if l.node == nil {
		q.answer(result{err: ErrNotMember})
		return
	}
	switch q.kind {
	case reqPropose:
		index, term, err := l.node.Propose(q.command)
		l.await(q, index, term, err)
	case reqChange:
		index, term, err := l.node.ProposeChange(q.change)
		if errors.Is(err, raft.ErrRemoveLeader) {
			l.handOver(q, raft.None)
			return
		}
		l.await(q, index, term, err)
	case reqTransfer:
		l.handOver(q, q.change.ID)
	case reqRead:
		l.beginRead(q)
	}
}

// await keeps a request until its entry is applied.
func (l *loop) await(q *request, index, term uint64, err error) {
	if err != nil {
		q.answer(result{err: l.explain(err)})
		return
	}
	l.waiters[index] = waiter{term: term, req: q}
}

// explain adds the leader to an error of the state machine.
func (l *loop) explain(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return err
	}
	_, _, leader := l.node.Role()
	if leader == l.ident.Replica {
		// Leadership is being handed over.
		leader = raft.None
	}
	return ErrNotLeader{LeaderID: leader, LeaderAddr: l.addrOf(leader)}
}

func (l *loop) beginRead(q *request) {
	l.readID++
	if err := l.node.Read(l.readID); err != nil {
		q.answer(result{err: l.explain(err)})
		return
	}
	l.reads[l.readID] = q
}

// noteReads takes in read indexes, answers reads whose index is applied and
// forgets those that nobody waits for any more.
func (l *loop) noteReads(states []raft.ReadState) {
	for _, s := range states {
		if q, ok := l.reads[s.ID]; ok {
			delete(l.reads, s.ID)
			l.readsDone = append(l.readsDone, readWait{index: s.Index, req: q})
		}
	}
	open := l.readsDone[:0]
	for _, w := range l.readsDone {
		if w.index > l.applied {
			open = append(open, w)
			continue
		}
		w.req.answer(result{index: w.index})
	}
	clear(l.readsDone[len(open):])
	l.readsDone = open
	for id, q := range l.reads {
		if q.ctx.Err() != nil {
			delete(l.reads, id)
		}
	}
}

// handoverTimeouts bounds the wait for another leader, in election timeouts.
const handoverTimeouts = 3

// handOver begins a transfer of leadership; the answer comes when another
// replica leads.
func (l *loop) handOver(q *request, to uint64) {
	if err := l.node.Transfer(to); err != nil {
		q.answer(result{err: l.explain(err)})
		return
	}
	until := l.now() + handoverTimeouts*l.opt.ElectionTimeout
	l.handovers = append(l.handovers, handover{until: until, req: q})
}

// noteRole reacts to a change of leadership.
func (l *loop) noteRole() {
	role, term, leader := l.node.Role()
	if role != raft.Leader {
		l.failWaiters(ErrUnknownOutcome)
	}
	if leader != l.leader && leader != raft.None {
		l.opt.Log("a leader was elected", "leader", formatID(leader), "address", l.addrOf(leader), "term", term)
	}
	l.leader = leader
	l.endHandovers(role, leader)
}

func (l *loop) endHandovers(role raft.Role, leader uint64) {
	if len(l.handovers) == 0 {
		return
	}
	now := l.now()
	open := l.handovers[:0]
	for _, h := range l.handovers {
		switch {
		case role != raft.Leader && (leader != raft.None || now >= h.until):
			h.req.answer(result{err: ErrNotLeader{LeaderID: leader, LeaderAddr: l.addrOf(leader)}})
		case role == raft.Leader && !l.node.Status(now).Transferring:
			h.req.answer(result{err: fmt.Errorf("no replica has taken over: %w", raft.ErrNoTransferee)})
		default:
			open = append(open, h)
		}
	}
	l.handovers = open
}

func (l *loop) status() Status {
	s := Status{ID: l.ident.Replica, Cluster: l.ident.Cluster, Phase: l.ident.Phase, Applied: l.applied}
	if l.node == nil {
		return s
	}
	rs := l.node.Status(l.now())
	s.Role, s.Term, s.Commit, s.Fresh = rs.Role, rs.Term, rs.Commit, rs.Fresh
	s.LeaderID, s.LeaderAddr = rs.Leader, l.addrOf(rs.Leader)
	s.Members = rs.Members
	return s
}
