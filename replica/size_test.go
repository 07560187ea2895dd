package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The messages that wait for a replica whose loop is busy are bounded in bytes: their
// number alone allows gigabytes. One message is always taken.
func TestQueuedMessagesAreBoundedInBytes(t *testing.T) {
	r := &Replica{events: make(chan event, eventQueueSize)}
	large := make([]byte, maxQueuedBytes+1)
	r.Receive(large)
	require.Len(t, r.events, 1, "a message of any size is queued alone")
	r.Receive([]byte{1})
	require.Len(t, r.events, 1)
	require.Equal(t, uint64(1), r.dropped.Load())

	l := &loop{r: r, opt: &Options{Log: func(string, ...any) {}}}
	l.handle(<-r.events)
	require.Zero(t, r.queuedBytes.Load())
	part := make([]byte, 1<<20)
	for range 2 * maxQueuedBytes / len(part) {
		r.Receive(part)
	}
	require.Len(t, r.events, maxQueuedBytes/len(part))
	require.EqualValues(t, maxQueuedBytes, r.queuedBytes.Load())
	require.Equal(t, uint64(1+maxQueuedBytes/len(part)), r.dropped.Load())
}

// Messages that the full queue of events refuses don't count as waiting.
func TestRefusedMessagesAreNotCountedAsQueued(t *testing.T) {
	r := &Replica{events: make(chan event, 1)}
	for range 3 {
		r.Receive([]byte{1, 2, 3})
	}
	require.EqualValues(t, 3, r.queuedBytes.Load())
	require.Equal(t, uint64(2), r.dropped.Load())
}

// shrinkingMachine reports once that its state has shrunk.
type shrinkingMachine struct {
	listMachine
	due atomic.Bool
}

func (m *shrinkingMachine) SnapshotDue() bool { return m.due.Swap(false) }

// A state that has shrunk is stored soon: the snapshot of the larger one would otherwise
// stay in memory and on the disk until enough else is written.
func TestShrunkStateIsStoredSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		m := &shrinkingMachine{}
		h := n.start(t, 1, func(o *Options) {
			withBootstrap(1)(o)
			o.StateMachine = m
		})
		waitForLeader(t, h)
		propose := func(command string) {
			t.Helper()
			_, _, err := h.replica.Propose(callContext(t), []byte(command))
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		propose("one")
		require.Zero(t, h.replica.Status().SnapshotBytes)
		m.due.Store(true)
		propose("two")
		require.NotZero(t, h.replica.Status().SnapshotBytes)
	})
}

// The commands between two snapshots are bounded in bytes; for a large state the bound
// grows with it, so that the work of writing it again stays in proportion.
func TestLogBetweenSnapshotsIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			limit = 1 << 10
			size  = 100
		)
		n := newNetwork(t)
		h := n.start(t, 1, func(o *Options) {
			withBootstrap(1)(o)
			o.SnapshotBytes = limit
		})
		waitForLeader(t, h)
		for i := range 200 {
			_, _, err := h.replica.Propose(context.Background(), fmt.Appendf(nil, "%0*d", size, i))
			require.NoError(t, err)
			time.Sleep(time.Second)
			s := h.replica.Status()
			require.LessOrEqual(t, s.LogBytes, max(limit, s.SnapshotBytes/logShare)+size)
		}
		require.Greater(t, h.replica.Status().SnapshotBytes, 5*limit)
	})
}
