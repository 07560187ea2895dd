package entryd

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// slowControl takes some time to record an outcome.
type slowControl struct {
	Control
	takes    time.Duration
	recorded atomic.Bool
}

// Resolve implements Control.
func (c *slowControl) Resolve(ctx context.Context, _ wire.Resolve) error {
	select {
	case <-time.After(c.takes):
		c.recorded.Store(true)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// A drain must neither give up outcomes while it has time left, nor take long beyond it.
func TestDrainWaitsForOutcomesWhileTimeIsLeft(t *testing.T) {
	for name, c := range map[string]struct {
		takes, left, waits time.Duration
		recorded           bool
	}{
		"time left":               {takes: 20 * time.Second, left: 30 * time.Second, waits: 20 * time.Second, recorded: true},
		"out of time meanwhile":   {takes: 40 * time.Second, left: 30 * time.Second, waits: 30 * time.Second},
		"out of time, then soon":  {takes: resolveDrainMinimum / 2, waits: resolveDrainMinimum / 2, recorded: true},
		"out of time, then never": {takes: time.Hour, waits: resolveDrainMinimum},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				control := &slowControl{takes: c.takes}
				r := newResolver(control, log.New(io.Discard))
				r.record(wire.Resolve{})
				ctx, cancel := context.WithTimeout(t.Context(), c.left)
				defer cancel()
				start := time.Now()
				r.drain(ctx)
				require.Equal(t, c.waits, time.Since(start))
				require.Equal(t, c.recorded, control.recorded.Load())
			})
		})
	}
}
