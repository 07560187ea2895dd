package replica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

// callTimeout is measured by the virtual clock of a synctest bubble.
const callTimeout = 10 * time.Second

// listMachine is a state machine that appends commands to a list.
type listMachine struct {
	mu      sync.Mutex
	items   []string
	applied int
}

// applyCount returns how many commands were applied individually and not as part
// of a snapshot.
func (m *listMachine) applyCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applied
}

func (m *listMachine) Apply(index uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied++
	m.items = append(m.items, string(command))
	return binary.BigEndian.AppendUint64(nil, uint64(len(m.items)))
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b []byte
	for _, s := range m.items {
		b = binary.BigEndian.AppendUint32(b, uint32(len(s)))
		b = append(b, s...)
	}
	return b, nil
}

func (m *listMachine) Restore(_ uint64, b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = nil
	for len(b) > 0 {
		n := binary.BigEndian.Uint32(b)
		m.items = append(m.items, string(b[4:4+n]))
		b = b[4+n:]
	}
	return nil
}

func (m *listMachine) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.items...)
}

// network delivers messages between replicas by address, except to and from
// isolated hosts.
type network struct {
	mu       sync.Mutex
	hosts    map[string]*host
	isolated map[string]bool
	rng      *rand.Rand
}

type host struct {
	net     *network
	addr    string
	fs      *waltest.FS
	state   *listMachine
	replica *Replica
}

func (n *network) reachable(addr string) *Replica {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[addr]
	if h == nil || n.isolated[addr] {
		return nil
	}
	return h.replica
}

func (n *network) setIsolated(addr string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[addr] = isolated
}

// Send implements Transport.
func (h *host) Send(_ uint64, addr string, body []byte) {
	if h.net.reachable(h.addr) == nil {
		return
	}
	if r := h.net.reachable(addr); r != nil {
		r.Receive(body)
	}
}

func newNetwork(t *testing.T) *network {
	n := newNetworkWithoutCleanup()
	t.Cleanup(func() { n.stopAll(t) })
	return n
}

func newNetworkWithoutCleanup() *network {
	return &network{
		hosts: map[string]*host{}, isolated: map[string]bool{},
		rng: rand.New(rand.NewPCG(1, 5)),
	}
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i) }

// start opens a replica with an empty data folder at an address.
func (n *network) start(t *testing.T, i int, configure func(*Options)) *host {
	h := &host{net: n, addr: addr(i), fs: waltest.New(uint64(i))}
	h.open(t, configure)
	return h
}

func (h *host) open(t *testing.T, configure func(*Options)) {
	h.state = &listMachine{}
	opt := Options{
		Dir: "/data", Addr: h.addr, FS: h.fs, Seed: h.net.rng.Uint64() | 1,
		Transport: h, StateMachine: h.state, newID: h.net.rng.Uint64,
		Log: func(msg string, kv ...any) { t.Log(h.addr, msg, kv) },
	}
	if configure != nil {
		configure(&opt)
	}
	r, err := Open(opt)
	require.NoError(t, err)
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.replica = r
	h.net.hosts[h.addr] = h
}

func withBootstrap(hosts ...int) func(*Options) {
	return func(o *Options) {
		for _, i := range hosts {
			o.Bootstrap = append(o.Bootstrap, Member{Addr: addr(i)})
		}
	}
}

func withJoin(o *Options) { o.Join = true }

func (n *network) stopAll(t *testing.T) {
	for _, h := range n.hosts {
		stopped, cancel := context.WithCancel(context.Background())
		cancel()
		h.replica.Stop(stopped)
	}
}

func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	t.Cleanup(cancel)
	return ctx
}

// waitForLeader waits until one of the hosts leads and reports a fresh lease.
func waitForLeader(t *testing.T, hosts ...*host) *host {
	for range 200 {
		for _, h := range hosts {
			if s := h.replica.Status(); s.Role == raft.Leader && s.Fresh {
				return h
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "no leader within 10 s of virtual time")
	return nil
}

func startThree(t *testing.T, n *network) []*host {
	var hosts []*host
	for i := 1; i <= 3; i++ {
		hosts = append(hosts, n.start(t, i, withBootstrap(1, 2, 3)))
	}
	return hosts
}

func TestSingleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		h := n.start(t, 1, withBootstrap(1))
		waitForLeader(t, h)
		for i := range 10 {
			res, index, err := h.replica.Propose(callContext(t), fmt.Appendf(nil, "%d", i))
			require.NoError(t, err)
			require.Equal(t, uint64(i+1), binary.BigEndian.Uint64(res))
			read, err := h.replica.Barrier(callContext(t))
			require.NoError(t, err)
			require.GreaterOrEqual(t, read, index)
		}
		require.NoError(t, h.replica.Stop(callContext(t)))
		_, _, err := h.replica.Propose(callContext(t), []byte("late"))
		require.ErrorIs(t, err, ErrStopped)

		h.open(t, withBootstrap(1))
		waitForLeader(t, h)
		_, err = h.replica.Barrier(callContext(t))
		require.NoError(t, err)
		require.Len(t, h.state.commands(), 10)
	})
}

func TestThreeReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		for i := range 20 {
			_, _, err := l.replica.Propose(callContext(t), fmt.Appendf(nil, "%d", i))
			require.NoError(t, err)
		}
		for _, h := range hosts {
			_, err := h.replica.Barrier(callContext(t))
			require.NoError(t, err)
			require.Len(t, h.state.commands(), 20)
			require.True(t, h.replica.Status().Fresh)
			if h != l {
				_, _, err := h.replica.Propose(callContext(t), nil)
				var notLeader NotLeaderError
				require.ErrorAs(t, err, &notLeader)
				require.Equal(t, l.addr, notLeader.LeaderAddr)
			}
		}
	})
}
