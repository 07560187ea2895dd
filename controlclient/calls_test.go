package controlclient

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 10 * time.Second

// startControl listens as a control host that passes each claim to handle.
func startControl(t *testing.T, a *keys.Authority, id string, handle func(*transport.Conn, *wire.Claim)) (addr string) {
	t.Helper()
	identity, err := a.Identity(wire.RoleControl, id, "sv-a")
	require.NoError(t, err)
	l, err := transport.Listen("127.0.0.1:0", transport.Options{Identity: identity, Accept: []wire.Role{wire.RoleEntry}})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() {
		stop()
		l.Close()
	})
	serve := func(c *transport.Conn) {
		defer c.Close("test ends")
		for {
			m, _, err := c.Recv(ctx)
			if err != nil {
				return
			}
			if claim, ok := m.(*wire.Claim); ok {
				handle(c, claim)
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept(ctx)
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr()
}

// A claim whose control host ends before it answers must move on to the next host at
// once and not wait for an answer that can't come.
func TestClaimMovesOnWhenControlHostEnds(t *testing.T) {
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	identity, err := a.Identity(wire.RoleEntry, "entry-1", "sv-a")
	require.NoError(t, err)
	ending := startControl(t, a, "control-1", func(c *transport.Conn, _ *wire.Claim) { c.Close("session ended") })
	other := startControl(t, a, "control-2", func(c *transport.Conn, m *wire.Claim) {
		_ = c.Send(&wire.ClaimReply{Request: m.Request, State: wire.ClaimGranted})
	})
	c := New(Options{
		Controls:  []string{ending, other},
		Transport: transport.Options{Identity: identity},
		Self:      func() wire.Announce { return wire.Announce{} },
		Log:       log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	for _, s := range c.allSessions() {
		require.Eventually(t, func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.conn != nil
		}, waitTimeout, time.Millisecond)
	}
	// Below callTimeout, after which a call moves on in any case.
	claimCtx, cancelClaim := context.WithTimeout(ctx, callTimeout/2)
	defer cancelClaim()
	reply, err := c.Claim(claimCtx, wire.Claim{Request: 7, Team: "team-a", Key: "key"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimReply{Request: 7, State: wire.ClaimGranted}, reply)
}

// An answer that arrived just before its control host ended still counts.
func TestAnswerBeforeEndOfControlHostCounts(t *testing.T) {
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	identity, err := a.Identity(wire.RoleEntry, "entry-1", "sv-a")
	require.NoError(t, err)
	addr := startControl(t, a, "control-1", func(c *transport.Conn, m *wire.Claim) {
		_ = c.Send(&wire.ClaimReply{Request: m.Request, State: wire.ClaimGranted})
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_ = c.Shutdown(ctx)
	})
	c := New(Options{
		Controls:  []string{addr},
		Transport: transport.Options{Identity: identity},
		Self:      func() wire.Announce { return wire.Announce{} },
		Log:       log.New(io.Discard),
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	s := c.allSessions()[0]
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.conn != nil
	}, waitTimeout, time.Millisecond)
	reply, sent := c.try(ctx, s, func(id uint64) wire.Message { return &wire.Claim{Request: id, Team: "team-a", Key: "key"} })
	require.True(t, sent)
	require.NotNil(t, reply)
	require.Equal(t, wire.ClaimGranted, reply.State)
}
