package transport

import (
	"context"
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
	a, err := keys.Ephemeral()
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
