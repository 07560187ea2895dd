package replica

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// bootstrapSim is three first hosts on a network that drops and delays. It holds
// that no cluster forms while a host belongs to another.
type bootstrapSim struct {
	t        require.TestingT
	rng      *rand.Rand
	now      time.Duration
	addrs    []string
	hosts    map[string]*bootstrapper
	disks    map[string]wal.Identity
	inFlight []packet
	lastID   uint64
}

func newBootstrapSim(t require.TestingT, seed uint64) *bootstrapSim {
	f := &bootstrapSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 4)),
		addrs: []string{addr(1), addr(2), addr(3)},
		hosts: map[string]*bootstrapper{}, disks: map[string]wal.Identity{},
	}
	for _, a := range f.addrs {
		f.wipe(a)
	}
	return f
}

// wipe puts an empty folder at an address.
func (f *bootstrapSim) wipe(a string) {
	f.lastID++
	f.disks[a] = wal.Identity{Replica: f.lastID}
	f.restart(a)
}

func (f *bootstrapSim) restart(a string) { f.hosts[a] = newBootstrapper(f.disks[a], a, f.addrs) }

func (f *bootstrapSim) runEffects(a string, eff effects) {
	h := f.hosts[a]
	if eff.save {
		if h.ident.Phase == wal.PhaseMember {
			f.requireSingleCluster(a, h.ident)
		}
		f.disks[a] = h.ident
	}
	f.inFlight = append(f.inFlight, eff.packets...)
}

func (f *bootstrapSim) requireSingleCluster(a string, ident wal.Identity) {
	for _, other := range f.addrs {
		disk := f.disks[other]
		if disk.Phase == wal.PhaseMember {
			require.Equal(f.t, disk.Cluster, ident.Cluster, "%s formed a second cluster beside %s", a, other)
		}
	}
}

func (f *bootstrapSim) deliver(p packet) {
	h := f.hosts[p.addr]
	if h.ident.Phase == wal.PhaseMember {
		if p.env.Intro != nil {
			e := envelope{From: h.id, FromAddr: h.addr, Cluster: h.ident.Cluster, Exists: &exists{Initial: h.ident.Initial}}
			f.inFlight = append(f.inFlight, packet{to: p.env.From, addr: p.env.FromAddr, env: e})
		}
		return
	}
	if p.env.Intro != nil {
		f.runEffects(p.addr, h.handleIntro(&p.env))
	} else {
		f.runEffects(p.addr, h.handleExists(&p.env))
	}
}

func (f *bootstrapSim) step(wipes bool) {
	a := f.addrs[f.rng.IntN(len(f.addrs))]
	switch n := f.rng.IntN(40); {
	case n == 0 && wipes:
		f.wipe(a)
	case n == 1:
		f.restart(a)
	case n < 10:
		f.now += introInterval / 4
		f.runEffects(a, f.hosts[a].tick(f.now))
	case len(f.inFlight) > 0:
		i := f.rng.IntN(len(f.inFlight))
		p := f.inFlight[i]
		if f.rng.IntN(4) > 0 {
			f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
		}
		f.deliver(p)
	}
}

// Whatever is lost, late, doubled, restarted or wiped, no host forms a cluster
// beside one that exists; with no wipe, all three form one.
func TestFormsAtMostOneCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newBootstrapSim(t, rapid.Uint64().Draw(t, "seed"))
		wipes := rapid.Bool().Draw(t, "wipes")
		for range rapid.IntRange(100, 1000).Draw(t, "steps") {
			f.step(wipes)
		}
		if wipes {
			return
		}
		for range 3000 {
			f.step(false)
		}
		for _, a := range f.addrs {
			require.Equal(t, wal.PhaseMember, f.disks[a].Phase)
		}
	})
}

// Two of three first hosts form nothing. When two have lost their disks while
// the third, which holds the cluster, is away, they form nothing either.
func TestNoSecondClusterAfterDiskLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a, b := n.start(t, 1, withBootstrap(1, 2, 3)), n.start(t, 2, withBootstrap(1, 2, 3))
		time.Sleep(time.Minute)
		require.Equal(t, wal.PhaseNew, a.replica.Status().Phase)
		c := n.start(t, 3, withBootstrap(1, 2, 3))
		items := proposeMany(t, waitForLeader(t, a, b, c), "a", 3)

		eventually(t, "the third host has all", func() bool { return len(c.state.commands()) == len(items) })
		n.setIsolated(c.addr, true)
		for i, h := range []*host{a, b} {
			h.crash(t)
			h.wipe(uint64(20 + i))
			h.open(t, withBootstrap(1, 2, 3))
		}
		time.Sleep(time.Minute)
		n.setIsolated(c.addr, false)
		time.Sleep(time.Minute)
		for _, h := range []*host{a, b} {
			require.Equal(t, wal.PhaseWaiting, h.replica.Status().Phase)
		}
		require.Equal(t, items, c.state.commands())
		require.False(t, c.replica.Status().Fresh)
	})
}

// A replica outside any cluster follows a leader that names its id, and gives
// no vote.
func TestOnlyLeaderMessagesMakeAMember(t *testing.T) {
	cases := []struct {
		msg  raft.Message
		want wal.Phase
	}{
		{raft.Message{Kind: raft.MsgVote, To: 1}, wal.PhaseNew},
		{raft.Message{Kind: raft.MsgPreVote, To: 1}, wal.PhaseNew},
		{raft.Message{Kind: raft.MsgAppend, To: 2}, wal.PhaseNew},
		{raft.Message{Kind: raft.MsgAppend, To: 1}, wal.PhaseMember},
		{raft.Message{Kind: raft.MsgSnapshot, To: 1}, wal.PhaseMember},
	}
	for _, c := range cases {
		f := newBootstrapper(wal.Identity{Replica: 1}, addr(1), nil)
		eff := f.joinFromLeader(&envelope{Cluster: 5, From: 9, Raft: &c.msg})
		require.Equal(t, c.want, f.ident.Phase)
		require.Equal(t, c.want == wal.PhaseMember, eff.save)
	}
}
