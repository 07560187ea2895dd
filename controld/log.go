package controld

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/wire"
)

// Log is the replicated log below a control host. Package replica implements
// it; memoryLog stands in for it on a single host without a disk.
type Log interface {
	// Propose appends a command and returns the machine's result once the
	// command is committed and applied.
	Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error)
	// Barrier returns once everything accepted before the call is applied here.
	Barrier(ctx context.Context) (uint64, error)
	Status() LogStatus
	// Receive takes a message of another replica.
	Receive(body []byte)
	// Change changes the replicas, one at a time.
	Change(ctx context.Context, c wire.MemberChange) error
	// Done is closed once the log has stopped by itself; Err says why.
	Done() <-chan struct{}
	Err() error
	Stop()
}

// LogStatus describes the replicated log as one replica sees it.
type LogStatus struct {
	ID     uint64
	Leader uint64
	// LeaderAddr is empty while no leader is known.
	LeaderAddr string
	// Fresh says that this replica has heard from a quorum lately.
	Fresh   bool
	Term    uint64
	Commit  uint64
	Applied uint64
	// Waiting says that this replica belongs to no cluster and waits to be
	// added.
	Waiting bool
	Members []LogMember
}

// IsLeader reports whether this replica leads.
func (s LogStatus) IsLeader() bool { return s.Leader != 0 && s.Leader == s.ID }

// LogMember is one replica.
type LogMember struct {
	ID    uint64
	Addr  string
	Voter bool
	// Match is the highest log index known to be on its disk; zero if this
	// replica does not lead.
	Match uint64
	// Live says that it has answered the leader lately.
	Live bool
}

// NotLeaderError says that a command was not taken as another replica leads.
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

// ErrUnknownOutcome means that a command may have been accepted or not.
var ErrUnknownOutcome = errors.New("the outcome is unknown")

// errSingleHost is returned by what a single host without a disk can't do.
var errSingleHost = errors.New("a control host without a data folder has no other replicas")

// memoryLog is the log of a single control host that keeps nothing on a disk,
// for development and tests.
type memoryLog struct {
	machine *control.Machine
	addr    string

	mu    sync.Mutex
	index uint64
}

// NewMemoryLog returns a log that lives in memory only.
func NewMemoryLog(m *control.Machine, addr string) Log {
	return &memoryLog{machine: m, addr: addr}
}

// Propose applies the command at once.
func (l *memoryLog) Propose(_ context.Context, command []byte) ([]byte, uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), l.index, nil
}

// Barrier has nothing to wait for.
func (l *memoryLog) Barrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index, nil
}

// Status describes the one replica.
func (l *memoryLog) Status() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LogStatus{
		ID: 1, Leader: 1, LeaderAddr: l.addr, Fresh: true, Term: 1, Commit: l.index, Applied: l.index,
		Members: []LogMember{{ID: 1, Addr: l.addr, Voter: true, Match: l.index, Live: true}},
	}
}

// Receive ignores messages: there is no other replica.
func (l *memoryLog) Receive([]byte) {}

// Change is not possible.
func (l *memoryLog) Change(context.Context, wire.MemberChange) error { return errSingleHost }

// Done returns nil: the log never stops by itself.
func (l *memoryLog) Done() <-chan struct{} { return nil }

// Err returns nil.
func (l *memoryLog) Err() error { return nil }

// Stop does nothing.
func (l *memoryLog) Stop() {}
