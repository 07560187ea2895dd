package controld

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// Log is the replicated log of a control host. Package replica implements it for
// clusters; memoryLog implements it for a single host without a disk.
type Log interface {
	// Propose appends a command and returns the result of the state machine once
	// the command is committed and applied.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// Barrier returns once all commands accepted before the call are applied on
	// this replica.
	Barrier(ctx context.Context) (uint64, error)
	Status() LogStatus
	// Receive processes a message of another replica.
	Receive(body []byte)
	// Change applies one membership change.
	Change(ctx context.Context, c wire.MemberChange) error
	// Done is closed when the log stops on its own; Err then returns the cause.
	Done() <-chan struct{}
	Err() error
	Stop()
}

// LogStatus is the status of the replicated log from the view of one replica.
type LogStatus struct {
	ID     uint64
	Leader uint64
	// LeaderAddr is empty while no leader is known.
	LeaderAddr string
	// Fresh reports whether the leader, as far as this replica knows, has had recent
	// contact with a quorum.
	Fresh   bool
	Term    uint64
	Commit  uint64
	Applied uint64
	// Waiting reports whether this replica belongs to no cluster and waits to be
	// added to one.
	Waiting bool
	Members []LogMember
	// SnapshotBytes is the size of the last snapshot, and LogBytes that of the commands
	// applied since.
	SnapshotBytes, LogBytes int
	// DroppedMessages counts the messages of other replicas that were dropped because
	// too many waited.
	DroppedMessages uint64
}

// IsLeader reports whether this replica leads.
func (s LogStatus) IsLeader() bool { return s.Leader != 0 && s.Leader == s.ID }

// LogMember is one replica of the log.
type LogMember struct {
	ID    uint64
	Addr  string
	Voter bool
	// Match is the highest log index known to be on the member's disk. Only the
	// leader knows it for all members; other replicas know only their own, and it
	// is zero for the rest.
	Match uint64
	// Live reports whether the member has recently answered the leader. Other
	// replicas report only themselves as live.
	Live bool
}

// NotLeaderError means that a command was not accepted because this replica is not
// the leader.
type NotLeaderError struct {
	// Addr is the leader's peer address, empty if unknown.
	Addr string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Addr == "" {
		return "no leader is known"
	}
	return fmt.Sprintf("the leader is %s", e.Addr)
}

// ErrUnknownOutcome means that a command may or may not have been accepted.
var ErrUnknownOutcome = errors.New("the outcome is unknown")

// errSingleHost is returned for operations that a single host without a disk does
// not support.
var errSingleHost = errors.New("a control host without a data folder has no other replicas")

// memoryLog is an in-memory log of a single control host, for development and
// tests.
type memoryLog struct {
	machine *control.Machine
	addr    string

	mu    sync.Mutex
	index uint64
}

// NewMemoryLog returns a log that is kept in memory only.
func NewMemoryLog(m *control.Machine, addr string) Log {
	m.StartAtLatestFormat()
	return &memoryLog{machine: m, addr: addr}
}

// Propose applies the command immediately.
func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), l.index, nil
}

// Barrier returns immediately because commands are applied when proposed.
func (l *memoryLog) Barrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index, nil
}

// Status returns the status of the single replica.
func (l *memoryLog) Status() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogStatus{
		ID: 1, Leader: 1, LeaderAddr: l.addr, Fresh: true, Term: 1, Commit: l.index, Applied: l.index,
		Members: []LogMember{{ID: 1, Addr: l.addr, Voter: true, Match: l.index, Live: true}},
	}
}

// Receive ignores messages because there is no other replica.
func (l *memoryLog) Receive([]byte) {}

// Change returns an error because a single host has no membership to change.
func (l *memoryLog) Change(context.Context, wire.MemberChange) error { return errSingleHost }

// Done returns nil because the log never stops on its own.
func (l *memoryLog) Done() <-chan struct{} { return nil }

// Err returns nil.
func (l *memoryLog) Err() error { return nil }

// Stop does nothing.
func (l *memoryLog) Stop() {}
