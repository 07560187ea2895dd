// Package raft is the consensus state machine of a replicated log. It does no
// I/O and uses no clock, goroutine or global random source: the caller passes
// in messages and the time, and carries out the work that Ready returns.
//
// Terms, votes and entries take effect only once they are durable. A message
// that depends on unsaved state is withheld until Advance reports that the
// save is durable.
package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "follower"
}

// Default values of Config.
const (
	DefaultElectionTimeout   = 900 * time.Millisecond
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultMaxBatchBytes     = 64 << 10
	DefaultMaxInflight       = 32
	DefaultMaxInflightBytes  = 4 << 20
	DefaultMaxUncommitted    = 8 << 20
	DefaultKeepEntries       = 1024
	DefaultKeepBytes         = 4 << 20
	DefaultChunkBytes        = 256 << 10
	DefaultMaxCommand        = 1 << 20
)

// Errors of proposals, reads, membership changes and leadership transfers.
// Nothing was appended to the log when one of them is returned.
var (
	ErrNotLeader     = errors.New("not the leader")
	ErrBusy          = errors.New("too many changes wait for a commit")
	ErrTooLarge      = errors.New("the command is too large")
	ErrChangePending = errors.New("an earlier membership change is not committed yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up")
	ErrUnknownMember = errors.New("no such member")
	ErrMemberExists  = errors.New("the member exists already")
	ErrRemoveLeader  = errors.New("the leader can't remove itself before its leadership is transferred")
	ErrQuorumLost    = errors.New("the change would leave no live quorum")
	ErrNoTransferee  = errors.New("no other live voter can take over")
	ErrVoterDown     = errors.New("a voter is down: it has to come back or be removed first")
)

// Config is the configuration and the saved state that a replica starts with.
type Config struct {
	ID uint64
	// Hard, Snapshot and Entries are the replica's saved state.
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Now is the start time, on the same clock as the times given to Tick and
	// Step.
	Now time.Duration
	// Seed is the seed of the randomized election timeouts.
	Seed uint64
	// ElectionTimeout is how long a follower grants no vote after a message
	// from a leader. The leader's lease is derived from it.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxBatchBytes     int
	// MaxInflight and MaxInflightBytes bound the unacknowledged messages with entries
	// to one follower. One message is sent whatever its size.
	MaxInflight      int
	MaxInflightBytes int
	MaxUncommitted   int
	MaxCommand       int
	// KeepEntries and KeepBytes bound the entries before a snapshot that are
	// kept in memory, so that a follower that lags slightly needs no snapshot.
	KeepEntries uint64
	KeepBytes   int
	// ChunkBytes is the maximum size of the data in one snapshot message.
	ChunkBytes int
}

func (c *Config) setDefaults() {
	c.ElectionTimeout = orDefault(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = orDefault(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.MaxBatchBytes = orDefault(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxInflight = orDefault(c.MaxInflight, DefaultMaxInflight)
	c.MaxInflightBytes = orDefault(c.MaxInflightBytes, DefaultMaxInflightBytes)
	c.MaxUncommitted = orDefault(c.MaxUncommitted, DefaultMaxUncommitted)
	c.KeepEntries = orDefault(c.KeepEntries, DefaultKeepEntries)
	c.KeepBytes = orDefault(c.KeepBytes, DefaultKeepBytes)
	c.MaxCommand = orDefault(c.MaxCommand, DefaultMaxCommand)
	c.ChunkBytes = orDefault(c.ChunkBytes, DefaultChunkBytes)
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Node is one replica's state machine. It is not safe for concurrent use.
type Node struct {
	cfg Config
	id  uint64
	rng *rand.Rand
	now time.Duration

	term   uint64
	vote   uint64
	role   Role
	leader uint64

	log     memLog
	members membership

	electionAt  time.Duration // when a replica other than the leader starts a pre-vote
	noVoteUntil time.Duration // no vote is granted before this time, except to a forced request; set by a leader's messages
	restart     restart
	freshUntil  time.Duration // a follower's state counts as fresh before this time

	votes map[uint64]bool // whether granted, by voter id

	// Used only by a leader.
	peers            map[uint64]*progress
	heartbeatAt      time.Duration
	heartbeats       uint64
	electedAt        time.Duration
	uncommitted      int
	round            uint64
	markIndex        uint64 // the last entry that proves this leadership after a restart
	pendingReads     []read
	startedReads     []read
	transferee       uint64
	transferDeadline time.Duration

	incoming *incomingSnapshot // snapshot being received in chunks

	outgoing         []Message // can be sent at once
	afterNextSave    []Message // sent once the next save is durable
	afterCurrentSave []Message // sent once the current save is durable
	saving           bool
	savedHard        HardState
	pendingSnapshot  *Snapshot // not yet returned by Ready as Restore
	snapshotUnsaved  bool      // pendingSnapshot is not yet returned by Ready for saving
	completedReads   []ReadState
}

// New returns a replica that starts from its saved state.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	n := &Node{
		cfg:       cfg,
		id:        cfg.ID,
		rng:       rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		now:       cfg.Now,
		term:      cfg.Hard.Term,
		vote:      cfg.Hard.Vote,
		savedHard: cfg.Hard,
		log:       newLog(cfg.Snapshot, cfg.Entries, cfg.Hard.Commit),
	}
	if n.id == None {
		return nil, errors.New("raft: start: the replica has no id")
	}
	if n.log.commit > n.log.lastIndex() {
		return nil, fmt.Errorf("raft: start: entries are missing: the log ends at index %d but the commit index is %d", n.log.lastIndex(), n.log.commit)
	}
	if err := n.loadMembers(); err != nil {
		return nil, err
	}
	if cfg.Snapshot.Index > 0 {
		s := cfg.Snapshot
		n.pendingSnapshot = &s
	}
	n.log.applied = n.log.snap.Index
	n.loadRestart()
	n.startElectionTimer()
	return n, nil
}

func (n *Node) loadMembers() error {
	if n.log.snap.Index > 0 {
		n.members.reset(n.log.snap)
	}
	wantIndex := n.log.baseIndex + 1
	for _, e := range n.log.ents {
		if e.Index != wantIndex {
			return fmt.Errorf("raft: start: the log is not contiguous: entry %d follows entry %d", e.Index, wantIndex-1)
		}
		if e.Kind == EntryMembers {
			n.members.add(e.Index, e.Members)
		}
		wantIndex++
	}
	return nil
}

func (n *Node) isSoleVoter() bool {
	m := n.members.current()
	return countVoters(m) == 1 && isVoter(m, n.id)
}

func (n *Node) resetElectionTimer() {
	if n.retriesSoon() {
		n.electionAt = n.now + n.cfg.ElectionTimeout/restartAttempts
		return
	}
	span := int64(n.cfg.ElectionTimeout)
	n.electionAt = n.now + n.cfg.ElectionTimeout + time.Duration(n.rng.Int64N(span))
}

// Tick advances the replica's clock and runs the timers that are due.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now < n.electionAt {
		return
	}
	n.resetElectionTimer()
	n.leader = None
	if isVoter(n.members.current(), n.id) {
		n.preCampaign()
	}
}

// NextTick returns the time at which Tick has to be called next.
func (n *Node) NextTick() time.Duration {
	if n.role == Leader {
		return n.heartbeatAt
	}
	return n.electionAt
}

func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = None
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.peers = nil
	n.pendingReads, n.startedReads = nil, nil
	n.transferee = None
	n.uncommitted = 0
	n.resetElectionTimer()
}

// send queues a message that can be sent before unsaved state is durable.
func (n *Node) send(m Message) {
	n.outgoing = append(n.outgoing, n.withSender(m))
}

// sendAfterSave queues a message that is sent once all present state is
// durable.
func (n *Node) sendAfterSave(m Message) {
	n.afterNextSave = append(n.afterNextSave, n.withSender(m))
}

func (n *Node) withSender(m Message) Message {
	m.From = n.id
	if m.Term == 0 {
		m.Term = n.term
	}
	return m
}
