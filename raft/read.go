package raft

import "slices"

// maxReads bounds the reads that wait at a leader.
const maxReads = 4096

// read is a request for a linearizable read point.
type read struct {
	id    uint64
	from  uint64
	index uint64
	round uint64
}

// Read asks for a linearizable read index; a ReadState with the same id
// follows unless messages or leadership are lost. It returns ErrNotLeader
// when no leader is known.
func (n *Node) Read(id uint64) error {
	switch {
	case n.role == Leader:
		n.addRead(read{id: id, from: n.id})
	case n.leader != None:
		n.hold(Message{Kind: MsgRead, To: n.leader, ReadID: id})
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
	if len(n.newReads)+len(n.reads) < maxReads {
		n.newReads = append(n.newReads, r)
	}
}

// startReads begins one round of heartbeats for all reads that have come in.
// A leader knows the commit index only once an entry of its term is committed.
func (n *Node) startReads() {
	if len(n.newReads) == 0 || !n.log.matches(n.log.commit, n.term) {
		return
	}
	n.round++
	for _, r := range n.newReads {
		r.index, r.round = n.log.commit, n.round
		n.reads = append(n.reads, r)
	}
	n.newReads = nil
	n.replicateAll(beatVoters)
	n.confirmReads()
}

// confirmReads answers the reads whose round a quorum has acknowledged.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	round := n.quorumRound()
	done := 0
	for done < len(n.reads) && n.reads[done].round <= round {
		n.answerRead(n.reads[done])
		done++
	}
	n.reads = n.reads[done:]
}

func (n *Node) quorumRound() uint64 {
	members := n.conf.current()
	var rounds []uint64
	for _, m := range members {
		switch {
		case !m.Voter:
		case m.ID == n.id:
			rounds = append(rounds, n.round)
		default:
			rounds = append(rounds, n.peers[m.ID].round)
		}
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-quorum(members)]
}

func (n *Node) answerRead(r read) {
	if r.from == n.id {
		n.readDone = append(n.readDone, ReadState{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: MsgReadResp, To: r.from, ReadID: r.id, Index: r.index})
}

func (n *Node) handleReadResp(m Message) {
	n.readDone = append(n.readDone, ReadState{ID: m.ReadID, Index: m.Index})
}
