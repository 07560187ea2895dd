package transport

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/transport/relaytest"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	testPeerTimeout = time.Second
	// never is a time-out that does not expire during a test.
	never = time.Hour
)

// silentOptions disables keepalive and idle time-out, so that only the progress
// deadline can detect a silent connection.
func silentOptions() Options {
	return Options{PeerTimeout: testPeerTimeout, KeepAlive: never, IdleTimeout: never}
}

// When a NAT or firewall drops the state of a connection's flow, the connection
// ends with ErrSilent on the side that awaits an answer, and a new dial from a
// new port succeeds.
func TestDroppedFlowIsSilent(t *testing.T) {
	for name, trigger := range map[string]func(*Conn) error{
		"after a send":             func(c *Conn) error { return c.Send(&wire.Update{Seq: 1}) },
		"while a reply is awaited": func(c *Conn) error { c.SetAwaitingReply(true); return nil },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t, silentOptions())
			r := relaytest.New(t, p.listener.Addr())
			o := silentOptions()
			o.Identity = identity(t, p.authority, wire.RoleEntry, "entry-1")
			first, err := Dial(context.Background(), r.Addr(), wire.RoleAgent, o)
			require.NoError(t, err)
			_, err = p.listener.Accept(context.Background())
			require.NoError(t, err)
			r.DropFlows()
			require.NoError(t, trigger(first))
			<-first.Done()
			require.ErrorIs(t, first.Err(), ErrSilent)
			require.ErrorContains(t, first.Err(), "no packet for")

			second, err := Dial(context.Background(), r.Addr(), wire.RoleAgent, o)
			require.NoError(t, err)
			defer second.Close("test over")
			require.NotEqual(t, first.LocalAddr(), second.LocalAddr())
			exchange(t, p, second)
		})
	}
}

// exchange sends one message from c and receives it on the listening side.
func exchange(t *testing.T, p pair, c *Conn) {
	t.Helper()
	require.NoError(t, c.Send(&wire.Update{Seq: 42}))
	agent, err := p.listener.Accept(context.Background())
	require.NoError(t, err)
	m, _, err := agent.Recv(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(42), m.(*wire.Update).Seq)
}

// Neither an idle connection without an awaited answer nor a peer that is slow
// to receive counts as silent.
func TestSlowPeerIsNotSilent(t *testing.T) {
	p := newPair(t, silentOptions())
	entry, agent := p.connect(t, silentOptions())
	const count = 4 * recvQueueLen
	for n := range uint64(count) {
		require.NoError(t, entry.Send(&wire.Update{Seq: n}))
	}
	time.Sleep(2 * testPeerTimeout)
	require.NoError(t, entry.Err())
	for n := range uint64(count) {
		m, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.Equal(t, n, m.(*wire.Update).Seq)
	}
	time.Sleep(2 * testPeerTimeout)
	require.NoError(t, entry.Err())
	require.NoError(t, agent.Err())
}

// A dial to an address that does not answer fails with ErrSilent.
func TestDialUnansweredAddressIsSilent(t *testing.T) {
	p := newPair(t, silentOptions())
	r := relaytest.New(t, "127.0.0.1:9")
	o := silentOptions()
	o.Identity = identity(t, p.authority, wire.RoleEntry, "entry-1")
	_, err := Dial(context.Background(), r.Addr(), wire.RoleAgent, o)
	require.ErrorIs(t, err, ErrSilent)
	require.ErrorContains(t, err, "transport: dial agent "+r.Addr())
}

// The next keepalive check is due a full period after the last frame, regardless
// of when in the period the previous check ran.
func TestKeepAliveFollowsLastFrame(t *testing.T) {
	p := newPair(t, silentOptions())
	entry, agent := p.connect(t, silentOptions())
	require.NoError(t, agent.Send(&wire.Report{}))
	_, _, err := entry.Recv(context.Background())
	require.NoError(t, err)
	entry.probe.check()
	entry.probe.mu.Lock()
	defer entry.probe.mu.Unlock()
	require.Equal(t, entry.probe.lastFrameAt+never, entry.probe.nextCheck)
}

// The dialling side pings an idle connection.
func TestQuietConnectionIsPinged(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	p := newPair(t, Options{Scope: scope})
	entry, _ := p.connect(t, Options{IdleTimeout: never, KeepAlive: 10 * time.Millisecond})
	const openingPings = 1
	pings := func() int64 {
		return scope.Snapshot().Counters()["transport.received_messages+kind=ping"].Value()
	}
	require.Eventually(t, func() bool { return pings() > openingPings+2 }, time.Minute, time.Millisecond)
	require.NoError(t, entry.Err())
}
