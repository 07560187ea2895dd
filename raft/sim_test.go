package raft_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

// The limits are small so that short runs reach them.
const (
	keepEntries   = 3
	maxBatchBytes = 150
	maxInflight   = 3
	chunkBytes    = 10
)

// sim simulates a few hosts on an unreliable network with a virtual clock.
type sim struct {
	t      require.TestingT
	rng    *rand.Rand
	now    time.Duration
	hosts  []*host
	oracle *oracle

	inTransit        []transitMessage
	partitions       map[uint64]int // hosts of different partitions can't communicate
	cutLinks         map[link]bool  // links that deliver no messages
	dropPercent      int
	duplicatePercent int
	maxDelay         time.Duration
	leaders          map[uint64]uint64 // host id, by term
	earlyLeaders     int               // elected within an election timeout of their start

	writeCount    int
	lastReadID    uint64
	readsAnswered int
}

// link is one direction of the connection between two hosts.
type link struct{ from, to uint64 }

// transitMessage is a message that is in transit.
type transitMessage struct {
	at time.Duration
	m  raft.Message
}

func newSim(t require.TestingT, seed uint64, voters int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), oracle: newOracle(),
		partitions: map[uint64]int{}, cutLinks: map[link]bool{}, leaders: map[uint64]uint64{}, maxDelay: 2 * time.Millisecond,
	}
	var members []raft.Member
	for range voters {
		h := s.addHost()
		members = append(members, raft.Member{ID: h.id, Addr: fmt.Sprint(h.id), Voter: true})
	}
	for _, h := range s.hosts {
		h.start(&raft.Save{
			Hard:     raft.HardState{Term: 1, Commit: 1},
			Snapshot: &raft.Snapshot{Index: 1, Term: 1, Members: members},
		})
	}
	return s
}

// addHost adds a host with an empty data folder.
func (s *sim) addHost() *host {
	h := &host{s: s, id: s.rng.Uint64() | 1, fs: waltest.New(s.rng.Uint64()), saveDoneAt: never}
	h.clockRate = 96 + time.Duration(s.rng.IntN(9))
	s.hosts = append(s.hosts, h)
	return h
}

func (s *sim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rng.Int64N(int64(hi-lo)+1))
}

// send queues a message for delivery, or drops or duplicates it. The message is
// encoded and decoded, like between processes.
func (s *sim) send(m raft.Message) {
	body, err := m.MarshalMsg(nil)
	require.NoError(s.t, err)
	copies := 1
	switch p := s.rng.IntN(100); {
	case p < s.dropPercent:
		copies = 0
	case p < s.dropPercent+s.duplicatePercent:
		copies = 2
	}
	for range copies {
		var c raft.Message
		_, err := c.UnmarshalMsg(body)
		require.NoError(s.t, err)
		s.inTransit = append(s.inTransit, transitMessage{at: s.now + s.randomDuration(time.Millisecond/2, s.maxDelay), m: c})
	}
}

func (s *sim) find(id uint64) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.id == id })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// advance moves the clock forward and handles all events that are due.
func (s *sim) advance(d time.Duration) {
	end := s.now + d
	for {
		at, h, transitIndex := s.nextEvent()
		if at > end {
			break
		}
		s.now = max(s.now, at)
		if h != nil {
			h.runDue()
			continue
		}
		m := s.inTransit[transitIndex].m
		s.inTransit = slices.Delete(s.inTransit, transitIndex, transitIndex+1)
		s.deliver(m)
	}
	s.now = end
}

func (s *sim) healNetwork() {
	clear(s.partitions)
	clear(s.cutLinks)
}

func (s *sim) nextEvent() (at time.Duration, h *host, transitIndex int) {
	at, transitIndex = never, -1
	for _, c := range s.hosts {
		if n := c.nextEventAt(); n < at {
			at, h = n, c
		}
	}
	for i := range s.inTransit {
		if s.inTransit[i].at < at {
			at, h, transitIndex = s.inTransit[i].at, nil, i
		}
	}
	return at, h, transitIndex
}

func (s *sim) deliver(m raft.Message) {
	h := s.find(m.To)
	if h == nil || s.partitions[m.From] != s.partitions[m.To] || s.cutLinks[link{m.From, m.To}] {
		return
	}
	h.receive(m)
}

// checkLeader checks that a term has at most one leader, and that none is
// elected while another leader holds its lease.
func (s *sim) checkLeader(h *host) {
	role, term, _ := h.node.Role()
	if role != raft.Leader {
		return
	}
	if old, ok := s.leaders[term]; ok {
		require.Equal(s.t, old, h.id, "term %d has two leaders", term)
	}
	if s.leaders[term] == h.id {
		return
	}
	s.leaders[term] = h.id
	if h.now() < h.startedAt+raft.DefaultElectionTimeout {
		s.earlyLeaders++
	}
	for _, o := range s.hosts {
		if o != h && o.node != nil {
			st := o.node.Status(o.now())
			require.False(s.t, st.Role == raft.Leader && st.Fresh, "a leader of term %d was elected within another's lease", term)
		}
	}
}

// checkLogs checks that two logs with the same term at an index are identical up
// to that index.
func (s *sim) checkLogs() {
	for i, a := range s.hosts {
		for _, b := range s.hosts[:i] {
			if a.node != nil && b.node != nil {
				s.checkLogPair(a.node.Log(), b.node.Log())
			}
		}
	}
}

func (s *sim) checkLogPair(a, b []raft.Entry) {
	byIndex := map[uint64]raft.Entry{}
	for _, e := range b {
		byIndex[e.Index] = e
	}
	match := false
	for _, e := range slices.Backward(a) {
		o, ok := byIndex[e.Index]
		if !ok {
			continue
		}
		match = match || o.Term == e.Term
		if match {
			require.Equal(s.t, o.Term, e.Term, "two logs match at a later index but differ at %d", e.Index)
			require.Equal(s.t, string(o.Data), string(e.Data))
			require.True(s.t, slices.Equal(o.Members, e.Members))
		}
	}
}

func (s *sim) leader() *host {
	var best *host
	var bestTerm uint64
	for _, h := range s.hosts {
		if h.node == nil || h.frozen {
			continue
		}
		role, term, _ := h.node.Role()
		if role == raft.Leader && term > bestTerm {
			best, bestTerm = h, term
		}
	}
	return best
}

// write proposes a write at a host, which rejects it unless it is the leader.
func (s *sim) write(h *host) {
	s.writeCount++
	o := &op{id: fmt.Sprintf("w%d", s.writeCount), acceptedBefore: s.oracle.highestAccepted}
	o.cmd = command(o.id, s.oracle.reference.version-s.rng.IntN(2))
	h.node.Tick(h.now())
	var err error
	o.index, o.term, err = h.node.Propose(o.cmd)
	if err != nil {
		s.oracle.recordRefused(s.t, o.id)
	} else {
		h.ops[o.index] = o
	}
	h.processReady()
}

func (s *sim) read(h *host) {
	s.lastReadID++
	h.node.Tick(h.now())
	if h.node.Read(s.lastReadID) == nil {
		h.reads[s.lastReadID] = s.oracle.highestAccepted
	}
	h.processReady()
}

// checkRecovery ends all faults and checks that the cluster accepts a write and
// that all members converge to the same state.
func (s *sim) checkRecovery() {
	s.dropPercent, s.duplicatePercent, s.maxDelay = 0, 0, 2*time.Millisecond
	s.healNetwork()
	for _, h := range s.hosts {
		switch {
		case h.diskLost:
		case h.node == nil:
			h.start(nil)
		case h.frozen:
			h.unfreeze()
		}
	}
	s.advance(10 * time.Second)
	l := s.leader()
	require.NotNil(s.t, l, "no leader 10 s after the last fault")
	before := len(s.oracle.accepted)
	s.write(l)
	s.advance(2 * time.Second)
	require.Equal(s.t, before+1, len(s.oracle.accepted), "the cluster accepted no write after the last fault")
	s.checkLogs()
	for _, m := range l.node.Members() {
		if h := s.find(m.ID); !h.diskLost {
			require.Equal(s.t, s.oracle.lastIndex, h.applied, "replica %x has not applied all entries", h.id)
			require.Equal(s.t, s.oracle.reference, h.reg)
		}
	}
	for id := range s.oracle.accepted {
		require.Contains(s.t, s.oracle.reference.writeIDs, id, "an accepted write is lost")
	}
}
