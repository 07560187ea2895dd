package raft

import "time"

//go:generate go tool msgp -tests=false -io=false

//msgp:tuple Member Entry HardState Snapshot Chunk Message
//msgp:limit arrays:65536 maps:16

// None is the reserved id that stands for no replica.
const None uint64 = 0

// Member is one replica of the cluster.
type Member struct {
	ID   uint64
	Addr string
	// Voter is false for a learner, which receives the log but doesn't count
	// toward a quorum.
	Voter bool
}

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryNoop is the entry that a new leader appends. Its data names the
	// leader; it holds no command.
	EntryNoop EntryKind = iota
	// EntryCommand holds a command for the replicated state machine.
	EntryCommand
	// EntryMembers holds the complete membership, which takes effect as soon
	// as the entry is in the log.
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

// HardState is the state of a replica that must survive a restart. Commit is
// a lower bound of the commit index, which may lag; it shortens a restart.
type HardState struct {
	Term   uint64
	Vote   uint64
	Commit uint64
}

// Snapshot replaces the log entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Data refers to the encoded bytes after decoding, because a copy may be as large as
	// the state.
	Data []byte `msg:"Data,limit=268435456,zerocopy"`
}

// Chunk is a part of a snapshot that is sent to a follower.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Offset is the position of Data in the snapshot's data.
	Offset uint64
	Data   []byte `msg:"Data,limit=268435456"`
	Last   bool
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages. Numbers are never reused.
const (
	// MsgPreVote asks whether an election could be won, without changing a
	// term.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResp
	MsgVote
	MsgVoteResp
	// MsgAppend carries entries. Without entries it is the leader's heartbeat.
	MsgAppend
	MsgAppendResp
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	MsgSnapshotResp
	// MsgRead asks the leader for a linearizable read index.
	MsgRead
	MsgReadResp
	// MsgTimeoutNow makes a follower start an election at once, without a pre-vote.
	MsgTimeoutNow
)

// Message is sent from one replica of a cluster to another.
type Message struct {
	Kind MessageKind
	From uint64
	To   uint64
	Term uint64
	// Index and LogTerm identify a log position: the one before Entries, the
	// candidate's last one, or the highest one that is known to match.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	Reject  bool
	// Hint is the index at which the leader should probe after a rejection. In
	// a vote or pre-vote request it is a term: no leader of that term or an
	// earlier one relies on a lease. Zero says nothing.
	Hint uint64
	// Round is the leader's read round number. A response echoes it.
	Round uint64
	// SentAt is the leader's clock when it sent the message. A response
	// echoes it.
	SentAt time.Duration
	// Fresh reports whether the leader holds its lease.
	Fresh bool
	// Force marks a vote request of a leadership transfer. It is handled even
	// while the lease of the old leader is valid.
	Force bool
	// ReadID matches a MsgRead with its response.
	ReadID uint64
	// Offset is the number of snapshot bytes received so far.
	Offset uint64
	Chunk  *Chunk
}
