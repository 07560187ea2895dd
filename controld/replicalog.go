package controld

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/fireflytray/fireflytray/replica"
	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wire"
)

// stopTimeout bounds the leadership transfer during shutdown.
const stopTimeout = 2 * time.Second

// ReplicaOptions are the settings of a replicated log on disk.
type ReplicaOptions struct {
	// Dir is the data folder.
	Dir string
	// Addr is this host's peer address.
	Addr string
	// Initial lists the peer addresses of the control hosts that bootstrap the
	// cluster.
	Initial []string
	// Join makes a replica with an empty data folder wait to be added to a cluster
	// instead of bootstrapping one.
	Join bool
	// ElectionTimeout is the time without messages from the leader after which an
	// election starts; zero selects the default.
	ElectionTimeout time.Duration
	// FS is the file system of the data folder; nil selects that of the operating
	// system.
	FS wal.FS
}

// heartbeatsPerTimeout is the number of heartbeats per election timeout.
const heartbeatsPerTimeout = 4

// OpenReplica returns a function for Options.OpenLog that opens the replicated
// log in a data folder.
func OpenReplica(o ReplicaOptions) func(LogDependencies) (Log, error) {
	return func(deps LogDependencies) (Log, error) {
		l := &replicaLog{opts: o, deps: deps, done: make(chan struct{})}
		r, err := l.open(o.Join)
		if err != nil {
			return nil, err
		}
		l.current.Store(r)
		go l.supervise()
		return l, nil
	}
}

func (l *replicaLog) open(join bool) (*replica.Replica, error) {
	opt := replica.Options{
		Dir: l.opts.Dir, Addr: l.opts.Addr, Join: join,
		ElectionTimeout: l.opts.ElectionTimeout, HeartbeatInterval: l.opts.ElectionTimeout / heartbeatsPerTimeout,
		Transport: raftTransport(l.deps.Send), StateMachine: l.deps.Machine, FS: l.opts.FS,
		Log: func(msg string, keyvals ...any) { l.deps.Log.WithPrefix("replica").Info(msg, keyvals...) },
	}
	if !join {
		for _, addr := range l.opts.Initial {
			opt.Bootstrap = append(opt.Bootstrap, replica.Member{Addr: addr})
		}
	}
	return replica.Open(opt)
}

// supervise waits for the replica to end. If the cluster removed the replica, it
// discards the data folder and starts a new replica that waits to be added.
// Otherwise it closes done.
func (l *replicaLog) supervise() {
	defer close(l.done)
	for {
		r := l.current.Load()
		<-r.Done()
		if l.err = r.Err(); !errors.Is(l.err, replica.ErrRemoved) {
			return
		}
		l.deps.Log.Warn("replica was removed from the cluster, rejoining with an empty data folder", "folder", l.opts.Dir)
		if l.err = wal.Discard(wal.OS{}, l.opts.Dir); l.err != nil {
			return
		}
		l.deps.Machine.Reset()
		if r, l.err = l.open(true); l.err != nil {
			return
		}
		l.current.Store(r)
	}
}

// raftTransport is a replica.Transport that sends by peer address and ignores the
// replica id.
type raftTransport func(addr string, body []byte)

// Send implements replica.Transport.
func (f raftTransport) Send(_ uint64, addr string, body []byte) { f(addr, body) }

// replicaLog implements Log with a replica.Replica.
type replicaLog struct {
	opts    ReplicaOptions
	deps    LogDependencies
	current atomic.Pointer[replica.Replica]
	done    chan struct{}
	err     error // valid once done is closed
}

// Propose implements Log.
func (l *replicaLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	result, index, err := l.current.Load().Propose(ctx, command)
	return result, index, logError(err)
}

// Barrier implements Log.
func (l *replicaLog) Barrier(ctx context.Context) (uint64, error) {
	index, err := l.current.Load().Barrier(ctx)
	return index, logError(err)
}

// logError wraps errors of package replica in the error types of this package.
func logError(err error) error {
	var notLeader replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return fmt.Errorf("%w: %w", &NotLeaderError{Addr: notLeader.LeaderAddr}, err)
	case errors.Is(err, replica.ErrUnknownOutcome):
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return err
}

// Status implements Log.
func (l *replicaLog) Status() LogStatus {
	s := l.current.Load().Status()
	out := LogStatus{
		ID: s.ID, Leader: s.LeaderID, LeaderAddr: s.LeaderAddr, Fresh: s.Fresh,
		Term: s.Term, Commit: s.Commit, Applied: s.Applied,
		Waiting:       s.Phase == wal.PhaseWaiting,
		SnapshotBytes: s.SnapshotBytes, LogBytes: s.LogBytes, DroppedMessages: s.Dropped,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, LogMember{ID: m.ID, Addr: m.Addr, Voter: m.Voter, Match: m.Match, Live: m.Live})
	}
	return out
}

// Receive implements Log.
func (l *replicaLog) Receive(body []byte) { l.current.Load().Receive(body) }

// Change implements Log.
func (l *replicaLog) Change(ctx context.Context, c wire.MemberChange) error {
	switch c.Action {
	case wire.MemberAdd:
		return logError(l.current.Load().AddLearner(ctx, c.ID, c.Addr))
	case wire.MemberPromote:
		return logError(l.current.Load().Promote(ctx, c.ID))
	case wire.MemberRemove:
		return logError(l.current.Load().Remove(ctx, c.ID))
	}
	return fmt.Errorf("controld: unknown change of the control hosts %q", c.Action)
}

// Done implements Log.
func (l *replicaLog) Done() <-chan struct{} { return l.done }

// Err implements Log.
func (l *replicaLog) Err() error {
	select {
	case <-l.done:
		return l.err
	default:
		return nil
	}
}

// Stop implements Log.
func (l *replicaLog) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.current.Load().Stop(ctx) // Err returns the cause
}
