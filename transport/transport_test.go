package transport

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// pair holds an authority and a listening agent.
type pair struct {
	authority *keys.Authority
	listener  *Listener
}

func newPair(t testing.TB, o Options) pair {
	t.Helper()
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	o.Identity = identity(t, a, wire.RoleAgent, "agent-1")
	o.Accept = []wire.Role{wire.RoleEntry}
	l, err := Listen("127.0.0.1:0", o)
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	return pair{a, l}
}

func identity(t testing.TB, a *keys.Authority, r wire.Role, id string) *keys.Identity {
	t.Helper()
	i, err := a.Identity(r, id, "regina")
	require.NoError(t, err)
	return i
}

func (p pair) connect(t testing.TB, o Options) (entry, agent *Conn) {
	t.Helper()
	ctx := context.Background()
	o.Identity = identity(t, p.authority, wire.RoleEntry, "entry-1")
	entry, err := Dial(ctx, p.listener.Addr(), wire.RoleAgent, o)
	require.NoError(t, err)
	t.Cleanup(func() { entry.Close("test over") })
	agent, err = p.listener.Accept(ctx)
	require.NoError(t, err)
	return entry, agent
}

// Messages arrive whole and in order, with the sender's stamp, and each end
// knows the other by its certificate.
func TestMessagesBothWays(t *testing.T) {
	p := newPair(t, Options{})
	entry, agent := p.connect(t, Options{Stamp: func() wire.Stamp { return wire.Stamp{Index: 7, Digest: 9} }})
	require.Equal(t, keys.Name{Role: wire.RoleAgent, ID: "agent-1", Domain: "regina"}, entry.Peer().Name)
	require.Equal(t, keys.Name{Role: wire.RoleEntry, ID: "entry-1", Domain: "regina"}, agent.Peer().Name)
	const count = 1000
	for n := range uint64(count) {
		require.NoError(t, entry.Send(&wire.Update{Seq: n + 1}))
	}
	for n := range uint64(count) {
		m, stamp, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.Equal(t, wire.Stamp{Index: 7, Digest: 9}, stamp)
		require.Equal(t, n+1, m.(*wire.Update).Seq)
	}
	require.NoError(t, agent.Send(&wire.Report{Seq: 1}))
	m, _, err := entry.Recv(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(1), m.(*wire.Report).Seq)
	agent.Close("drained")
	_, _, err = entry.Recv(context.Background())
	require.ErrorIs(t, err, ErrClosed)
	require.ErrorContains(t, err, "drained")
	require.ErrorContains(t, err, "agent agent-1")
	require.ErrorIs(t, entry.Send(&wire.Update{}), ErrClosed)
}

// Shutdown delivers what was queued before it ends the connection.
func TestShutdownDelivers(t *testing.T) {
	p := newPair(t, Options{})
	entry, agent := p.connect(t, Options{})
	const count = 500
	for n := range uint64(count) {
		require.NoError(t, entry.Send(&wire.Update{Seq: n}))
	}
	ended := make(chan error, 1)
	go func() { ended <- entry.Shutdown(context.Background()) }()
	for n := range uint64(count) {
		m, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.Equal(t, n, m.(*wire.Update).Seq)
	}
	require.NoError(t, <-ended)
	_, _, err := agent.Recv(context.Background())
	require.ErrorIs(t, err, ErrClosed)
	require.ErrorIs(t, entry.Send(&wire.Update{}), ErrClosed)
}

// A frame above the limit, and one that finds the queue full, are refused with
// the peer in the error and change nothing.
func TestSendLimits(t *testing.T) {
	p := newPair(t, Options{})
	entry, agent := p.connect(t, Options{MaxFrame: 2000, SendQueue: 1000})
	err := entry.Send(&wire.Raft{Body: make([]byte, 2000)})
	require.ErrorIs(t, err, ErrFrameSize)
	require.ErrorContains(t, err, "agent agent-1 "+p.listener.Addr())

	entry.mu.Lock()
	entry.pending, err = appendFrame(entry.pending, &wire.Update{Seq: 1}, wire.Stamp{}, 2000)
	require.NoError(t, err)
	_, err = entry.appendLocked(&wire.Raft{Body: make([]byte, 990)}, wire.Stamp{})
	entry.mu.Unlock()
	require.ErrorIs(t, err, ErrQueueFull)
	require.NoError(t, entry.Send(&wire.Update{Seq: 2}))
	for n := range uint64(2) {
		m, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.Equal(t, n+1, m.(*wire.Update).Seq)
	}
}

// A peer that sends a frame above the limit is cut off, and the others go on.
func TestOversizedFrameEndsConnection(t *testing.T) {
	p := newPair(t, Options{MaxFrame: 1000})
	entry, agent := p.connect(t, Options{MaxFrame: 1 << 20})
	require.NoError(t, entry.Send(&wire.Raft{Body: make([]byte, 1000)}))
	_, _, err := agent.Recv(context.Background())
	require.ErrorIs(t, err, ErrFrameSize)
	require.ErrorContains(t, err, "entry entry-1")
	<-entry.Done()
	require.ErrorContains(t, entry.Err(), "closed by peer")
	again, agent := p.connect(t, Options{})
	require.NoError(t, again.Send(&wire.Update{Seq: 1}))
	_, _, err = agent.Recv(context.Background())
	require.NoError(t, err)
}

// The first stamp and each change of it are told, and nothing in between.
func TestStampChangesAreReported(t *testing.T) {
	seen := make(chan wire.Stamp, 16)
	p := newPair(t, Options{OnStamp: func(peer Peer, s wire.Stamp) { seen <- s }})
	var index atomic.Uint64
	index.Store(1)
	entry, agent := p.connect(t, Options{Stamp: func() wire.Stamp { return wire.Stamp{Index: index.Load(), Digest: 10} }})
	for _, n := range []uint64{1, 1, 2, 2} {
		index.Store(n)
		require.NoError(t, entry.Send(&wire.Update{}))
		_, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
	}
	require.Len(t, seen, 2)
	require.Equal(t, wire.Stamp{Index: 1, Digest: 10}, <-seen)
	require.Equal(t, wire.Stamp{Index: 2, Digest: 10}, <-seen)
}
