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
		l.handleAsNonMember(e)
		return
	}
	l.handleAsMember(e)
}

// handleAsMember takes a message to a replica that belongs to a cluster.
func (l *loop) handleAsMember(e *envelope) {
	switch {
	case e.Intro != nil:
		l.sendTo(e.From, e.FromAddr, envelope{Exists: &exists{Initial: l.ident.Initial}})
	case e.Removed != nil:
		if e.Cluster == l.ident.Cluster {
			l.stopOnError(ErrRemoved)
		}
	case e.Raft != nil && e.Cluster == l.ident.Cluster && l.isRemovedMember(e.From):
		l.sendTo(e.From, e.FromAddr, envelope{Removed: &removed{Term: l.node.Status(l.now()).Term}})
	case e.Raft != nil && e.Cluster == l.ident.Cluster && e.From != l.ident.Replica:
		l.learnAddr(e.From, e.FromAddr)
		l.node.Step(l.now(), *e.Raft)
	}
}

// isRemovedMember reports whether this replica leads with a fresh quorum and its
// cluster has no such member. Members are added by the leader before they hear
// of the cluster, so one that speaks and is none was removed.
func (l *loop) isRemovedMember(id uint64) bool {
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

// handleAsNonMember takes a message to a replica that belongs to none.
func (l *loop) handleAsNonMember(e *envelope) {
	switch {
	case e.Intro != nil:
		l.stopOnError(l.runEffects(l.bootstrap.handleIntro(e)))
	case e.Exists != nil:
		l.stopOnError(l.runEffects(l.bootstrap.handleExists(e)))
	case e.Removed != nil:
		// This replica belongs to no cluster.
	default:
		l.stopOnError(l.runEffects(l.bootstrap.joinFromLeader(e)))
		if l.node != nil {
			l.handleAsMember(e)
		}
	}
}

// runEffects makes the identity durable before anyone hears of it.
func (l *loop) runEffects(eff effects) error {
	if eff.save {
		if err := l.saveIdentity(); err != nil {
			return err
		}
	}
	for _, n := range eff.logLines {
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
	ident := l.bootstrap.ident
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
		l.awaitApply(q, index, term, err)
	case reqChange:
		index, term, err := l.node.ProposeChange(q.change)
		if errors.Is(err, raft.ErrRemoveLeader) {
			l.transferLeadership(q, raft.None)
			return
		}
		l.awaitApply(q, index, term, err)
	case reqTransfer:
		l.transferLeadership(q, q.change.ID)
	case reqRead:
		l.beginRead(q)
	}
}

// awaitApply keeps a request until its entry is applied.
func (l *loop) awaitApply(q *request, index, term uint64, err error) {
	if err != nil {
		q.answer(result{err: l.withLeader(err)})
		return
	}
	l.waiters[index] = waiter{term: term, req: q}
}

// withLeader adds the leader to an error of the state machine.
func (l *loop) withLeader(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return err
	}
	_, _, leader := l.node.Role()
	if leader == l.ident.Replica {
		// Leadership is being handed over.
		leader = raft.None
	}
	return NotLeaderError{LeaderID: leader, LeaderAddr: l.addrOf(leader)}
}

func (l *loop) beginRead(q *request) {
	l.readID++
	if err := l.node.Read(l.readID); err != nil {
		q.answer(result{err: l.withLeader(err)})
		return
	}
	l.pendingReads[l.readID] = q
}

// handleReadStates takes in read indexes, answers reads whose index is applied and
// forgets those that nobody waits for any more.
func (l *loop) handleReadStates(states []raft.ReadState) {
	for _, s := range states {
		if q, ok := l.pendingReads[s.ID]; ok {
			delete(l.pendingReads, s.ID)
			l.confirmedReads = append(l.confirmedReads, confirmedRead{index: s.Index, req: q})
		}
	}
	open := l.confirmedReads[:0]
	for _, w := range l.confirmedReads {
		if w.index > l.applied {
			open = append(open, w)
			continue
		}
		w.req.answer(result{index: w.index})
	}
	clear(l.confirmedReads[len(open):])
	l.confirmedReads = open
	for id, q := range l.pendingReads {
		if q.ctx.Err() != nil {
			delete(l.pendingReads, id)
		}
	}
}

// transferElectionTimeouts bounds the wait for another leader, in election timeouts.
const transferElectionTimeouts = 3

// transferLeadership begins a transfer of leadership; the answer comes when another
// replica leads.
func (l *loop) transferLeadership(q *request, to uint64) {
	if err := l.node.Transfer(to); err != nil {
		q.answer(result{err: l.withLeader(err)})
		return
	}
	until := l.now() + transferElectionTimeouts*l.opt.ElectionTimeout
	l.pendingTransfers = append(l.pendingTransfers, pendingTransfer{deadline: until, req: q})
}

// updateRole reacts to a change of leadership.
func (l *loop) updateRole() {
	role, term, leader := l.node.Role()
	if role != raft.Leader {
		l.failWaiters(ErrUnknownOutcome)
	}
	if leader != l.leader && leader != raft.None {
		l.opt.Log("a leader was elected", "leader", formatID(leader), "address", l.addrOf(leader), "term", term)
	}
	l.leader = leader
	l.completeTransfers(role, leader)
}

func (l *loop) completeTransfers(role raft.Role, leader uint64) {
	if len(l.pendingTransfers) == 0 {
		return
	}
	now := l.now()
	open := l.pendingTransfers[:0]
	for _, h := range l.pendingTransfers {
		switch {
		case role != raft.Leader && (leader != raft.None || now >= h.deadline):
			h.req.answer(result{err: NotLeaderError{LeaderID: leader, LeaderAddr: l.addrOf(leader)}})
		case role == raft.Leader && !l.node.Status(now).Transferring:
			h.req.answer(result{err: fmt.Errorf("no replica has taken over: %w", raft.ErrNoTransferee)})
		default:
			open = append(open, h)
		}
	}
	l.pendingTransfers = open
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
