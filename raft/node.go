// Package raft is the consensus state machine of a replicated log. It does no
// I/O and reaches no clock, goroutine or global random source: the driver
// feeds it messages and the time, and carries out what Ready hands back.
//
// Terms, votes and entries count only once they are durable: every message
// that promises durability is held back until Advance reports that the save
// is on disk.
package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Role is the part that a replica plays in its term.
type Role uint8

// The roles.
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

// Defaults of Config.
const (
	DefaultElectionTimeout   = 900 * time.Millisecond
	DefaultHeartbeatInterval = 200 * time.Millisecond
	DefaultMaxBatchBytes     = 64 << 10
	DefaultMaxInflight       = 32
	DefaultMaxUncommitted    = 8 << 20
	DefaultKeepEntries       = 1024
	DefaultKeepBytes         = 4 << 20
	DefaultChunkBytes        = 256 << 10
	DefaultMaxCommand        = 512 << 10
)

// Errors of proposals and membership changes. Each means that nothing was
// appended.
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

// Config describes a replica at its start.
type Config struct {
	ID uint64
	// Hard, Snapshot and Entries are what the replica has saved.
	Hard     HardState
	Snapshot Snapshot
	Entries  []Entry
	// Now is the time of the start, by the clock that Tick and Step use.
	Now time.Duration
	// Seed seeds the election timeouts.
	Seed uint64
	// ElectionTimeout is how long a follower that hears from a leader grants
	// no vote, and the lease of a leader that hears from a quorum.
	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	MaxBatchBytes     int
	MaxInflight       int
	MaxUncommitted    int
	MaxCommand        int
	// KeepEntries and KeepBytes bound the entries before a snapshot that stay
	// in memory for followers that lag a little.
	KeepEntries uint64
	KeepBytes   int
	// ChunkBytes is the data of one snapshot message.
	ChunkBytes int
}

func (c *Config) setDefaults() {
	c.ElectionTimeout = orDefault(c.ElectionTimeout, DefaultElectionTimeout)
	c.HeartbeatInterval = orDefault(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.MaxBatchBytes = orDefault(c.MaxBatchBytes, DefaultMaxBatchBytes)
	c.MaxInflight = orDefault(c.MaxInflight, DefaultMaxInflight)
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

	log  memLog
	conf membership

	electionAt  time.Duration // when a follower starts an election
	noVoteUntil time.Duration // until when no vote is granted
	freshUntil  time.Duration // until when a follower's state counts as fresh

	votes map[uint64]bool // granted or not, by voter

	// State of a leader.
	peers            map[uint64]*progress
	heartbeatAt      time.Duration
	heartbeats       uint64
	electedAt        time.Duration
	uncommitted      int
	round            uint64
	pendingReads     []read
	startedReads     []read
	transferee       uint64
	transferDeadline time.Duration

	incoming *incomingSnapshot // snapshot being received

	outgoing         []Message // may leave at once
	afterNextSave    []Message // wait for the next save
	afterCurrentSave []Message // wait for the save that is under way
	saving           bool
	savedHard        HardState
	pendingSnapshot  *Snapshot // installed, not yet durable or not yet handed out
	snapshotUnsaved  bool      // restore is not yet handed out for saving
	completedReads   []ReadState
}

// New returns a replica that starts from what it has saved.
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
		return nil, fmt.Errorf("raft: start: the log ends at %d but %d was committed: entries are missing", n.log.lastIndex(), n.log.commit)
	}
	if err := n.loadMembers(); err != nil {
		return nil, err
	}
	if cfg.Snapshot.Index > 0 {
		s := cfg.Snapshot
		n.pendingSnapshot = &s
	}
	n.log.applied = n.log.snap.Index
	// The replica may have heard from a leader just before it stopped.
	n.noVoteUntil = n.now + n.cfg.ElectionTimeout
	n.resetElectionTimer()
	if n.isSoleVoter() {
		n.electionAt = n.now
	}
	return n, nil
}

func (n *Node) loadMembers() error {
	if n.log.snap.Index > 0 {
		n.conf.reset(n.log.snap)
	}
	want := n.log.baseIndex + 1
	for _, e := range n.log.ents {
		if e.Index != want {
			return fmt.Errorf("raft: start: entry %d follows entry %d", e.Index, want-1)
		}
		if e.Kind == EntryMembers {
			n.conf.add(e.Index, e.Members)
		}
		want++
	}
	return nil
}

func (n *Node) isSoleVoter() bool {
	m := n.conf.current()
	return countVoters(m) == 1 && isVoter(m, n.id)
}

func (n *Node) resetElectionTimer() {
	span := int64(n.cfg.ElectionTimeout)
	n.electionAt = n.now + n.cfg.ElectionTimeout + time.Duration(n.rng.Int64N(span))
}

// Tick tells the replica the time.
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
	if isVoter(n.conf.current(), n.id) {
		n.preCampaign()
	}
}

// NextTick returns when the replica wants a tick.
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

// send lets a message leave before anything else is saved.
func (n *Node) send(m Message) {
	n.outgoing = append(n.outgoing, n.withSender(m))
}

// sendAfterSave keeps a message back until all that is now in memory is durable.
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
