package raft

import "time"

// progressState is the mode in which the leader sends to a follower.
type progressState uint8

const (
	// probing searches for the last matching entry, with one message per
	// heartbeat or response.
	probing progressState = iota
	// replicating streams entries, with a limited number of unacknowledged
	// messages.
	replicating
	// snapshotting sends a snapshot one chunk at a time.
	snapshotting
)

// progress is the leader's replication state for one follower.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// paused stops sending, except for heartbeats, until a response shows
	// progress.
	paused bool
	// inflight holds the unacknowledged messages with entries, inflightBytes their size.
	inflight      []inflightMessage
	inflightBytes int
	// ackedAt is the time, on the leader's clock, at which the latest answered
	// message was sent.
	ackedAt    time.Duration
	acked      bool
	ackedRound uint64
	snap       *Snapshot
	snapOffset uint64
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = next
	p.paused = false
	p.clearInflight()
	p.snap = nil
}

func (p *progress) replicate(match uint64) {
	p.state = replicating
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.paused = false
	p.snap = nil
}

func (p *progress) startSnapshot(s *Snapshot) {
	p.state = snapshotting
	p.snap = s
	p.snapOffset = 0
	p.paused = false
	p.clearInflight()
}

// inflightMessage is an unacknowledged message with the entries up to last.
type inflightMessage struct {
	last  uint64
	bytes int
}

func (p *progress) addInflight(last uint64, ents []Entry) {
	m := inflightMessage{last: last}
	for i := range ents {
		m.bytes += entrySize(&ents[i])
	}
	p.inflight = append(p.inflight, m)
	p.inflightBytes += m.bytes
}

func (p *progress) clearInflight() {
	p.inflight = p.inflight[:0]
	p.inflightBytes = 0
}

// freeUpTo removes the messages acknowledged by index from inflight.
func (p *progress) freeUpTo(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n].last <= index {
		p.inflightBytes -= p.inflight[n].bytes
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}

// recordAck records a response to a message that was sent at sentAt in a read
// round.
func (p *progress) recordAck(sentAt time.Duration, round uint64) {
	p.ackedAt = max(p.ackedAt, sentAt)
	p.acked = true
	p.ackedRound = max(p.ackedRound, round)
}
