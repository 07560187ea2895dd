// Package replica drives the consensus state machine of package raft over the
// files of package wal and a transport, on behalf of a replicated state
// machine.
package replica

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// StateMachine is the replicated state machine. Its methods are called from
// one goroutine and must not block.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot that Snapshot returned on some
	// replica after it had applied index.
	Restore(index uint64, snapshot []byte) error
}

// Transport carries messages to other replicas. Send must not block and may
// drop. To is zero while the id of the replica at addr is unknown.
type Transport interface {
	Send(to uint64, addr string, body []byte)
}

// Member is a host that belongs to the cluster from its beginning.
type Member struct {
	Addr string
}

// Options describe a replica.
type Options struct {
	// Dir is the data folder; no other process may use it.
	Dir string
	// Addr is the address under which other replicas reach this one.
	Addr string
	// Bootstrap lists the first voters of a new cluster, this one among them;
	// it has no effect once the cluster exists.
	Bootstrap []Member
	// Join makes an empty folder wait until it is added as a learner.
	Join bool

	ElectionTimeout   time.Duration
	HeartbeatInterval time.Duration
	// SnapshotEntries and SnapshotBytes are how many entries and bytes of
	// commands are applied between two snapshots at most.
	SnapshotEntries uint64
	SnapshotBytes   int

	Transport    Transport
	StateMachine StateMachine
	// Log takes a short sentence and pairs of keys and values; nil drops them.
	Log func(msg string, keyvals ...any)
	// FS is the file system; nil is the operating system's.
	FS wal.FS
	// Seed seeds the election timeouts; zero draws one.
	Seed uint64

	newID func() uint64 // draws replica ids
}

// Defaults of Options.
const (
	DefaultSnapshotEntries = 8192
	DefaultSnapshotBytes   = 16 << 20
)

// Errors of the calls below.
var (
	// ErrUnknownOutcome says that the change may or may not take effect.
	ErrUnknownOutcome = errors.New("the outcome is unknown")
	// ErrStopped says that the replica has stopped. A change that was refused
	// with it alone was not run.
	ErrStopped = errors.New("the replica has stopped")
	// ErrRemoved says that the cluster has removed this replica. Its data folder
	// serves no more; see wal.Discard.
	ErrRemoved = errors.New("the cluster has removed this replica")
	// ErrNotMember says that the replica belongs to no cluster yet; nothing was
	// run.
	ErrNotMember = errors.New("the replica belongs to no cluster yet")
)

// NotLeaderError says that another replica leads; nothing was run. The fields
// are empty when no leader is known.
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

// MemberStatus is a member of the cluster.
type MemberStatus = raft.MemberStatus

// Status describes a replica.
type Status struct {
	ID uint64
	// Cluster is zero while the replica belongs to none.
	Cluster    uint64
	Phase      wal.Phase
	Role       raft.Role
	Term       uint64
	LeaderID   uint64
	LeaderAddr string
	Members    []MemberStatus
	Commit     uint64
	Applied    uint64
	// Fresh says that the replica has heard from a quorum within the lease.
	Fresh bool
}

// Replica is a running replica.
type Replica struct {
	opt    Options
	events chan event
	done   chan struct{}
	err    error // why the loop ended; valid once done is closed
}

// Open starts a replica on its data folder. It returns before the replica
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

// newID draws a random id that is not zero.
func newID() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return max(1, binary.BigEndian.Uint64(b[:]))
}

// Propose hands in a command and waits until it has been applied here. An
// ErrNotLeader, raft.ErrBusy or ErrNotMember means that it was not run.
func (r *Replica) Propose(ctx context.Context, command []byte) (result []byte, index uint64, err error) {
	res := r.call(ctx, &request{kind: reqPropose, command: command})
	if res.err != nil {
		return nil, 0, fmt.Errorf("replica: propose: %w", res.err)
	}
	return res.data, res.index, nil
}

// Barrier returns an index such that all that was committed anywhere before
// the call has been applied here. It tries until ctx ends.
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

// readRetryInterval is the pause after a read point that could not be had.
const readRetryInterval = 20 * time.Millisecond

// read makes one attempt at a read point; its messages may be lost.
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

// AddLearner adds a replica that receives the log and counts in no quorum.
func (r *Replica) AddLearner(ctx context.Context, id uint64, addr string) error {
	return r.change(ctx, raft.Change{Kind: raft.AddLearner, ID: id, Addr: addr})
}

// Promote makes a learner a voter. It is refused with raft.ErrNotCaughtUp
// while the learner lacks a committed entry.
func (r *Replica) Promote(ctx context.Context, id uint64) error {
	return r.change(ctx, raft.Change{Kind: raft.Promote, ID: id})
}

// Remove drops a member. A leader that is to remove itself hands over its
// leadership first and returns ErrNotLeader with the new leader.
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

// Transfer hands leadership to a voter, or with zero to the live voter with
// the longest log, and waits until another replica leads.
func (r *Replica) Transfer(ctx context.Context, to uint64) error {
	res := r.call(ctx, &request{kind: reqTransfer, change: raft.Change{ID: to}})
	var moved NotLeaderError
	if errors.As(res.err, &moved) && moved.LeaderID != raft.None {
		return nil
	}
	return fmt.Errorf("replica: transfer: %w", res.err)
}

// Receive takes a message from another replica. It does not block; a replica
// that can't keep up drops messages.
func (r *Replica) Receive(body []byte) {
	select {
	case r.events <- event{body: body}:
	default:
	}
}

// Status returns the state of the replica; once it has stopped, the zero
// Status.
func (r *Replica) Status() Status {
	req := &request{kind: reqStatus}
	return r.call(context.Background(), req).status
}

// Done is closed when the replica has stopped, by Stop or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica, nil while it runs or after
// a Stop.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Stop hands leadership over where it can, until ctx ends, and stops the
// replica.
func (r *Replica) Stop(ctx context.Context) error {
	r.call(ctx, &request{kind: reqTransfer})
	select {
	case r.events <- event{stop: true}:
	case <-r.done:
	}
	<-r.done
	return r.err
}
