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
	testSilence = time.Second
	// never is a time-out that no test waits for.
	never = time.Hour
)

// silentOptions leave only the progress deadline to find a silent connection.
func silentOptions() Options {
	return Options{Silence: testSilence, KeepAlive: never, IdleTimeout: never}
}

// A connection whose flow a middlebox has forgotten ends as silent on the side
// that awaits something, and a new dial from a new port works.
func TestDroppedFlowIsSilent(t *testing.T) {
	for name, act := range map[string]func(*Conn) error{
		"after a send":   func(c *Conn) error { return c.Send(&wire.Update{Seq: 1}) },
		"while expected": func(c *Conn) error { c.SetAwaitingReply(true); return nil },
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
			require.NoError(t, act(first))
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

// exchange passes one message from c to the listening side.
func exchange(t *testing.T, p pair, c *Conn) {
	t.Helper()
	require.NoError(t, c.Send(&wire.Update{Seq: 42}))
	agent, err := p.listener.Accept(context.Background())
	require.NoError(t, err)
	m, _, err := agent.Recv(context.Background())
	require.NoError(t, err)
	require.Equal(t, uint64(42), m.(*wire.Update).Seq)
}

// A quiet connection from which nothing is expected, and a peer that is slow
// to receive, are not silent.
func TestSlowPeerIsNotSilent(t *testing.T) {
	p := newPair(t, silentOptions())
	entry, agent := p.connect(t, silentOptions())
	const count = 4 * recvQueueLen
	for n := range uint64(count) {
		require.NoError(t, entry.Send(&wire.Update{Seq: n}))
	}
	time.Sleep(2 * testSilence)
	require.NoError(t, entry.Err())
	for n := range uint64(count) {
		m, _, err := agent.Recv(context.Background())
		require.NoError(t, err)
		require.Equal(t, n, m.(*wire.Update).Seq)
	}
	time.Sleep(2 * testSilence)
	require.NoError(t, entry.Err())
	require.NoError(t, agent.Err())
}

// A port at which nobody answers is a silent one.
func TestDialUnansweredAddressIsSilent(t *testing.T) {
	p := newPair(t, silentOptions())
	r := relaytest.New(t, "127.0.0.1:9")
	o := silentOptions()
	o.Identity = identity(t, p.authority, wire.RoleEntry, "entry-1")
	_, err := Dial(context.Background(), r.Addr(), wire.RoleAgent, o)
	require.ErrorIs(t, err, ErrSilent)
	require.ErrorContains(t, err, "transport: dial agent "+r.Addr())
}

// A quiet connection is kept alive a full period after the last frame, however
// late in the period the check before it ran.
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

// The dialling side pings a connection that stays quiet.
func TestQuietConnectionIsPinged(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	p := newPair(t, Options{Scope: scope})
	entry, _ := p.connect(t, Options{IdleTimeout: never, KeepAlive: 10 * time.Millisecond})
	const opening = 1
	pings := func() int64 {
		return scope.Snapshot().Counters()["transport.received_messages+kind=ping"].Value()
	}
	require.Eventually(t, func() bool { return pings() > opening+2 }, time.Minute, time.Millisecond)
	require.NoError(t, entry.Err())
}
