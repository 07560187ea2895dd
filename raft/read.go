package raft

import "slices"

// maxPendingReads bounds the reads that wait for an answer at a leader.
const maxPendingReads = 4096

// read is a request for a linearizable read index.
type read struct {
	id    uint64
	from  uint64
	index uint64
	round uint64
}

// Read requests a linearizable read index. Ready returns it in a ReadState with
// the same id, unless a message is lost, the leader changes or the leader has
// too many waiting reads. Read returns ErrNotLeader if no leader is known.
func (n *Node) Read(id uint64) error {
	switch {
	case n.role == Leader:
		n.addRead(read{id: id, from: n.id})
	case n.leader != None:
		n.sendAfterSave(Message{Kind: MsgRead, To: n.leader, ReadID: id})
	default:
		return ErrNotLeader
	}
	return nil
}

func (n *Node) handleRead(m Message) {
	if n.role == Leader {
		n.addRead(read{id: m.ReadID, from: m.From})
	}
}

func (n *Node) addRead(r read) {
	if len(n.pendingReads)+len(n.startedReads) < maxPendingReads {
		n.pendingReads = append(n.pendingReads, r)
	}
}

// startReads starts one heartbeat round for all pending reads. It waits until
// an entry of the leader's term is committed, because the leader doesn't know
// the commit index before.
func (n *Node) startReads() {
	if len(n.pendingReads) == 0 || !n.log.matches(n.log.commit, n.term) {
		return
	}
	n.round++
	for _, r := range n.pendingReads {
		r.index, r.round = n.log.commit, n.round
		n.startedReads = append(n.startedReads, r)
	}
	n.pendingReads = nil
	n.replicateAll(heartbeatVoters)
	n.confirmReads()
}

// confirmReads answers the reads whose round a quorum has acknowledged.
func (n *Node) confirmReads() {
	if len(n.startedReads) == 0 {
		return
	}
	round := n.quorumAckedRound()
	done := 0
	for done < len(n.startedReads) && n.startedReads[done].round <= round {
		n.answerRead(n.startedReads[done])
		done++
	}
	n.startedReads = n.startedReads[done:]
}

func (n *Node) quorumAckedRound() uint64 {
	members := n.members.current()
	var rounds []uint64
	for _, m := range members {
		switch {
		case !m.Voter:
		case m.ID == n.id:
			rounds = append(rounds, n.round)
		default:
			rounds = append(rounds, n.peers[m.ID].ackedRound)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-quorum(members)]
}

func (n *Node) answerRead(r read) {
	if r.from == n.id {
		n.completedReads = append(n.completedReads, ReadState{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadResp, To: r.from, ReadID: r.id, Index: r.index})
}

func (n *Node) handleReadResp(m Message) {
	n.completedReads = append(n.completedReads, ReadState{ID: m.ReadID, Index: m.Index})
}
