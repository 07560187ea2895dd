package raft

import "time"

// progressState is how the leader sends to a follower.
type progressState uint8

const (
	// probing looks for the last matching entry, one message a heartbeat.
	probing progressState = iota
	// replicating streams entries within a window.
	replicating
	// snapshotting sends a snapshot, one chunk at a time.
	snapshotting
)

// progress is what the leader knows of one follower.
type progress struct {
	state progressState
	match uint64
	next  uint64
	// paused waits for an answer or the next heartbeat.
	paused bool
	// inflight holds the last index of each message not yet acknowledged.
	inflight []uint64
	// ackedAt is the leader's clock at the sending of the newest message that
	// was answered.
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
	p.inflight = p.inflight[:0]
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
	p.inflight = p.inflight[:0]
}

// freeUpTo drops acknowledged messages from the window.
func (p *progress) freeUpTo(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}

// recordAck notes an answer to a message that was sent at sentAt in a round.
func (p *progress) recordAck(sentAt time.Duration, round uint64) {
	p.ackedAt = max(p.ackedAt, sentAt)
	p.acked = true
	p.ackedRound = max(p.ackedRound, round)
}
