package raft

import (
	"slices"
	"time"
)

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// AddLearner adds a replica that counts in no quorum.
	AddLearner ChangeKind = iota
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove drops a member.
	Remove
)

// Change is a change of one member. Addr is used by AddLearner only.
type Change struct {
	Kind ChangeKind
	ID   uint64
	Addr string
}

// ProposeChange appends a membership change. It refuses a second change while
// one is not committed, the promotion of a learner that has not caught up, and
// a change that would leave no live quorum.
func (n *Node) ProposeChange(c Change) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != None {
		return 0, 0, ErrNotLeader
	}
	// A new leader's first entry settles what earlier terms left behind.
	if n.conf.index() > n.log.commit || !n.log.matches(n.log.commit, n.term) {
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

// membersAfter returns the membership after a change.
func (n *Node) membersAfter(c Change) ([]Member, error) {
	members := slices.Clone(n.conf.current())
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

// caughtUp says whether a follower is live and durably holds every entry that
// is committed.
func (n *Node) caughtUp(id uint64) bool {
	p := n.peers[id]
	return p != nil && p.state == replicating && p.match >= n.log.commit && n.live(p)
}

func (n *Node) live(p *progress) bool {
	return p.acked && n.now < p.ackedAt+n.cfg.ElectionTimeout
}

// allVotersLive says whether every voter is live. One more voter beside a dead one
// must not raise the quorum: the loss of the new one would stop the cluster.
func (n *Node) allVotersLive() bool {
	for _, m := range n.conf.current() {
		if p := n.peers[m.ID]; m.Voter && p != nil && !n.live(p) {
			return false
		}
	}
	return true
}

// hasLiveQuorum says whether the live voters of a membership are a majority.
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

// Transfer hands leadership to a voter, or with None to the live voter with
// the longest log. From then on proposals are refused; a transfer that is not
// done within the election timeout ends in an ordinary election.
func (n *Node) Transfer(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == None {
		to = n.bestTransferee()
	}
	p := n.peers[to]
	if p == nil || !isVoter(n.conf.current(), to) || !n.live(p) {
		return ErrNoTransferee
	}
	n.transferee = to
	n.transferDeadline = n.now + n.cfg.ElectionTimeout
	n.continueTransfer(to, p)
	return nil
}

func (n *Node) bestTransferee() uint64 {
	best, match := None, uint64(0)
	for _, m := range n.conf.current() {
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

// continueTransfer tells the transferee to take over once it holds the whole
// log.
func (n *Node) continueTransfer(id uint64, p *progress) {
	if n.transferee != id || p.match < n.log.lastIndex() {
		return
	}
	n.send(Message{Kind: MsgTimeoutNow, To: id})
}

// MemberStatus is a member with what the leader knows of it.
type MemberStatus struct {
	Member
	// Match is the highest index that the member is known to hold; only a
	// leader knows it.
	Match uint64
	// Live says that the member has answered the leader lately.
	Live bool
}

// Status describes a replica.
type Status struct {
	ID     uint64
	Role   Role
	Term   uint64
	Leader uint64
	Commit uint64
	Last   uint64
	// Fresh says that the replica has heard from a quorum within the lease,
	// directly or by its leader's word.
	Fresh        bool
	Transferring bool
	Members      []MemberStatus
}

// Status returns the replica's state at a time.
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
	for _, m := range n.conf.current() {
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

// Members returns the membership in force.
func (n *Node) Members() []Member { return n.conf.current() }

// Role returns the replica's role, its term and the leader that it knows.
func (n *Node) Role() (role Role, term, leader uint64) { return n.role, n.term, n.leader }
