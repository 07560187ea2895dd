package controlclient

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// startClient runs a client without control hosts until the test ends, and returns it
// with the indices that come into force.
func startClient(t *testing.T) (*Client, func() []uint64) {
	var mu sync.Mutex
	var indices []uint64
	c := New(Options{
		Self: func() wire.Announce { return wire.Announce{} },
		OnConfig: func(conf *fleet.Config) {
			mu.Lock()
			defer mu.Unlock()
			indices = append(indices, conf.Index)
		},
		Log: discardLogger,
	})
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() { _ = c.Run(ctx) }()
	return c, func() []uint64 {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(indices)
	}
}

// An entry starts while all control hosts are down. When they return, the first one
// that it reaches has not yet learnt that its last entry was accepted. The entry must
// wait for the quorum, which forms a moment later.
func TestControlHostThatReturnsFirstDoesNotSetOldConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		docs := testDocuments(t, 3)
		c, indices := startClient(t)
		time.Sleep(10 * freshConfigWait)
		newSession(c, "c1").push(pushOf(docs, 1, 0, false))
		require.Empty(t, indices())
		time.Sleep(freshConfigWait / 2)
		newSession(c, "c2").push(pushOf(docs, 2, 0, true))
		require.Equal(t, []uint64{indexOf(2)}, indices())
	})
}

// Without a quorum anywhere, an entry serves by what the control hosts offer.
func TestOfferIsTakenWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		docs := testDocuments(t, 3)
		c, indices := startClient(t)
		newSession(c, "c1").push(pushOf(docs, 1, 0, false))
		time.Sleep(freshConfigWait - time.Millisecond)
		require.Empty(t, indices())
		time.Sleep(time.Millisecond)
		require.Equal(t, []uint64{indexOf(1)}, indices())
	})
}
