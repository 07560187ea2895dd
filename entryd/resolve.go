package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// resolveTimeout bounds the attempts to record one outcome. It outlasts an
	// outage of all control hosts: a key without an outcome keeps its caller
	// from learning what became of the request, and from running one that was
	// not run.
	resolveTimeout = time.Hour
	// maxPendingResolves bounds the outcomes that are being recorded.
	maxPendingResolves = 10_000
	// resolveDrainTimeout is how long a drain waits for them.
	resolveDrainTimeout = 5 * time.Second
)

// resolver records the outcomes of granted claims at control.
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

// record records an outcome in the background. The key stays held if it can't.
func (r *resolver) record(m wire.Resolve) {
	select {
	case r.semaphore <- struct{}{}:
	default:
		r.log.Error("claim not resolved, too many others are being resolved", "owner", m.Owner)
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

// drain waits for the outcomes that are being recorded, and gives up the rest.
// Nothing may be recorded after it.
func (r *resolver) drain() {
	timer := time.AfterFunc(resolveDrainTimeout, r.cancel)
	defer timer.Stop()
	r.pending.Wait()
	r.cancel()
}
