package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// resolveTimeout bounds the attempts to record one outcome. It is longer
	// than an outage of all control hosts: while a key has no outcome, its
	// caller can neither learn the result of the request nor repeat a request
	// that was not run.
	resolveTimeout = time.Hour
	// maxPendingResolves bounds the outcomes being recorded at the same time.
	maxPendingResolves = 10_000
	// resolveDrainMinimum is how long a drain that is out of time still waits for
	// pending outcomes. With serverStopTimeout it stays below the time that package
	// daemon grants to a program beyond its drain.
	resolveDrainMinimum = time.Second
)

// resolver records the outcomes of granted claims at the control hosts.
type resolver struct {
	control   Control
	log       *log.Logger
	semaphore chan struct{}
	pending   sync.WaitGroup
	ctx       context.Context
	cancel    context.CancelFunc
}

func newResolver(control Control, log *log.Logger) *resolver {
	r := &resolver{control: control, log: log, semaphore: make(chan struct{}, maxPendingResolves)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// record records an outcome in the background. If that fails, the key stays
// claimed.
func (r *resolver) record(m wire.Resolve) {
	select {
	case r.semaphore <- struct{}{}:
	default:
		r.log.Error("claim not resolved, too many pending resolves", "owner", m.Owner)
		return
	}
	r.pending.Go(func() {
		defer func() { <-r.semaphore }()
		ctx, cancel := context.WithTimeout(r.ctx, resolveTimeout)
		defer cancel()
		if err := r.control.Resolve(ctx, m); err != nil {
			r.log.Warn("claim not resolved", "owner", m.Owner, "err", err)
		}
	})
}

// drain waits for pending outcomes until ctx ends, but at least resolveDrainMinimum,
// and cancels the rest. record must not be called afterwards.
func (r *resolver) drain(ctx context.Context) {
	earliest := time.Now().Add(resolveDrainMinimum)
	defer context.AfterFunc(ctx, func() { time.AfterFunc(time.Until(earliest), r.cancel) })()
	r.pending.Wait()
	r.cancel()
}
