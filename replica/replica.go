// Package replica runs the consensus state machine of package raft on the files
// of package wal and a transport, and applies its log to a replicated state
// machine.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// StateMachine is the replicated state machine. Its methods are called from
// one goroutine and must not block.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the complete state in serialized form.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot that Snapshot returned on any
	// replica after that replica had applied index.
	Restore(index uint64, snapshot []byte) error
}

// Compacter is implemented by a StateMachine whose state may shrink.
type Compacter interface {
	// SnapshotDue reports, once, that the state has shrunk since the last call, so that
	// a snapshot soon makes the last one and the log before it obsolete.
	SnapshotDue() bool
}

// Transport carries messages to other replicas. Send must not block and may
// drop messages. The id in to is zero while that of the replica at addr is
// unknown.
type Transport interface {
	Send(to uint64, addr string, body []byte)
}

// Member is a host that is an initial member of the cluster.
type Member struct {
	Addr string
}

// Options describe a replica.
type Options struct {
	// Dir is the data folder; no other process may use it.
	Dir string
	// Addr is the address under which other replicas reach this one.
	Addr string
	// Bootstrap lists the initial voters of a new cluster, including this one.
	// It has no effect once the cluster exists.
	Bootstrap []Member
	// Join makes a replica with an empty data folder wait until it is added as
	// a learner.
	Join bool

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// SnapshotEntries and SnapshotBytes are the numbers of entries and of
	// command bytes applied since the last snapshot at which a new one is due. A large
	// snapshot is replaced less often.
	SnapshotEntries uint64
	SnapshotBytes   int

	Transport    Transport
	StateMachine StateMachine
	// Log receives a message and alternating keys and values; nil disables
	// logging.
	Log func(msg string, keyvals ...any)
	// FS is the file system; nil selects that of the operating system.
	FS wal.FS
	// Seed seeds the random election timeouts; zero selects a random seed.
	Seed uint64

	newID func() uint64 // generates replica ids
	// newClock returns the clock of the replica.
	newClock func() steadyclock.Clock
}

// Default values of Options.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 4 << 20
)

// Errors returned by the methods of Replica.
var (
	// ErrUnknownOutcome reports that the change may or may not take effect.
	ErrUnknownOutcome = errors.New("the outcome is unknown")
	// ErrStopped reports that the replica has stopped. A change that was
	// rejected with this error alone was not executed.
	ErrStopped = errors.New("the replica has stopped")
	// ErrRemoved reports that the cluster has removed this replica. Its data
	// folder can't be used any more; see wal.Discard.
	ErrRemoved = errors.New("the cluster has removed this replica")
	// ErrNotMember reports that the replica belongs to no cluster yet and that
	// the request was not executed.
	ErrNotMember = errors.New("the replica belongs to no cluster yet")
)

// NotLeaderError reports that this replica is not the leader and that the
// request was not executed. The fields are empty when no leader is known.
type NotLeaderError struct {
	LeaderID   uint64
	LeaderAddr string
}

// Error implements error.
func (e NotLeaderError) Error() string {
	if e.LeaderID == raft.None {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is %s at %s", formatID(e.LeaderID), e.LeaderAddr)
}

func formatID(id uint64) string { return fmt.Sprintf("%016x", id) }

// MemberStatus describes a member of the cluster.
type MemberStatus = raft.MemberStatus

// Status describes a replica.
type Status struct {
	ID uint64
	// Cluster is zero while the replica belongs to no cluster.
	Cluster    uint64
	Phase      wal.Phase
	Role       raft.Role
	Term       uint64
	LeaderID   uint64
	LeaderAddr string
	Members    []MemberStatus
	Commit     uint64
	Applied    uint64
	// Fresh reports whether the leader is known to hold its lease, that is, to
	// have had recent contact with a quorum.
	Fresh bool
	// SnapshotBytes is the size of the state in the last snapshot, and LogBytes that of
	// the commands applied since it was taken.
	SnapshotBytes int
	LogBytes      int
	// Dropped counts the received messages that were dropped because the queue was
	// full.
	Dropped uint64
}

// Replica is a running replica of the state machine.
type Replica struct {
	opt    Options
	events chan event
	// queuedBytes is the size of the messages in events, and dropped counts those that
	// found it full.
	queuedBytes atomic.Int64
	dropped     atomic.Uint64
	done        chan struct{}
	err         error // why the loop ended; valid once done is closed
}

// Open starts a replica on its data folder. It doesn't wait until the replica
// belongs to a cluster.
func Open(opt Options) (*Replica, error) {
	if err := opt.setDefaults(); err != nil {
		return nil, fmt.Errorf("replica: open: %w", err)
	}
	w, st, err := wal.Open(opt.FS, opt.Dir, opt.newID)
	if err != nil {
		return nil, fmt.Errorf("replica: open: %w", err)
	}
	r := &Replica{
		opt:    opt,
		events: make(chan event, eventQueueSize),
		done:   make(chan struct{}),
	}
	l, err := newLoop(r, w, st)
	if err != nil {
		w.Close()
		return nil, fmt.Errorf("replica: open %s: %w", opt.Dir, err)
	}
	go l.run()
	return r, nil
}

func (o *Options) setDefaults() error {
	switch {
	case o.Dir == "" || o.Addr == "":
		return errors.New("the data folder and the address have to be set")
	case o.Transport == nil || o.StateMachine == nil:
		return errors.New("the transport and the state machine have to be set")
	case len(o.Bootstrap) > 0 && !o.bootstrapIncludesSelf():
		return fmt.Errorf("the bootstrap list lacks this replica's own address %s", o.Addr)
	}
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	if o.FS == nil {
		o.FS = wal.OS{}
	}
	if o.newID == nil {
		o.newID = newID
	}
	if o.newClock == nil {
		o.newClock = steadyclock.New
	}
	if o.Seed == 0 {
		o.Seed = newID()
	}
	if o.ElectionTimeout == 0 {
		o.ElectionTimeout = raft.DefaultElectionTimeout
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = raft.DefaultHeartbeatInterval
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	return nil
}

func (o *Options) bootstrapIncludesSelf() bool {
	for _, m := range o.Bootstrap {
		if m.Addr == o.Addr {
			return true
		}
	}
	return false
}

// newID returns a random nonzero id.
func newID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:]))
}

// Propose submits a command and waits until this replica has applied it. A
// NotLeaderError, raft.ErrBusy or ErrNotMember means that it was not executed.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	res := r.call(ctx, &request{kind: reqPropose, command: command})
	if res.err != nil {
		return nil, 0, fmt.Errorf("replica: propose: %w", res.err)
	}
	return res.data, res.index, nil
}

// Barrier waits until this replica has applied every entry that was committed
// on any replica before the call, and returns an applied index that covers
// them. It retries until ctx ends or the replica stops.
func (r *Replica) Barrier(ctx context.Context) (index uint64, err error) {
	for {
		res := r.read(ctx)
		switch {
		case res.err == nil:
			return res.index, nil
		case ctx.Err() != nil || errors.Is(res.err, ErrStopped):
			return 0, fmt.Errorf("replica: barrier: %w", res.err)
		}
		pause(ctx, readRetryInterval)
	}
}

// readRetryInterval is the delay after a failed attempt to get a read index.
const readRetryInterval = 20 * time.Millisecond

// read makes one attempt to get a read index. The attempt times out after an
// election timeout, because its messages may be lost.
func (r *Replica) read(ctx context.Context) result {
	attempt, cancel := context.WithTimeout(ctx, r.opt.ElectionTimeout)
	defer cancel()
	return r.call(attempt, &request{kind: reqRead})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// AddLearner adds a replica that receives the log but doesn't count towards a
// quorum.
func (r *Replica) AddLearner(ctx context.Context, id uint64, addr string) error {
	return r.change(ctx, raft.Change{Kind: raft.AddLearner, ID: id, Addr: addr})
}

// Promote makes a learner a voter. It fails with raft.ErrNotCaughtUp while the
// learner is not live or lacks a committed entry, and with raft.ErrVoterDown
// while a voter is down and the promotion would raise the quorum size.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, raft.Change{Kind: raft.Promote, ID: id})
}

// Remove removes a member. A leader that is asked to remove itself transfers
// its leadership instead and returns a NotLeaderError with the new leader.
func (r *Replica) Remove(ctx context.Context, id uint64) error {
	return r.change(ctx, raft.Change{Kind: raft.Remove, ID: id})
}

var changeNames = map[raft.ChangeKind]string{
	raft.AddLearner: "add learner", raft.Promote: "promote", raft.Remove: "remove",
}

func (r *Replica) change(ctx context.Context, c raft.Change) error {
	res := r.call(ctx, &request{kind: reqChange, change: c})
	if res.err != nil {
		return fmt.Errorf("replica: %s %s: %w", changeNames[c.Kind], formatID(c.ID), res.err)
	}
	return nil
}

// Transfer transfers leadership to a voter and waits until another replica
// leads. If to is zero, the live voter with the longest log is selected.
func (r *Replica) Transfer(ctx context.Context, to uint64) error {
	res := r.call(ctx, &request{kind: reqTransfer, change: raft.Change{ID: to}})
	var notLeader NotLeaderError
	if errors.As(res.err, &notLeader) && notLeader.LeaderID != raft.None {
		return nil
	}
	return fmt.Errorf("replica: transfer: %w", res.err)
}

// maxQueuedBytes bounds the size of the queued messages. One message alone is always
// queued.
const maxQueuedBytes = 16 << 20

// Receive queues a message from another replica. It doesn't block; when the
// queue is full, the message is dropped.
func (r *Replica) Receive(body []byte) {
	size := int64(len(body))
	if queued := r.queuedBytes.Add(size); queued > maxQueuedBytes && queued > size {
		r.dropMessage(size)
		return
	}
	select {
	case r.events <- event{body: body}:
	default:
		r.dropMessage(size)
	}
}

func (r *Replica) dropMessage(size int64) {
	r.queuedBytes.Add(-size)
	r.dropped.Add(1)
}

// Status returns the state of the replica, or the zero Status once the replica
// has stopped.
func (r *Replica) Status() Status {
	req := &request{kind: reqStatus}
	return r.call(context.Background(), req).status
}

// Done returns a channel that is closed when the replica has stopped, by Stop
// or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica. It is nil while the replica
// runs and after a clean Stop.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Stop tries to transfer leadership until ctx ends and then stops the replica.
func (r *Replica) Stop(ctx context.Context) error {
	r.call(ctx, &request{kind: reqTransfer})
	select {
	case r.events <- event{stop: true}:
	case <-r.done:
	}
	<-r.done
	return r.err
}
