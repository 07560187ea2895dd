package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// introInterval is how often a replica outside any cluster sends its intro to
// the other bootstrap hosts.
const introInterval = 200 * time.Millisecond

// bootstrapper forms the cluster of the bootstrap hosts or joins an existing
// one. Each replica collects the ids of all listed hosts and then durably
// agrees to one list of ids, at most once in its lifetime. The cluster is
// formed when all hosts have agreed to the same list. Two clusters therefore
// never share an initial replica, and an empty data folder forms a cluster only
// if every listed host is new too.
type bootstrapper struct {
	id    uint64
	addr  string
	addrs []string // all bootstrap hosts
	ident wal.Identity

	idByAddr  map[string]uint64
	agreed    map[uint64]bool
	nextIntro time.Duration
}

// packet is an envelope with its destination.
type packet struct {
	to   uint64
	addr string
	env  envelope
}

// effects lists the actions that a step of the bootstrapper requests, in order
// of execution.
type effects struct {
	save     bool // the identity must be durable before packets are sent
	packets  []packet
	logLines []logLine
}

// logLine is a log message with its keys and values.
type logLine struct {
	msg     string
	keyvals []any
}

func (e *effects) log(msg string, keyvals ...any) {
	e.logLines = append(e.logLines, logLine{msg: msg, keyvals: keyvals})
}

func newBootstrapper(ident wal.Identity, addr string, addrs []string) *bootstrapper {
	return &bootstrapper{
		id: ident.Replica, addr: addr, addrs: addrs, ident: ident,
		idByAddr: map[string]uint64{addr: ident.Replica},
		agreed:   map[uint64]bool{},
	}
}

// tick sends intros to the other bootstrap hosts once introInterval has passed.
func (b *bootstrapper) tick(now time.Duration) (eff effects) {
	if now < b.nextIntro || b.ident.Phase > wal.PhaseProposed {
		return eff
	}
	b.nextIntro = now + introInterval
	b.advance(&eff)
	if b.ident.Phase <= wal.PhaseProposed {
		b.sendIntros(&eff)
	}
	return eff
}

func (b *bootstrapper) sendIntros(eff *effects) {
	for _, addr := range b.addrs {
		if addr == b.addr {
			continue
		}
		eff.packets = append(eff.packets, packet{
			to: b.idByAddr[addr], addr: addr,
			env: envelope{From: b.id, FromAddr: b.addr, Intro: &intro{Initial: b.ident.Initial}},
		})
	}
}

// handleIntro processes an intro from another replica outside any cluster.
func (b *bootstrapper) handleIntro(e *envelope) (eff effects) {
	if b.ident.Phase > wal.PhaseProposed {
		return eff
	}
	if !slices.Contains(b.addrs, e.FromAddr) || e.FromAddr == b.addr {
		eff.log("host is not in the bootstrap list", "peer", e.FromAddr)
		return eff
	}
	if b.ident.Phase == wal.PhaseNew {
		b.idByAddr[e.FromAddr] = e.From
	}
	if b.ident.Phase == wal.PhaseProposed && !slices.ContainsFunc(b.ident.Initial, isMember(e.From, e.FromAddr)) {
		eff.log("peer has a new data folder since the bootstrap hosts agreed; empty the data folders of all bootstrap hosts", "peer", e.FromAddr)
		return eff
	}
	if len(e.Intro.Initial) > 0 && slices.Equal(e.Intro.Initial, b.ident.Initial) {
		b.agreed[e.From] = true
	}
	b.advance(&eff)
	return eff
}

func isMember(id uint64, addr string) func(raft.Member) bool {
	return func(m raft.Member) bool { return m.ID == id && m.Addr == addr }
}

// advance moves to the next phase when its conditions are met: to
// PhaseProposed once all ids are known, to PhaseMember once all have agreed.
func (b *bootstrapper) advance(eff *effects) {
	if b.ident.Phase == wal.PhaseNew && b.knowsAllIDs() {
		b.ident.Phase = wal.PhaseProposed
		b.ident.Initial = b.initialMembers()
		eff.save = true
		b.sendIntros(eff)
	}
	if b.ident.Phase == wal.PhaseProposed && b.allAgreed() {
		b.joinCluster(clusterID(b.ident.Initial), eff)
	}
}

func (b *bootstrapper) knowsAllIDs() bool {
	for _, addr := range b.addrs {
		if b.idByAddr[addr] == raft.None {
			return false
		}
	}
	return len(b.addrs) > 0
}

func (b *bootstrapper) initialMembers() []raft.Member {
	var members []raft.Member
	for _, addr := range b.addrs {
		members = append(members, raft.Member{ID: b.idByAddr[addr], Addr: addr, Voter: true})
	}
	slices.SortFunc(members, func(a, b raft.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return members
}

func (b *bootstrapper) allAgreed() bool {
	for _, m := range b.ident.Initial {
		if m.ID != b.id && !b.agreed[m.ID] {
			return false
		}
	}
	return true
}

// handleExists processes a message that a cluster exists. If its initial members
// are the list that this replica agreed to, the replica joins it; otherwise the
// replica waits to be added as a learner.
func (b *bootstrapper) handleExists(e *envelope) (eff effects) {
	if b.ident.Phase >= wal.PhaseWaiting {
		return eff
	}
	if b.ident.Phase == wal.PhaseProposed && slices.Equal(e.Exists.Initial, b.ident.Initial) {
		b.joinCluster(e.Cluster, &eff)
		return eff
	}
	b.waitToBeAdded(&eff)
	return eff
}

// waitToBeAdded permanently stops forming a cluster. The replica then joins only
// when a leader adds it (see joinFromLeader).
func (b *bootstrapper) waitToBeAdded(eff *effects) {
	b.ident.Phase = wal.PhaseWaiting
	b.ident.Initial = nil
	eff.save = true
	eff.log("waiting to be added to the cluster", "replica", formatID(b.id), "address", b.addr)
}

// joinFromLeader joins the cluster of a leader that sends an append or a
// snapshot to this replica's id.
func (b *bootstrapper) joinFromLeader(e *envelope) (eff effects) {
	kind := e.Raft.Kind
	if e.Raft.To != b.id || e.Cluster == 0 || (kind != raft.MsgAppend && kind != raft.MsgSnapshot) {
		return eff
	}
	b.ident.Initial = nil
	b.joinCluster(e.Cluster, &eff)
	return eff
}

func (b *bootstrapper) joinCluster(cluster uint64, eff *effects) {
	b.ident.Phase = wal.PhaseMember
	b.ident.Cluster = cluster
	eff.save = true
	eff.log("joined the cluster", "replica", formatID(b.id), "cluster", formatID(cluster))
}

// clusterID derives the id of a cluster from its initial voters.
func clusterID(members []raft.Member) uint64 {
	var b []byte
	for _, m := range members {
		b = binary.BigEndian.AppendUint64(b, m.ID)
		b = append(b, m.Addr...)
		b = append(b, 0)
	}
	return xxhash.Sum64(b) | 1
}

// The index and term of the snapshot that all initial voters start from. The
// snapshot holds the membership and no state.
const (
	initialIndex = 1
	initialTerm  = 1
)

// initialSave returns what an initial voter saves when the cluster is formed. A
// replica that is added later starts with an empty log.
func initialSave(ident wal.Identity) *raft.Save {
	if len(ident.Initial) == 0 {
		return &raft.Save{}
	}
	return &raft.Save{
		Hard: raft.HardState{Term: initialTerm, Commit: initialIndex},
		Snapshot: &raft.Snapshot{
			Index: initialIndex, Term: initialTerm, Members: ident.Initial,
		},
	}
}
