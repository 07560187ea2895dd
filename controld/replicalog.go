package controld

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/replica"
	"github.com/fireflytray/fireflytray/wire"
)

// stopTimeout bounds the hand-over of leadership at a shutdown.
const stopTimeout = 2 * time.Second

// ReplicaOptions are the settings of a replicated log on disk.
type ReplicaOptions struct {
	// Dir is the data folder.
	Dir string
	// Addr is this host's peer address.
	Addr string
	// Initial lists the peer addresses of the first control hosts.
	Initial []string
	// Join makes an empty folder wait to be added.
	Join bool
}

// OpenReplica returns a function for Options.OpenLog that opens the replicated
// log in a data folder.
func OpenReplica(o ReplicaOptions) func(Hooks) (Log, error) {
	return func(h Hooks) (Log, error) {
		opt := replica.Options{
			Dir: o.Dir, Addr: o.Addr, Join: o.Join,
			Transport: raftTransport(h.Send), StateMachine: h.Machine,
			Log: func(msg string, keyvals ...any) { h.Log.WithPrefix("replica").Info(msg, keyvals...) },
		}
		if !o.Join {
			for _, addr := range o.Initial {
				opt.Bootstrap = append(opt.Bootstrap, replica.Member{Addr: addr})
			}
		}
		r, err := replica.Open(opt)
		if err != nil {
			return nil, err
		}
		return &replicaLog{r}, nil
	}
}

// raftTransport sends by peer address.
type raftTransport func(addr string, body []byte)

// Send implements replica.Transport.
func (f raftTransport) Send(_ uint64, addr string, body []byte) { f(addr, body) }

// replicaLog makes a replica.Replica a Log.
type replicaLog struct{ r *replica.Replica }

// Propose implements Log.
func (l *replicaLog) Propose(ctx context.Context, command []byte) ([]byte, uint64, error) {
	result, index, err := l.r.Propose(ctx, command)
	return result, index, logError(err)
}

// Barrier implements Log.
func (l *replicaLog) Barrier(ctx context.Context) (uint64, error) {
	index, err := l.r.Barrier(ctx)
	return index, logError(err)
}

// logError gives an error of replica the types of this package.
func logError(err error) error {
	var other replica.ErrNotLeader
	switch {
	case err == nil:
		return nil
	case errors.As(err, &other):
		return fmt.Errorf("%w: %w", &NotLeaderError{Addr: other.LeaderAddr}, err)
	case errors.Is(err, replica.ErrUnknownOutcome):
		return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	return err
}

// Status implements Log.
func (l *replicaLog) Status() LogStatus {
	s := l.r.Status()
	out := LogStatus{
		ID: s.ID, Leader: s.LeaderID, LeaderAddr: s.LeaderAddr, Fresh: s.Fresh,
		Term: s.Term, Commit: s.Commit, Applied: s.Applied,
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, LogMember{ID: m.ID, Addr: m.Addr, Voter: m.Voter, Match: m.Match, Live: m.Live})
	}
	return out
}

// Receive implements Log.
func (l *replicaLog) Receive(body []byte) { l.r.Receive(body) }

// Change implements Log.
func (l *replicaLog) Change(ctx context.Context, c wire.MemberChange) error {
	switch c.Action {
	case wire.MemberAdd:
		return logError(l.r.AddLearner(ctx, c.ID, c.Addr))
	case wire.MemberPromote:
		return logError(l.r.Promote(ctx, c.ID))
	case wire.MemberRemove:
		return logError(l.r.Remove(ctx, c.ID))
	}
	return fmt.Errorf("controld: unknown change of the control hosts %q", c.Action)
}

// Done implements Log.
func (l *replicaLog) Done() <-chan struct{} { return l.r.Done() }

// Err implements Log.
func (l *replicaLog) Err() error { return l.r.Err() }

// Stop implements Log.
func (l *replicaLog) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = l.r.Stop(ctx) // Err has the cause
}
