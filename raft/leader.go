package raft

import (
	"slices"
	"time"
)

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.electedAt = n.now
	n.heartbeatAt = n.now
	n.peers = map[uint64]*progress{}
	n.syncPeers()
	n.appendMark()
}

// syncPeers creates the progress of each new member and deletes that of former
// members.
func (n *Node) syncPeers() {
	members := n.members.current()
	for id := range n.peers {
		if _, ok := findMember(members, id); !ok {
			delete(n.peers, id)
		}
	}
	for _, m := range members {
		if m.ID == n.id || n.peers[m.ID] != nil {
			continue
		}
		n.peers[m.ID] = &progress{next: n.log.lastIndex() + 1}
	}
}

// appendAsLeader appends an entry of the current term to the leader's log.
func (n *Node) appendAsLeader(e Entry) (index, term uint64) {
	e.Index, e.Term = n.log.lastIndex()+1, n.term
	n.uncommitted += entrySize(&e)
	n.appendToLog([]Entry{e})
	if e.Kind == EntryMembers {
		n.syncPeers()
	}
	return e.Index, e.Term
}

// Propose appends a command to the log. Nothing was appended if it returns an
// error.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != None {
		return 0, 0, ErrNotLeader
	}
	if len(command) > n.cfg.MaxCommand {
		return 0, 0, ErrTooLarge
	}
	if n.uncommitted > n.cfg.MaxUncommitted {
		return 0, 0, ErrBusy
	}
	index, term = n.appendAsLeader(Entry{Kind: EntryCommand, Data: command})
	return index, term, nil
}

func (n *Node) tickLeader() {
	// MsgTimeoutNow may still reach the transferee after the transfer has
	// timed out, and the election it starts ignores the lease. The leader
	// can't rely on its lease again in this term, so it steps down.
	transferTimedOut := n.transferee != None && n.now >= n.transferDeadline
	if transferTimedOut || !n.quorumActive() {
		n.becomeFollower(n.term, None)
		return
	}
	if n.now < n.heartbeatAt {
		return
	}
	n.heartbeatAt = n.now + n.cfg.HeartbeatInterval
	n.heartbeats++
	if n.heartbeats%heartbeatsPerLearner == 0 {
		n.replicateAll(heartbeatAll)
		return
	}
	n.replicateAll(heartbeatVoters)
}

// heartbeatsPerLearner is the number of heartbeats to voters per heartbeat to
// learners. Learners get fewer because a large fleet has many of them.
const heartbeatsPerLearner = 3

// heartbeatTargets is the set of members that are sent a message even if they
// lack no entries.
type heartbeatTargets uint8

const (
	heartbeatNone heartbeatTargets = iota
	heartbeatVoters
	heartbeatAll
)

// quorumContactAt returns the latest time such that a quorum, which includes
// this leader, has answered messages sent at or after it.
func (n *Node) quorumContactAt() (at time.Duration, ok bool) {
	members := n.members.current()
	var times []time.Duration
	for _, m := range members {
		if !m.Voter {
			continue
		}
		if m.ID == n.id {
			times = append(times, n.now)
		} else if p := n.peers[m.ID]; p != nil && p.acked {
			times = append(times, p.ackedAt)
		}
	}
	q := quorum(members)
	if len(times) < q {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)-q], true
}

// quorumActive reports whether a quorum has answered this leader within the
// election timeout. Otherwise the leader may be partitioned and steps down.
func (n *Node) quorumActive() bool {
	since := n.electedAt
	if at, ok := n.quorumContactAt(); ok {
		since = max(since, at)
	}
	return n.now < since+n.cfg.ElectionTimeout
}

// holdsLease reports whether no other leader can have been elected, because a
// quorum has answered messages sent within the lease. The lease is shorter than
// the election timeout to allow for clocks that run at different rates.
func (n *Node) holdsLease() bool {
	if n.role != Leader || n.transferee != None {
		return false
	}
	at, ok := n.quorumContactAt()
	return ok && n.now < at+n.cfg.ElectionTimeout*leasePercent/100
}

// leasePercent is the length of the leader's lease in percent of the election
// timeout.
const leasePercent = 90

func (n *Node) replicateAll(targets heartbeatTargets) {
	for _, m := range n.members.current() {
		if p := n.peers[m.ID]; p != nil {
			n.replicateTo(m.ID, p, targets == heartbeatAll || (targets == heartbeatVoters && m.Voter))
		}
	}
}

// replicateTo sends a follower the entries or the snapshot chunk that it lacks,
// up to the limits of unacknowledged messages. For a heartbeat it sends at least
// one message.
func (n *Node) replicateTo(id uint64, p *progress, heartbeat bool) {
	if _, ok := n.log.term(p.next - 1); !ok && p.state != snapshotting {
		s := n.log.snap
		p.startSnapshot(&s)
	}
	switch p.state {
	case snapshotting:
		if heartbeat || !p.paused {
			n.sendChunk(id, p)
		}
	case probing:
		if heartbeat || !p.paused {
			n.sendAppend(id, p.next, n.log.batch(p.next, n.cfg.MaxBatchBytes))
			p.paused = true
		}
	case replicating:
		sent := n.streamEntries(id, p)
		if heartbeat && !sent {
			n.sendAppend(id, p.next, nil)
		}
	}
}

// streamEntries sends batches of entries until MaxInflight messages are
// unacknowledged.
func (n *Node) streamEntries(id uint64, p *progress) (sent bool) {
	for p.next <= n.log.lastIndex() && len(p.inflight) < n.cfg.MaxInflight && p.inflightBytes < n.cfg.MaxInflightBytes {
		ents := n.log.batch(p.next, n.cfg.MaxBatchBytes)
		n.sendAppend(id, p.next, ents)
		p.next += uint64(len(ents))
		p.addInflight(p.next-1, ents)
		sent = true
	}
	return sent
}

func (n *Node) sendAppend(to, next uint64, ents []Entry) {
	term, _ := n.log.term(next - 1)
	n.sendAsLeader(Message{
		Kind: MsgAppend, To: to, Index: next - 1, LogTerm: term,
		Commit: n.log.commit, Entries: ents,
	})
}

func (n *Node) sendChunk(id uint64, p *progress) {
	s := p.snap
	from := min(p.snapOffset, uint64(len(s.Data)))
	to := min(from+uint64(n.cfg.ChunkBytes), uint64(len(s.Data)))
	n.sendAsLeader(Message{Kind: MsgSnapshot, To: id, Chunk: &Chunk{
		Index: s.Index, Term: s.Term, Members: s.Members,
		Offset: from, Data: s.Data[from:to], Last: to == uint64(len(s.Data)),
	}})
	p.paused = true
}

// sendAsLeader sends a message with the fields that each replication message
// of a leader carries.
func (n *Node) sendAsLeader(m Message) {
	m.Round = n.round
	m.SentAt = n.now
	m.Fresh = n.holdsLease()
	n.send(m)
}

// handleFollowerResp updates a follower's progress from its response.
func (n *Node) handleFollowerResp(m Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recordAck(m.SentAt, m.Round)
	n.confirmReads()
	switch {
	case m.Kind == MsgSnapshotResp:
		n.handleChunkResp(m, p)
	case m.Reject:
		n.handleReject(m, p)
	case m.Index > n.log.lastIndex():
		// Invalid: a follower of this term can't hold more than its leader.
	default:
		n.handleMatch(m, p)
	}
	n.continueTransfer(m.From, p)
}

func (n *Node) handleChunkResp(m Message, p *progress) {
	if p.state != snapshotting || p.snap.Index != m.Index {
		return
	}
	if m.Offset == p.snapOffset {
		return
	}
	p.snapOffset = m.Offset
	p.paused = false
}

func (n *Node) handleReject(m Message, p *progress) {
	stale := m.Index <= p.match || (p.state == probing && m.Index != p.next-1)
	if stale || p.state == snapshotting {
		return
	}
	p.probe(max(p.match+1, min(m.Index, m.Hint+1)))
}

func (n *Node) handleMatch(m Message, p *progress) {
	if m.Index < p.match {
		return
	}
	if p.state == snapshotting && m.Index < p.snap.Index {
		return
	}
	if p.state == probing {
		p.next = m.Index + 1
	}
	p.freeUpTo(m.Index)
	p.replicate(m.Index)
	n.maybeCommit()
}

// maybeCommit advances the commit index to the highest entry that a quorum
// holds durably. Only an entry of the current term is committed by counting;
// earlier entries are committed along with it.
func (n *Node) maybeCommit() {
	members := n.members.current()
	var durable []uint64
	for _, m := range members {
		switch {
		case !m.Voter:
		case m.ID == n.id:
			durable = append(durable, n.log.stable)
		default:
			durable = append(durable, n.peers[m.ID].match)
		}
	}
	slices.Sort(durable)
	index := durable[len(durable)-quorum(members)]
	if index <= n.log.commit || !n.log.matches(index, n.term) {
		return
	}
	for _, e := range n.log.slice(n.log.commit+1, index) {
		n.uncommitted -= entrySize(&e)
	}
	n.uncommitted = max(0, n.uncommitted)
	n.log.commit = index
	n.confirmReads()
}
