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

// introInterval is how often a replica outside any cluster speaks to the
// other first hosts.
const introInterval = 200 * time.Millisecond

// bootstrapper brings the first replicas together. Each collects the ids of all
// listed hosts, then agrees durably to one list of ids, at most once in its
// life; the cluster is formed when all hosts have agreed to the same list. So
// two clusters can never form with a replica in common, and an empty folder
// alone can never form one: it needs every listed host to be new too.
type bootstrapper struct {
	id    uint64
	addr  string
	addrs []string // all first hosts
	ident wal.Identity

	idByAddr  map[string]uint64
	agreed    map[uint64]bool
	nextIntro time.Duration
}

// packet is a message to an address.
type packet struct {
	to   uint64
	addr string
	env  envelope
}

// effects is what a step of the former asks for, in this order.
type effects struct {
	save     bool // the identity has to be durable before packets leave
	packets  []packet
	logLines []logLine
}

// logLine is a line for the log.
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

// tick speaks to the other first hosts when it is time to.
func (f *bootstrapper) tick(now time.Duration) (eff effects) {
	if now < f.nextIntro || f.ident.Phase > wal.PhaseProposed {
		return eff
	}
	f.nextIntro = now + introInterval
	f.advance(&eff)
	if f.ident.Phase <= wal.PhaseProposed {
		f.sendIntros(&eff)
	}
	return eff
}

func (f *bootstrapper) sendIntros(eff *effects) {
	for _, addr := range f.addrs {
		if addr == f.addr {
			continue
		}
		eff.packets = append(eff.packets, packet{
			to: f.idByAddr[addr], addr: addr,
			env: envelope{From: f.id, FromAddr: f.addr, Intro: &intro{Initial: f.ident.Initial}},
		})
	}
}

// handleIntro takes in what another new replica says.
func (f *bootstrapper) handleIntro(e *envelope) (eff effects) {
	if f.ident.Phase > wal.PhaseProposed {
		return eff
	}
	if !slices.Contains(f.addrs, e.FromAddr) || e.FromAddr == f.addr {
		eff.log("host is not in the bootstrap list", "peer", e.FromAddr)
		return eff
	}
	if f.ident.Phase == wal.PhaseNew {
		f.idByAddr[e.FromAddr] = e.From
	}
	if f.ident.Phase == wal.PhaseProposed && !slices.ContainsFunc(f.ident.Initial, isMember(e.From, e.FromAddr)) {
		eff.log("peer has a new data folder since the first hosts agreed; empty the folders of all first hosts", "peer", e.FromAddr)
		return eff
	}
	if len(e.Intro.Initial) > 0 && slices.Equal(e.Intro.Initial, f.ident.Initial) {
		f.agreed[e.From] = true
	}
	f.advance(&eff)
	return eff
}

func isMember(id uint64, addr string) func(raft.Member) bool {
	return func(m raft.Member) bool { return m.ID == id && m.Addr == addr }
}

// advance moves on as far as what is known allows.
func (f *bootstrapper) advance(eff *effects) {
	if f.ident.Phase == wal.PhaseNew && f.knowsAllIDs() {
		f.ident.Phase = wal.PhaseProposed
		f.ident.Initial = f.initialMembers()
		eff.save = true
		f.sendIntros(eff)
	}
	if f.ident.Phase == wal.PhaseProposed && f.allAgreed() {
		f.joinCluster(clusterID(f.ident.Initial), eff)
	}
}

func (f *bootstrapper) knowsAllIDs() bool {
	for _, addr := range f.addrs {
		if f.idByAddr[addr] == raft.None {
			return false
		}
	}
	return len(f.addrs) > 0
}

func (f *bootstrapper) initialMembers() []raft.Member {
	var list []raft.Member
	for _, addr := range f.addrs {
		list = append(list, raft.Member{ID: f.idByAddr[addr], Addr: addr, Voter: true})
	}
	slices.SortFunc(list, func(a, b raft.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

func (f *bootstrapper) allAgreed() bool {
	for _, m := range f.ident.Initial {
		if m.ID != f.id && !f.agreed[m.ID] {
			return false
		}
	}
	return true
}

// handleExists learns that the cluster was formed: with this replica, if the
// list is the one that it agreed to; otherwise it waits to be added.
func (f *bootstrapper) handleExists(e *envelope) (eff effects) {
	if f.ident.Phase >= wal.PhaseWaiting {
		return eff
	}
	if f.ident.Phase == wal.PhaseProposed && slices.Equal(e.Exists.Initial, f.ident.Initial) {
		f.joinCluster(e.Cluster, &eff)
		return eff
	}
	f.waitToBeAdded(&eff)
	return eff
}

// waitToBeAdded gives up forming a cluster for good.
func (f *bootstrapper) waitToBeAdded(eff *effects) {
	f.ident.Phase = wal.PhaseWaiting
	f.ident.Initial = nil
	eff.save = true
	eff.log("waits to be added to the cluster", "replica", formatID(f.id), "address", f.addr)
}

// joinFromLeader joins the cluster of a leader that sends to this replica's id.
func (f *bootstrapper) joinFromLeader(e *envelope) (eff effects) {
	kind := e.Raft.Kind
	if e.Raft.To != f.id || e.Cluster == 0 || (kind != raft.MsgAppend && kind != raft.MsgSnapshot) {
		return eff
	}
	f.ident.Initial = nil
	f.joinCluster(e.Cluster, &eff)
	return eff
}

func (f *bootstrapper) joinCluster(cluster uint64, eff *effects) {
	f.ident.Phase = wal.PhaseMember
	f.ident.Cluster = cluster
	eff.save = true
	eff.log("joined the cluster", "replica", formatID(f.id), "cluster", formatID(cluster))
}

// clusterID names a cluster after its first voters.
func clusterID(list []raft.Member) uint64 {
	var b []byte
	for _, m := range list {
		b = binary.BigEndian.AppendUint64(b, m.ID)
		b = append(b, m.Addr...)
		b = append(b, 0)
	}
	return xxhash.Sum64(b) | 1
}

// initialIndex is the position of the snapshot that all first voters start
// from; it holds the membership and no state.
const (
	initialIndex = 1
	initialTerm  = 1
)

// initialSave is what a first voter saves when the cluster is formed. A
// replica that was added later starts from nothing.
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
