package raft

// preCampaign starts a pre-vote: it asks the other voters whether an election
// could be won, without changing the term.
func (n *Node) preCampaign() {
	n.becomeFollower(n.term, None)
	n.role = PreCandidate
	n.votes = map[uint64]bool{n.id: true}
	for _, v := range n.members.current() {
		if v.Voter && v.ID != n.id {
			n.send(Message{
				Kind: MsgPreVote, To: v.ID, Term: n.term + 1, Hint: n.restart.ledTerm,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
			})
		}
	}
	n.countVotes()
}

// campaign starts an election. The replica sends its own vote to itself after
// the save, so that the vote counts only once it is durable.
func (n *Node) campaign(force bool) {
	n.becomeFollower(n.term+1, None)
	n.role = Candidate
	n.vote = n.id
	n.votes = map[uint64]bool{}
	for _, v := range n.members.current() {
		switch {
		case v.ID == n.id:
			n.sendAfterSave(Message{Kind: MsgVoteResp, To: n.id})
		case v.Voter:
			n.sendAfterSave(Message{
				Kind: MsgVote, To: v.ID, Force: force, Hint: n.restart.ledTerm,
				Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(),
			})
		}
	}
}

func (n *Node) handlePreVote(m Message) {
	grant := m.Term > n.term && !n.withinLeaderLease(m.Hint) && n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.sendAfterSave(Message{Kind: MsgPreVoteResp, To: m.From, Term: m.Term})
		return
	}
	n.sendAfterSave(Message{Kind: MsgPreVoteResp, To: m.From, Reject: true})
}

func (n *Node) handlePreVoteResp(m Message) {
	if n.role != PreCandidate {
		return
	}
	if !m.Reject && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

func (n *Node) handleVote(m Message) {
	if !m.Force && n.withinLeaderLease(m.Hint) {
		return
	}
	canVote := n.vote == m.From || (n.vote == None && n.leader == None)
	if !canVote || !n.log.upToDate(m.Index, m.LogTerm) {
		n.sendAfterSave(Message{Kind: MsgVoteResp, To: m.From, Reject: true})
		return
	}
	n.vote = m.From
	n.resetElectionTimer()
	n.sendAfterSave(Message{Kind: MsgVoteResp, To: m.From})
}

func (n *Node) handleVoteResp(m Message) {
	if n.role != Candidate || m.Term != n.term {
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// countVotes ends a pre-vote or an election once a majority has granted or
// rejected it.
func (n *Node) countVotes() {
	members := n.members.current()
	granted, refused := 0, 0
	for id, ok := range n.votes {
		switch {
		case !isVoter(members, id):
		case ok:
			granted++
		default:
			refused++
		}
	}
	switch {
	case granted >= quorum(members) && n.role == PreCandidate:
		n.campaign(false)
	case granted >= quorum(members):
		n.becomeLeader()
	case refused >= quorum(members):
		n.becomeFollower(n.term, None)
	}
}

// handleTimeoutNow starts an election because the leader transfers its
// leadership to this replica.
func (n *Node) handleTimeoutNow(m Message) {
	if n.leader != m.From || !isVoter(n.members.current(), n.id) {
		return
	}
	n.campaign(true)
}
