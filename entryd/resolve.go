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
	// resolveDrainTimeout bounds how long a drain waits for pending outcomes.
	resolveDrainTimeout = 5 * time.Second
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

// drain waits up to resolveDrainTimeout for pending outcomes and cancels the
// rest. record must not be called afterwards.
func (r *resolver) drain() {
	timer := time.AfterFunc(resolveDrainTimeout, r.cancel)
	defer timer.Stop()
	r.pending.Wait()
	r.cancel()
}
