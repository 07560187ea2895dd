package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// maxAddrs bounds the number of addresses learned from peers.
const maxAddrs = 1024

func (l *loop) handleMessage(body []byte) {
	e, err := decode(body)
	if err != nil {
		l.opt.Log("dropped an invalid message", "error", err)
		return
	}
	if l.node == nil {
		l.handleAsNonMember(e)
		return
	}
	l.handleAsMember(e)
}

// handleAsMember handles a message while this replica belongs to a cluster.
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

// isRemovedMember reports whether id has been removed from the cluster; only a
// leader with a fresh quorum can tell. The leader adds a member before it sends
// anything to it, so a sender of this cluster that is no member was removed.
func (l *loop) isRemovedMember(id uint64) bool {
	s := l.node.Status(l.now())
	if s.Role != raft.Leader || !s.Fresh {
		return false
	}
	return !slices.ContainsFunc(s.Members, func(m raft.MemberStatus) bool { return m.ID == id })
}

// learnAddr records the address that a replica sends from, because its host may
// have moved.
func (l *loop) learnAddr(id uint64, addr string) {
	if _, known := l.addrs[id]; known || len(l.addrs) < maxAddrs {
		l.addrs[id] = addr
	}
}

// handleAsNonMember handles a message while this replica belongs to no cluster.
func (l *loop) handleAsNonMember(e *envelope) {
	switch {
	case e.Intro != nil:
		l.stopOnError(l.runEffects(l.bootstrap.handleIntro(e)))
	case e.Exists != nil:
		l.stopOnError(l.runEffects(l.bootstrap.handleExists(e)))
	case e.Removed != nil:
		// Ignored, because this replica belongs to no cluster.
	default:
		l.stopOnError(l.runEffects(l.bootstrap.joinFromLeader(e)))
		if l.node != nil {
			l.handleAsMember(e)
		}
	}
}

// runEffects executes eff. It makes the identity durable before it sends any
// message that depends on it.
func (l *loop) runEffects(eff effects) error {
	if eff.save {
		if err := l.saveIdentity(); err != nil {
			return err
		}
	}
	for _, line := range eff.logLines {
		l.opt.Log(line.msg, line.keyvals...)
	}
	for _, p := range eff.packets {
		l.sendTo(p.to, p.addr, p.env)
	}
	return nil
}

// saveIdentity stores the bootstrapper's identity. The initial log is durable
// before the identity marks the replica as a member.
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

// awaitApply holds a request until its entry is applied; if the proposal has
// failed, it answers with the error.
func (l *loop) awaitApply(q *request, index, term uint64, err error) {
	if err != nil {
		q.answer(result{err: l.withLeader(err)})
		return
	}
	l.waiters[index] = waiter{term: term, req: q}
}

// withLeader replaces raft.ErrNotLeader by a NotLeaderError that names the
// leader. It returns other errors unchanged.
func (l *loop) withLeader(err error) error {
	if !errors.Is(err, raft.ErrNotLeader) {
		return err
	}
	_, _, leader := l.node.Role()
	if leader == l.ident.Replica {
		// Leadership is being transferred.
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

// handleReadStates records confirmed read indexes, answers the reads whose index
// is applied and drops pending reads whose context has ended.
func (l *loop) handleReadStates(states []raft.ReadState) {
	for _, s := range states {
		if q, ok := l.pendingReads[s.ID]; ok {
			delete(l.pendingReads, s.ID)
			l.confirmedReads = append(l.confirmedReads, confirmedRead{index: s.Index, req: q})
		}
	}
	unapplied := l.confirmedReads[:0]
	for _, r := range l.confirmedReads {
		if r.index > l.applied {
			unapplied = append(unapplied, r)
			continue
		}
		r.req.answer(result{index: r.index})
	}
	clear(l.confirmedReads[len(unapplied):])
	l.confirmedReads = unapplied
	for id, q := range l.pendingReads {
		if q.ctx.Err() != nil {
			delete(l.pendingReads, id)
		}
	}
}

// transferElectionTimeouts bounds the wait for another leader, in election
// timeouts.
const transferElectionTimeouts = 3

// transferLeadership starts a transfer of leadership. The request is answered
// when another replica leads or the transfer has failed.
func (l *loop) transferLeadership(q *request, to uint64) {
	if err := l.node.Transfer(to); err != nil {
		q.answer(result{err: l.withLeader(err)})
		return
	}
	deadline := l.now() + transferElectionTimeouts*l.opt.ElectionTimeout
	l.pendingTransfers = append(l.pendingTransfers, pendingTransfer{deadline: deadline, req: q})
}

// updateRole handles a change of role or leader: it fails pending proposals when
// this replica does not lead, logs a new leader and answers transfer requests.
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
	pending := l.pendingTransfers[:0]
	for _, t := range l.pendingTransfers {
		switch {
		case role != raft.Leader && (leader != raft.None || now >= t.deadline):
			t.req.answer(result{err: NotLeaderError{LeaderID: leader, LeaderAddr: l.addrOf(leader)}})
		case role == raft.Leader && !l.node.Status(now).Transferring:
			t.req.answer(result{err: fmt.Errorf("no replica has taken over: %w", raft.ErrNoTransferee)})
		default:
			pending = append(pending, t)
		}
	}
	l.pendingTransfers = pending
}

func (l *loop) status() Status {
	s := Status{ID: l.ident.Replica, Cluster: l.ident.Cluster, Phase: l.ident.Phase, Applied: l.applied}
	s.SnapshotBytes, s.LogBytes, s.Dropped = l.snapshotBytes, l.appliedBytes, l.r.dropped.Load()
	if l.node == nil {
		return s
	}
	rs := l.node.Status(l.now())
	s.Role, s.Term, s.Commit, s.Fresh = rs.Role, rs.Term, rs.Commit, rs.Fresh
	s.LeaderID, s.LeaderAddr = rs.Leader, l.addrOf(rs.Leader)
	s.Members = rs.Members
	return s
}
