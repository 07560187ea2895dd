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

// former brings the first replicas together. Each collects the ids of all
// listed hosts, then agrees durably to one list of ids, at most once in its
// life; the cluster is formed when all hosts have agreed to the same list. So
// two clusters can never form with a replica in common, and an empty folder
// alone can never form one: it needs every listed host to be new too.
type former struct {
	id    uint64
	addr  string
	addrs []string // all first hosts
	ident wal.Identity

	known  map[string]uint64
	agreed map[uint64]bool
	nextAt time.Duration
}

// packet is a message to an address.
type packet struct {
	to   uint64
	addr string
	env  envelope
}

// effects is what a step of the former asks for, in this order.
type effects struct {
	save    bool // the identity has to be durable before packets leave
	packets []packet
	notes   []note
}

// note is a line for the log.
type note struct {
	msg     string
	keyvals []any
}

func (e *effects) note(msg string, keyvals ...any) {
	e.notes = append(e.notes, note{msg: msg, keyvals: keyvals})
}

func newFormer(ident wal.Identity, addr string, addrs []string) *former {
	return &former{
		id: ident.Replica, addr: addr, addrs: addrs, ident: ident,
		known:  map[string]uint64{addr: ident.Replica},
		agreed: map[uint64]bool{},
	}
}

// tick speaks to the other first hosts when it is time to.
func (f *former) tick(now time.Duration) (eff effects) {
	if now < f.nextAt || f.ident.Phase > wal.PhaseProposed {
		return eff
	}
	f.nextAt = now + introInterval
	f.advance(&eff)
	if f.ident.Phase <= wal.PhaseProposed {
		f.speak(&eff)
	}
	return eff
}

func (f *former) speak(eff *effects) {
	for _, addr := range f.addrs {
		if addr == f.addr {
			continue
		}
		eff.packets = append(eff.packets, packet{
			to: f.known[addr], addr: addr,
			env: envelope{From: f.id, FromAddr: f.addr, Intro: &intro{List: f.ident.Initial}},
		})
	}
}

// handleIntro takes in what another new replica says.
func (f *former) handleIntro(e *envelope) (eff effects) {
	if f.ident.Phase > wal.PhaseProposed {
		return eff
	}
	if !slices.Contains(f.addrs, e.FromAddr) || e.FromAddr == f.addr {
		eff.note("host is not in the bootstrap list", "peer", e.FromAddr)
		return eff
	}
	if f.ident.Phase == wal.PhaseNew {
		f.known[e.FromAddr] = e.From
	}
	if f.ident.Phase == wal.PhaseProposed && !slices.ContainsFunc(f.ident.Initial, isMember(e.From, e.FromAddr)) {
		eff.note("peer has a new data folder since the first hosts agreed; empty the folders of all first hosts", "peer", e.FromAddr)
		return eff
	}
	if len(e.Intro.List) > 0 && slices.Equal(e.Intro.List, f.ident.Initial) {
		f.agreed[e.From] = true
	}
	f.advance(&eff)
	return eff
}

func isMember(id uint64, addr string) func(raft.Member) bool {
	return func(m raft.Member) bool { return m.ID == id && m.Addr == addr }
}

// advance moves on as far as what is known allows.
func (f *former) advance(eff *effects) {
	if f.ident.Phase == wal.PhaseNew && f.knowsAll() {
		f.ident.Phase = wal.PhaseProposed
		f.ident.Initial = f.list()
		eff.save = true
		f.speak(eff)
	}
	if f.ident.Phase == wal.PhaseProposed && f.allAgreed() {
		f.become(clusterID(f.ident.Initial), eff)
	}
}

func (f *former) knowsAll() bool {
	for _, addr := range f.addrs {
		if f.known[addr] == raft.None {
			return false
		}
	}
	return len(f.addrs) > 0
}

func (f *former) list() []raft.Member {
	var list []raft.Member
	for _, addr := range f.addrs {
		list = append(list, raft.Member{ID: f.known[addr], Addr: addr, Voter: true})
	}
	slices.SortFunc(list, func(a, b raft.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

func (f *former) allAgreed() bool {
	for _, m := range f.ident.Initial {
		if m.ID != f.id && !f.agreed[m.ID] {
			return false
		}
	}
	return true
}

// handleExists learns that the cluster was formed: with this replica, if the
// list is the one that it agreed to; otherwise it waits to be added.
func (f *former) handleExists(e *envelope) (eff effects) {
	if f.ident.Phase >= wal.PhaseWaiting {
		return eff
	}
	if f.ident.Phase == wal.PhaseProposed && slices.Equal(e.Exists.Initial, f.ident.Initial) {
		f.become(e.Cluster, &eff)
		return eff
	}
	f.wait(&eff)
	return eff
}

// wait gives up forming a cluster for good.
func (f *former) wait(eff *effects) {
	f.ident.Phase = wal.PhaseWaiting
	f.ident.Initial = nil
	eff.save = true
	eff.note("waits to be added to the cluster", "replica", formatID(f.id), "address", f.addr)
}

// adopt joins the cluster of a leader that sends to this replica's id.
func (f *former) adopt(e *envelope) (eff effects) {
	kind := e.Raft.Kind
	if e.Raft.To != f.id || e.Cluster == 0 || (kind != raft.MsgAppend && kind != raft.MsgSnapshot) {
		return eff
	}
	f.ident.Initial = nil
	f.become(e.Cluster, &eff)
	return eff
}

func (f *former) become(cluster uint64, eff *effects) {
	f.ident.Phase = wal.PhaseMember
	f.ident.Cluster = cluster
	eff.save = true
	eff.note("joined the cluster", "replica", formatID(f.id), "cluster", formatID(cluster))
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
