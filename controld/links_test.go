package controld

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// A proposal whose leader ends before it answers must return at once, so that it is
// retried at the next leader while the operator still waits.
func TestProposalReturnsWhenLeaderEnds(t *testing.T) {
	a := newAuthority(t)
	l, err := transport.Listen("127.0.0.1:0", transport.Options{
		Identity: identity(t, a, wire.RoleControl, "control-2"), Accept: []wire.Role{wire.RoleControl},
	})
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for {
			c, err := l.Accept(ctx)
			if err != nil {
				return
			}
			go func() {
				for {
					m, _, err := c.Recv(ctx)
					if err != nil {
						return
					}
					if _, ok := m.(*wire.Propose); ok {
						c.Close("session ended")
					}
				}
			}()
		}
	}()
	h := startTestHost(t, Options{
		Self:     wire.Peer{Role: wire.RoleControl, ID: "control-1", Incarnation: 1, Domain: "sv-a"},
		Identity: identity(t, a, wire.RoleControl, "control-1"),
		Listen:   "127.0.0.1:0",
		Peers:    []string{l.Addr()},
	})
	eventually(t, "a link to the leader", func() bool { return h.links.send(l.Addr(), &wire.Ping{}) == nil })
	// Below leaderTimeout, after which a proposal returns in any case.
	proposeCtx, cancel := context.WithTimeout(ctx, leaderTimeout/2)
	defer cancel()
	_, err = h.links.propose(proposeCtx, l.Addr(), &wire.Propose{})
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.NotErrorIs(t, err, context.DeadlineExceeded)
}

// After a loss of all power control hosts start one after the other. A dial that began
// before the other host listened must end when that host dials this one, also during
// the wait between dials; a connection that is open must not.
func TestLinkIsDialledAgainWhenPeerAppears(t *testing.T) {
	const addr = "10.0.0.2:7720"
	l := &link{addr: addr}
	links := &links{byAddr: map[string]*link{addr: l}}
	links.appeared(addr)
	links.appeared("10.0.0.3:7720")
	wait, cancel := l.waitContext(context.Background())
	defer cancel()
	l.setConn(&transport.Conn{}, make(chan struct{}))
	links.appeared(addr)
	require.NoError(t, wait.Err())
	l.setConn(nil, nil)
	links.appeared(addr)
	require.Error(t, wait.Err())
	next, cancelNext := l.waitContext(context.Background())
	defer cancelNext()
	require.NoError(t, next.Err())
	s := &session{}
	require.True(t, s.firstAnnouncement())
	require.False(t, s.firstAnnouncement(), "renewals must not end dials")
}
