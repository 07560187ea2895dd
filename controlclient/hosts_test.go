package controlclient

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/controlhosts"
	"github.com/fireflytray/fireflytray/directory"
	"github.com/fireflytray/fireflytray/internal/steadyclock/clocktest"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// listingHost is a control host that answers announcements, and lists control hosts to
// processes that watch.
type listingHost struct {
	listener *transport.Listener
	stop     context.CancelFunc

	mu    sync.Mutex
	list  *wire.Directory
	conns []*transport.Conn
}

func startListingHost(t *testing.T, a *keys.Authority, id string) *listingHost {
	t.Helper()
	identity, err := a.Identity(wire.RoleControl, id, "sv-a")
	require.NoError(t, err)
	l, err := transport.Listen("127.0.0.1:0", transport.Options{Identity: identity, Accept: []wire.Role{wire.RoleAgent}})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	h := &listingHost{listener: l, stop: stop, list: &wire.Directory{Full: true, Complete: true}}
	t.Cleanup(h.end)
	go func() {
		for {
			c, err := l.Accept(ctx)
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns = append(h.conns, c)
			h.mu.Unlock()
			go h.serve(ctx, c)
		}
	}()
	return h
}

func (h *listingHost) addr() string { return h.listener.Addr() }

// end ends the host and its connections.
func (h *listingHost) end() {
	h.stop()
	h.mu.Lock()
	for _, c := range h.conns {
		c.Close("host ends")
	}
	h.mu.Unlock()
	h.listener.Close()
}

func (h *listingHost) serve(ctx context.Context, c *transport.Conn) {
	for {
		m, _, err := c.Recv(ctx)
		if err != nil {
			return
		}
		if a, ok := m.(*wire.Announce); ok {
			h.mu.Lock()
			list := h.list
			h.mu.Unlock()
			if c.Send(&wire.Announced{Seq: a.Seq, Fresh: true}) != nil || a.Watch && c.Send(list) != nil {
				return
			}
		}
	}
}

// setList makes the host list other control hosts from its next answer on.
func (h *listingHost) setList(hosts ...*listingHost) {
	list := &wire.Directory{Full: true, Complete: true}
	for _, other := range hosts {
		list.Upserts = append(list.Upserts, wire.Member{
			Peer: wire.Peer{Role: wire.RoleControl, ID: other.addr(), Incarnation: 1, Addr: other.addr()}, Seq: 1,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = list
}

func startAgentClient(t *testing.T, a *keys.Authority, controls ...string) *Client {
	t.Helper()
	agent, err := a.Identity(wire.RoleAgent, "agent-1", "sv-a")
	require.NoError(t, err)
	c := New(Options{
		Controls: controls, Transport: transport.Options{Identity: agent}, Lease: 300 * time.Millisecond,
		Self: func() wire.Announce {
			return wire.Announce{From: wire.Peer{Role: wire.RoleAgent, ID: "agent-1", Incarnation: 1, Domain: "sv-a"}}
		},
		Log: log.New(io.Discard),
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return c
}

// connected returns the sorted addresses of the control hosts with a connection.
func (c *Client) connected() []string {
	var out []string
	for _, s := range c.allSessions() {
		if s.isConnected() {
			out = append(out, s.addr)
		}
	}
	slices.Sort(out)
	return out
}

// An agent knew the control hosts of its settings alone: once these were replaced no
// control host listed it, and entries that restarted found no agent (review case 1).
func TestAgentFollowsReplacedControlHosts(t *testing.T) {
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	hosts := []*listingHost{startListingHost(t, a, "control-0")}
	c := startAgentClient(t, a, hosts[0].addr())
	for i := range 14 {
		next := startListingHost(t, a, "control")
		last := hosts[len(hosts)-1]
		last.setList(next)
		next.setList(last)
		require.Eventually(t, func() bool { return slices.Contains(c.connected(), next.addr()) }, waitTimeout, 10*time.Millisecond, "replacement %d", i)
		last.end()
		hosts = append(hosts, next)
	}
}

// The address of a control host that was in the settings at the start may be of no use
// any more, and settings that are read again name others.
func TestChangedSettingsAreTakenUp(t *testing.T) {
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	gone, next := startListingHost(t, a, "control-0"), startListingHost(t, a, "control-1")
	gone.end()
	agent, err := a.Identity(wire.RoleAgent, "agent-1", "sv-a")
	require.NoError(t, err)
	changed := make(chan []string)
	c := New(Options{
		Controls: []string{gone.addr()}, ControlsChanged: changed, Transport: transport.Options{Identity: agent},
		Self: func() wire.Announce { return wire.Announce{From: wire.Peer{Role: wire.RoleAgent, ID: "agent-1"}} }, Log: log.New(io.Discard),
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	changed <- []string{next.addr()}
	require.Eventually(t, func() bool { return slices.Contains(c.connected(), next.addr()) }, waitTimeout, 10*time.Millisecond)
}

// Members that a lost control host had reported stayed listed at a client for ever. They
// must go once another one has listed all members for the grace, and stay while no
// control host tells.
func TestMembersOfLostControlHostAreRemoved(t *testing.T) {
	machine := clocktest.New()
	removed := map[string]bool{}
	c := New(Options{
		Controls: []string{"c1", "c2"},
		Self:     func() wire.Announce { return wire.Announce{} },
		OnDirectory: func(d wire.Directory) {
			for _, p := range d.Removed {
				removed[p.ID] = true
			}
		},
		Log: log.New(io.Discard),
	})
	c.clock = machine.NewClock()
	member := func(id string) wire.Member {
		return wire.Member{Peer: wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: 1}, Seq: 1}
	}
	c.merge("c1", &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("a"), member("b")}})
	c.merge("c2", &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("b")}})
	sessions := c.allSessions()
	c.sessionOpened(sessions[0])
	c.sessionClosed(sessions[0])
	machine.Suspend(time.Hour)
	c.removeLostMembers()
	require.Empty(t, removed, "no control host is connected")
	c.sessionOpened(sessions[1])
	c.stepHosts(controlhosts.Event{Informed: &controlhosts.Informed{Yes: true}})
	machine.Suspend(directory.LostSourceGrace - time.Second)
	c.removeLostMembers()
	require.Empty(t, removed)
	machine.Suspend(2 * time.Second)
	c.removeLostMembers()
	require.Equal(t, map[string]bool{"a": true}, removed)
}
