package raft

import "time"

// Step handles a message from another replica.
func (n *Node) Step(now time.Duration, m Message) {
	n.now = max(n.now, now)
	if m.To != n.id {
		return
	}
	if m.Term < n.term {
		n.stepStaleTerm(m)
		return
	}
	if m.Term > n.term && !n.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgPreVoteResp:
		n.handlePreVoteResp(m)
	case MsgVote:
		n.handleVote(m)
	case MsgVoteResp:
		n.handleVoteResp(m)
	case MsgAppend:
		n.handleAppend(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgAppendResp, MsgSnapshotResp:
		n.handleFollowerResp(m)
	case MsgRead:
		n.handleRead(m)
	case MsgReadResp:
		n.handleReadResp(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
}

// stepStaleTerm handles a message of an earlier term. It rejects appends,
// snapshots and pre-votes, because their sender would otherwise never learn
// the current term.
func (n *Node) stepStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.sendAfterSave(Message{Kind: MsgAppendResp, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendAfterSave(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

// adoptTerm becomes a follower in the later term of a message, unless the
// message is part of a pre-vote. It returns false if the message must be
// ignored.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !m.Force && n.withinLeaderLease(m.Hint) {
			return false
		}
	}
	leader := None
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// withinLeaderLease reports whether a leader may still rely on its lease, so
// that this replica must not vote for another candidate. The candidate has
// proved that no leader up to term void does.
func (n *Node) withinLeaderLease(void uint64) bool {
	return n.role == Leader || n.now < n.noVoteUntil || n.restart.waits(n.now, void)
}

// recordLeaderContact records that the leader of the current term has sent a
// message.
func (n *Node) recordLeaderContact(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.noVoteUntil = n.now + n.cfg.ElectionTimeout
	if m.Fresh {
		n.freshUntil = n.noVoteUntil
	}
	n.resetElectionTimer()
}
