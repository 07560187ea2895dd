package controld

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/controlclient"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

// waitTimeout bounds how long a test waits for a condition. It is generous because
// no test measures time.
const waitTimeout = 30 * time.Second

var discardLogger = log.New(io.Discard)

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	a, err := keys.NewAuthority()
	require.NoError(t, err)
	return a
}

func identity(t *testing.T, a *keys.Authority, role wire.Role, id string) *keys.Identity {
	t.Helper()
	i, err := a.Identity(role, id, "sv-a")
	require.NoError(t, err)
	return i
}

// testHost is a running control host that a test can stop.
type testHost struct {
	*Host
	stop context.CancelFunc
	done chan error
}

func startTestHost(t *testing.T, o Options) *testHost {
	t.Helper()
	o.Log = discardLogger
	var h *Host
	// The socket of a stopped host is freed with a short delay, after its
	// connections have sent their close frames.
	eventually(t, "the address is free", func() (ok bool) {
		var err error
		h, err = New(o)
		if !errors.Is(err, syscall.EADDRINUSE) {
			require.NoError(t, err)
		}
		return err == nil
	})
	ctx, stop := context.WithCancel(context.Background())
	r := &testHost{h, stop, make(chan error, 1)}
	go func() { r.done <- h.Run(ctx) }()
	t.Cleanup(r.shutDown)
	return r
}

func (r *testHost) shutDown() {
	r.stop()
	err := <-r.done
	r.done <- err
}

func startHost(t *testing.T, a *keys.Authority, id, addr string) *testHost {
	return startTestHost(t, Options{
		Self:     wire.Peer{Role: wire.RoleControl, ID: id, Incarnation: uint64(time.Now().UnixNano()), Domain: "sv-a", Addr: addr},
		Identity: identity(t, a, wire.RoleControl, id),
		Listen:   addr,
	})
}

// testProcess is an entry or agent with a client. It records the configurations
// and directory changes that it receives.
type testProcess struct {
	*controlclient.Client
	stop context.CancelFunc

	mu      sync.Mutex
	indices []uint64
	configs []*fleet.Config
	members map[string]wire.Member
	removed int
}

// removals returns how many removals from the directory were received.
func (p *testProcess) removals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.removed
}

func startProcess(t *testing.T, a *keys.Authority, role wire.Role, id string, controls ...string) *testProcess {
	t.Helper()
	return startProcessIn(t, a, "sv-a", role, id, controls...)
}

// startProcessIn starts a process in a failure domain.
func startProcessIn(t *testing.T, a *keys.Authority, domain string, role wire.Role, id string, controls ...string) *testProcess {
	t.Helper()
	p := &testProcess{members: map[string]wire.Member{}}
	self := wire.Announce{
		From:  wire.Peer{Role: role, ID: id, Incarnation: uint64(time.Now().UnixNano()), Domain: domain, Addr: "127.0.0.1:1"},
		Watch: role == wire.RoleEntry,
	}
	own, err := a.Identity(role, id, domain)
	require.NoError(t, err)
	p.Client = controlclient.New(controlclient.Options{
		Controls: controls, Transport: transport.Options{Identity: own},
		Self: func() wire.Announce { return self }, Site: "sv-a",
		OnConfig: p.config, OnDirectory: p.directory, Log: discardLogger,
	})
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() { stop(); <-done })
	return p
}

func (p *testProcess) config(c *fleet.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.indices = append(p.indices, c.Index)
	p.configs = append(p.configs, c)
}

func (p *testProcess) directory(d wire.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range d.Upserts {
		p.members[m.Peer.ID] = m
	}
	for _, peer := range d.Removed {
		p.removed++
		delete(p.members, peer.ID)
	}
}

func (p *testProcess) hasMember(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.members[id]
	return ok
}

// index returns the index of the last configuration received, or zero.
func (p *testProcess) index() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.indices) == 0 {
		return 0
	}
	return p.indices[len(p.indices)-1]
}

// received returns the indices and configurations received so far.
func (p *testProcess) received() ([]uint64, []*fleet.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.indices), slices.Clone(p.configs)
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	require.Eventually(t, cond, waitTimeout, 5*time.Millisecond, what)
}

func sections(maxTasks int) []wire.ConfigSection {
	return []wire.ConfigSection{
		{Name: "service alert-core", Keys: []wire.ConfigPair{{Key: "max-tasks", Value: fmt.Sprint(maxTasks)}}},
		{Name: "team night-nurses"},
	}
}

func apply(t *testing.T, h *Host, op string, base uint64, maxTasks int) *control.ChangeReply {
	t.Helper()
	reply, err := h.propose(context.Background(), &control.Command{Apply: &control.Apply{Op: op, Base: base, Sections: sections(maxTasks)}})
	require.NoError(t, err)
	require.NotNil(t, reply.Change)
	return reply.Change
}

// One control host, an agent and an entry communicate over real sockets. The entry
// must see the agent join and leave, and both must receive each configuration.
func TestSingleHostServesDirectoryAndConfig(t *testing.T) {
	a := newAuthority(t)
	h := startHost(t, a, "control-1", "127.0.0.1:0")
	entry := startProcess(t, a, wire.RoleEntry, "entry-1", h.Addr())
	agent := startProcess(t, a, wire.RoleAgent, "agent-1", h.Addr())
	eventually(t, "the entry sees the agent", func() bool { return entry.hasMember("agent-1") })
	eventually(t, "quorum", func() bool { return h.fresh.Load() })

	var base uint64
	for n := 1; n <= 5; n++ {
		reply := apply(t, h.Host, fmt.Sprint("op-", n), base, n)
		require.True(t, reply.Accepted, reply.Detail)
		base = reply.Index
		eventually(t, "in force", func() bool { return entry.index() == base && agent.index() == base })
		require.Equal(t, reply.Digest, entry.Stamp().Digest)
	}
	indices, configs := entry.received()
	require.Equal(t, uint32(5), configs[len(configs)-1].Services["alert-core"].MaxTasks)
	require.IsIncreasing(t, indices)

	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	agent.Leave(ctx)
	eventually(t, "the entry sees the agent leave", func() bool { return !entry.hasMember("agent-1") })
}

// Two submissions use the same idempotency key. The first claim is granted; the
// second is pending and, once the first is resolved, returns its outcome.
func TestClaimedKeyReturnsFirstOutcome(t *testing.T) {
	a := newAuthority(t)
	h := startHost(t, a, "control-1", "127.0.0.1:0")
	eventually(t, "quorum", func() bool { return h.fresh.Load() })
	apply(t, h.Host, "op", 0, 1)
	one := startProcess(t, a, wire.RoleEntry, "entry-1", h.Addr())
	two := startProcess(t, a, wire.RoleEntry, "entry-2", h.Addr())
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	claim := wire.Claim{Request: 7, Team: "night-nurses", Service: "alert-core", Key: "k", BodyDigest: 1, Owner: task.NewSubmissionID(1, 1), Keep: time.Hour}
	reply, err := one.Claim(ctx, claim)
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
	require.Equal(t, uint64(7), reply.Request)

	other := claim
	other.Owner = task.NewSubmissionID(2, 1)
	reply, err = two.Claim(ctx, other)
	require.NoError(t, err)
	require.Equal(t, wire.ClaimPending, reply.State)

	done := task.Outcome{State: task.Complete, Body: []byte("dispatched")}
	require.NoError(t, one.Resolve(ctx, wire.Resolve{Team: claim.Team, Service: claim.Service, Key: claim.Key, Owner: claim.Owner, Outcome: done}))
	reply, err = two.Claim(ctx, other)
	require.NoError(t, err)
	require.Equal(t, wire.ClaimDone, reply.State)
	require.Equal(t, &done, reply.Outcome)
}

// A process must not announce another identity or send messages that its role does
// not permit. The control host closes the connection and ignores the message.
func TestDisallowedMessagesCloseSession(t *testing.T) {
	a := newAuthority(t)
	h := startHost(t, a, "control-1", "127.0.0.1:0")
	peer := func(role wire.Role, id, domain string) wire.Peer {
		return wire.Peer{Role: role, ID: id, Incarnation: 1, Domain: domain}
	}
	tests := map[string]wire.Message{
		"another id":     &wire.Announce{From: peer(wire.RoleAgent, "agent-2", "sv-a"), Seq: 1, Lease: time.Second},
		"another role":   &wire.Announce{From: peer(wire.RoleEntry, "agent-1", "sv-a"), Seq: 1, Lease: time.Second},
		"another domain": &wire.Announce{From: peer(wire.RoleAgent, "agent-1", "sv-b"), Seq: 1, Lease: time.Second},
		"claim":          &wire.Claim{Team: "night-nurses", Key: "k"},
		"resolve":        &wire.Resolve{Team: "night-nurses", Key: "k"},
		"propose":        &wire.Propose{Command: []byte{1}},
		"raft":           &wire.Raft{Body: []byte{1}},
		"config push":    &wire.ConfigPush{Index: 9},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			conn, err := transport.Dial(ctx, h.Addr(), wire.RoleControl, transport.Options{Identity: identity(t, a, wire.RoleAgent, "agent-1")})
			require.NoError(t, err)
			require.NoError(t, conn.Send(m))
			_, _, err = conn.Recv(ctx)
			require.ErrorIs(t, err, transport.ErrClosed)
		})
	}
	members, err := h.liveProcesses(context.Background())
	require.NoError(t, err)
	require.Len(t, members, 1, "the control host itself")
	require.Zero(t, h.machine.Index())
}
