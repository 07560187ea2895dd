package raft

import "time"

//go:generate go tool msgp -tests=false -io=false

//msgp:tuple Member Entry HardState Snapshot Chunk Message
//msgp:limit arrays:65536 maps:16

// None is the id of no replica.
const None uint64 = 0

// Member is one replica of the cluster.
type Member struct {
	ID   uint64
	Addr string
	// Voter is false for a learner, which receives the log and counts in no
	// quorum.
	Voter bool
}

// EntryKind says what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is appended by a new leader; it holds nothing.
	EntryNoop EntryKind = iota
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand
	// EntryMembers holds the whole membership that is in force from the entry
	// on.
	EntryMembers
)

// Entry is one position of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte `msg:"Data,limit=268435456"`
	Members []Member
}

// HardState is what a replica must not forget. Commit is a lower bound that
// saves time at a restart; it may lag.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte `msg:"Data,limit=268435456"`
}

// Chunk is a part of a snapshot on its way to a follower.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Offset is the position of Data in the snapshot's data.
	Offset uint64
	Data   []byte `msg:"Data,limit=268435456"`
	Last   bool
}

// MessageKind names the type of a message.
type MessageKind uint8

// The kinds of messages. Numbers are never reused.
const (
	// MsgPreVote asks whether an election could be won; it changes no term.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	// MsgAppend carries entries and is the leader's heartbeat when empty.
	MsgAppend
	MsgAppendResp
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	MsgSnapshotResp
	// MsgRead asks the leader for a linearizable read index.
	MsgRead
	MsgReadResp
	// MsgTimeoutNow tells a follower to start an election at once.
	MsgTimeoutNow
)

// Message travels between two replicas of a cluster.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Index and LogTerm name a position of the log: the one before Entries,
	// the candidate's last, or the highest that is known to match.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the follower's best guess of a matching index after a rejection.
	Hint uint64
	// Round counts the leader's read rounds; a response echoes it.
	Round uint64
	// SentAt is the leader's clock at the sending; a response echoes it.
	SentAt time.Duration
	// Fresh says that the leader holds its lease.
	Fresh bool
	// Force marks a vote that the old leader has asked for.
	Force bool
	// ReadID pairs a MsgRead with its response.
	ReadID uint64
	// Offset is the number of bytes of a snapshot received so far.
	Offset uint64
	Chunk  *Chunk
}
