package raft

import (
	"slices"
	"time"
)

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// AddLearner adds a replica that doesn't count toward a quorum.
	AddLearner ChangeKind = iota
	// Promote turns a learner that has caught up into a voter.
	Promote
	// Remove removes a member.
	Remove
)

// Change is a membership change of one member. Only AddLearner uses Addr.
type Change struct {
	Kind ChangeKind
	ID   uint64
	Addr string
}

// ProposeChange appends a membership change. It rejects a change while an
// earlier one is not committed, the promotion of a learner that has not caught
// up or that would raise the quorum size while a voter is down, and a promotion
// or removal that would leave no live quorum.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != None {
		return 0, 0, ErrNotLeader
	}
	// Until the first entry of a new leader is committed, it doesn't know
	// whether changes of earlier terms are committed.
	if n.members.index() > n.log.commit || !n.log.matches(n.log.commit, n.term) {
		return 0, 0, ErrChangePending
	}
	members, err := n.membersAfter(c)
	if err != nil {
		return 0, 0, err
	}
	if c.Kind != AddLearner && !n.hasLiveQuorum(members) {
		return 0, 0, ErrQuorumLost
	}
	index, term = n.appendAsLeader(Entry{Kind: EntryMembers, Members: members})
	return index, term, nil
}

// membersAfter returns the membership that results from a change.
func (n *Node) membersAfter(c Change) ([]Member, error) {
	members := slices.Clone(n.members.current())
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == c.ID })
	if c.Kind == AddLearner {
		return addLearner(members, c)
	}
	if i < 0 {
		return nil, ErrUnknownMember
	}
	if c.Kind == Remove {
		if c.ID == n.id {
			return nil, ErrRemoveLeader
		}
		return slices.Delete(members, i, i+1), nil
	}
	if members[i].Voter {
		return nil, ErrMemberExists
	}
	if !n.caughtUp(c.ID) {
		return nil, ErrNotCaughtUp
	}
	before := quorum(members)
	members[i].Voter = true
	if quorum(members) > before && !n.allVotersLive() {
		return nil, ErrVoterDown
	}
	return members, nil
}

func addLearner(members []Member, c Change) ([]Member, error) {
	if c.ID == None {
		return nil, ErrUnknownMember
	}
	if _, ok := findMember(members, c.ID); ok {
		return nil, ErrMemberExists
	}
	return append(members, Member{ID: c.ID, Addr: c.Addr}), nil
}

// caughtUp reports whether a follower is live and durably holds all committed
// entries.
func (n *Node) caughtUp(id uint64) bool {
	p := n.peers[id]
	return p != nil && p.state == replicating && p.match >= n.log.commit && n.live(p)
}

// live reports whether a follower has answered a message that this leader sent
// within the election timeout.
func (n *Node) live(p *progress) bool {
	return p.acked && n.now < p.ackedAt+n.cfg.ElectionTimeout
}

// allVotersLive reports whether every voter is live. While a voter is down, a
// promotion must not raise the quorum size, because losing the new voter as well
// would then stop the cluster.
func (n *Node) allVotersLive() bool {
	for _, m := range n.members.current() {
		if p := n.peers[m.ID]; m.Voter && p != nil && !n.live(p) {
			return false
		}
	}
	return true
}

// hasLiveQuorum reports whether the live voters of a membership form a quorum.
func (n *Node) hasLiveQuorum(members []Member) bool {
	count := 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		if m.ID == n.id {
			count++
		} else if p := n.peers[m.ID]; p != nil && n.live(p) {
			count++
		}
	}
	return count >= quorum(members)
}

// Transfer starts the transfer of leadership to a voter; None selects the live
// voter with the most entries. The leader then rejects proposals. If the
// transfer isn't complete within the election timeout, the leader steps down
// and an ordinary election follows.
func (n *Node) Transfer(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == None {
		to = n.bestTransferee()
	}
	p := n.peers[to]
	if p == nil || !isVoter(n.members.current(), to) || !n.live(p) {
		return ErrNoTransferee
	}
	n.transferee = to
	n.transferDeadline = n.now + n.cfg.ElectionTimeout
	n.continueTransfer(to, p)
	return nil
}

func (n *Node) bestTransferee() uint64 {
	best, match := None, uint64(0)
	for _, m := range n.members.current() {
		p := n.peers[m.ID]
		if p == nil || !m.Voter || !n.live(p) {
			continue
		}
		if best == None || p.match > match {
			best, match = m.ID, p.match
		}
	}
	return best
}

// continueTransfer sends MsgTimeoutNow to the transferee, which then starts an
// election, once the transferee holds the whole log.
func (n *Node) continueTransfer(id uint64, p *progress) {
	if n.transferee != id || p.match < n.log.lastIndex() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: id})
}

// MemberStatus is a member with its replication state.
type MemberStatus struct {
	Member
	// Match is the highest index that the member is known to hold durably.
	// Replicas other than the leader know only their own.
	Match uint64
	// Live reports whether the member has answered a message that the leader
	// sent within the election timeout. A replica itself is always live. A
	// replica other than the leader reports every other member as not live.
	Live bool
}

// Status is the state of a replica.
type Status struct {
	ID     uint64
	Role   Role
	Term   uint64
	Leader uint64
	Commit uint64
	Last   uint64
	// Fresh reports whether the leader is known to hold its lease. On a
	// follower, a message from its leader within the election timeout has to
	// say so.
	Fresh        bool
	Transferring bool
	Members      []MemberStatus
}

// Status returns the replica's state at time now.
func (n *Node) Status(now time.Duration) Status {
	n.now = max(n.now, now)
	s := Status{
		ID: n.id, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, Last: n.log.lastIndex(),
		Fresh: n.holdsLease(), Transferring: n.transferee != None,
	}
	if n.role == Follower && n.leader != None {
		s.Fresh = n.now < n.freshUntil
	}
	for _, m := range n.members.current() {
		ms := MemberStatus{Member: m}
		if p := n.peers[m.ID]; p != nil {
			ms.Match, ms.Live = p.match, n.live(p)
		} else if m.ID == n.id {
			ms.Match, ms.Live = n.log.stable, true
		}
		s.Members = append(s.Members, ms)
	}
	return s
}

// Members returns the current membership.
func (n *Node) Members() []Member { return n.members.current() }

// Role returns the replica's role, its term and the leader of that term, which
// is None if unknown.
func (n *Node) Role() (role Role, term, leader uint64) { return n.role, n.term, n.leader }
