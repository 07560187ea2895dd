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

// stepStaleTerm answers a message of an earlier term where silence would leave the
// sender stuck.
func (n *Node) stepStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgSnapshot:
		n.sendAfterSave(Message{Kind: MsgAppendResp, To: m.From, Reject: true})
	case MsgPreVote:
		n.sendAfterSave(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
	}
}

// adoptTerm moves to the later term of a message. It returns false when the
// message is to be ignored.
func (n *Node) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		return true
	case MsgPreVoteResp:
		if !m.Reject {
			return true
		}
	case MsgVote:
		if !m.Force && n.withinLeaderLease() {
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

// withinLeaderLease says whether a leader may still count on this replica's refusal
// to vote for another.
func (n *Node) withinLeaderLease() bool {
	return n.role == Leader || n.now < n.noVoteUntil
}

// recordLeaderContact notes a message of the current term's leader.
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
