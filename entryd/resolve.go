package entryd

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// resolveWithin bounds the attempts to record one outcome. It outlasts an
	// outage of all control hosts: a key without an outcome keeps its caller
	// from learning what became of the request, and from running one that was
	// not run.
	resolveWithin = time.Hour
	// maxResolves bounds the outcomes that are being recorded.
	maxResolves = 10_000
	// resolveGrace is how long a drain waits for them.
	resolveGrace = 5 * time.Second
)

// resolver records the outcomes of granted claims at control.
type resolver struct {
	control Control
	log     *log.Logger
	slots   chan struct{}
	pending sync.WaitGroup
	life    context.Context
	end     context.CancelFunc
}

func newResolver(control Control, log *log.Logger) *resolver {
	r := &resolver{control: control, log: log, slots: make(chan struct{}, maxResolves)}
	r.life, r.end = context.WithCancel(context.Background())
	return r
}

// record records an outcome in the background. The key stays held if it can't.
func (r *resolver) record(m wire.Resolve) {
	select {
	case r.slots <- struct{}{}:
	default:
		r.log.Error("claim not resolved, too many others are being resolved", "owner", m.Owner)
		return
	}
	r.pending.Go(func() {
		defer func() { <-r.slots }()
		ctx, cancel := context.WithTimeout(r.life, resolveWithin)
		defer cancel()
		if err := r.control.Resolve(ctx, m); err != nil {
			r.log.Warn("claim not resolved", "owner", m.Owner, "err", err)
		}
	})
}

// drain waits for the outcomes that are being recorded, and gives up the rest.
// Nothing may be recorded after it.
func (r *resolver) drain() {
	timer := time.AfterFunc(resolveGrace, r.end)
	defer timer.Stop()
	r.pending.Wait()
	r.end()
}
