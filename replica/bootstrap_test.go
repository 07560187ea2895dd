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

// bootstrapSim simulates three bootstrap hosts on a network that drops, delays
// and duplicates messages. It checks that no host forms a cluster while another
// host belongs to a different one.
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
	s := &bootstrapSim{
		t: t, rng: rand.New(rand.NewPCG(seed, 4)),
		addrs: []string{addr(1), addr(2), addr(3)},
		hosts: map[string]*bootstrapper{}, disks: map[string]wal.Identity{},
	}
	for _, a := range s.addrs {
		s.wipe(a)
	}
	return s
}

// wipe replaces the data folder of the host at an address by an empty one.
func (s *bootstrapSim) wipe(a string) {
	s.lastID++
	s.disks[a] = wal.Identity{Replica: s.lastID}
	s.restart(a)
}

func (s *bootstrapSim) restart(a string) { s.hosts[a] = newBootstrapper(s.disks[a], a, s.addrs) }

func (s *bootstrapSim) runEffects(a string, eff effects) {
	h := s.hosts[a]
	if eff.save {
		if h.ident.Phase == wal.PhaseMember {
			s.requireSingleCluster(a, h.ident)
		}
		s.disks[a] = h.ident
	}
	s.inFlight = append(s.inFlight, eff.packets...)
}

func (s *bootstrapSim) requireSingleCluster(a string, ident wal.Identity) {
	for _, other := range s.addrs {
		disk := s.disks[other]
		if disk.Phase == wal.PhaseMember {
			require.Equal(s.t, disk.Cluster, ident.Cluster, "%s formed a second cluster beside %s", a, other)
		}
	}
}

func (s *bootstrapSim) deliver(p packet) {
	h := s.hosts[p.addr]
	if h.ident.Phase == wal.PhaseMember {
		if p.env.Intro != nil {
			e := envelope{From: h.id, FromAddr: h.addr, Cluster: h.ident.Cluster, Exists: &exists{Initial: h.ident.Initial}}
			s.inFlight = append(s.inFlight, packet{to: p.env.From, addr: p.env.FromAddr, env: e})
		}
		return
	}
	if p.env.Intro != nil {
		s.runEffects(p.addr, h.handleIntro(&p.env))
	} else {
		s.runEffects(p.addr, h.handleExists(&p.env))
	}
}

func (s *bootstrapSim) step(wipes bool) {
	a := s.addrs[s.rng.IntN(len(s.addrs))]
	switch n := s.rng.IntN(40); {
	case n == 0 && wipes:
		s.wipe(a)
	case n == 1:
		s.restart(a)
	case n < 10:
		s.now += introInterval / 4
		s.runEffects(a, s.hosts[a].tick(s.now))
	case len(s.inFlight) > 0:
		i := s.rng.IntN(len(s.inFlight))
		p := s.inFlight[i]
		if s.rng.IntN(4) > 0 {
			s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
		}
		s.deliver(p)
	}
}

// No host forms a cluster beside an existing one when messages are lost,
// delayed or duplicated and hosts are restarted or wiped. Without wipes, all
// three hosts form one cluster.
func TestFormsAtMostOneCluster(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newBootstrapSim(t, rapid.Uint64().Draw(t, "seed"))
		wipes := rapid.Bool().Draw(t, "wipes")
		for range rapid.IntRange(100, 1000).Draw(t, "steps") {
			sim.step(wipes)
		}
		if wipes {
			return
		}
		for range 3000 {
			sim.step(false)
		}
		for _, a := range sim.addrs {
			require.Equal(t, wal.PhaseMember, sim.disks[a].Phase)
		}
	})
}

// Two of three bootstrap hosts form no cluster. They also form none when both
// have lost their disks while the third host, which still holds the cluster, is
// isolated.
func TestNoSecondClusterAfterDiskLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		a, b := n.start(t, 1, withBootstrap(1, 2, 3)), n.start(t, 2, withBootstrap(1, 2, 3))
		time.Sleep(time.Minute)
		require.Equal(t, wal.PhaseNew, a.replica.Status().Phase)
		c := n.start(t, 3, withBootstrap(1, 2, 3))
		items := proposeMany(t, waitForLeader(t, a, b, c), "a", 3)

		eventually(t, "the third host has applied all commands", func() bool { return len(c.state.commands()) == len(items) })
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

// A replica outside any cluster joins on an append or a snapshot addressed to
// its id, and ignores vote requests.
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
		b := newBootstrapper(wal.Identity{Replica: 1}, addr(1), nil)
		eff := b.joinFromLeader(&envelope{Cluster: 5, From: 9, Raft: &c.msg})
		require.Equal(t, c.want, b.ident.Phase)
		require.Equal(t, c.want == wal.PhaseMember, eff.save)
	}
}
