// Package directory keeps the soft state of the fleet: which processes are
// alive, as they announce themselves under leases. Nothing of it is in the
// replicated log. Table merges what several sources say; Reducer is a control
// host's part; the client side uses Table too.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// tombstoneTTL is how long a goodbye suppresses late news of the process that
// left.
const tombstoneTTL = time.Minute

// Source is where news of a process comes from: Local for a lease at this
// control host, else the peer address of a control host.
type Source string

// Local is the source of leases that this control host holds itself.
const Local Source = ""

// processKey names a process over its restarts.
type processKey struct {
	role wire.Role
	id   string
}

func keyOf(p wire.Peer) processKey { return processKey{p.Role, p.ID} }

func compareKeys(a, b processKey) int {
	return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.id, b.id))
}

// row is a live process and the sources that vouch for it.
type row struct {
	member  wire.Member
	sources map[Source]bool
}

// tombstone remembers the incarnation that said goodbye.
type tombstone struct {
	incarnation uint64
	expires     time.Duration
}

// Table is the merged list of processes. A process is live while at least one
// source vouches for it; a goodbye from any source ends it at once.
type Table struct {
	rows       map[processKey]*row
	tombstones map[processKey]tombstone
	diff       Difference
}

// Difference collects what changed in a Table.
type Difference struct {
	Upserts map[processKey]Upsert
	Removed []wire.Peer
	Left    []wire.Peer
}

// Upsert is a member that is new or has changed.
type Upsert struct {
	Member wire.Member
	// ConfigIndexOnly is set if only ConfigIndex has changed.
	ConfigIndexOnly bool
}

// Empty reports whether nothing changed.
func (d *Difference) Empty() bool { return len(d.Upserts) == 0 && len(d.Removed) == 0 }

// Message returns the difference as a wire message, in the order of roles and
// ids. Quiet upserts are left out unless asked for.
func (d *Difference) Message(quiet bool) *wire.Directory {
	msg := &wire.Directory{Removed: d.Removed, Deregistered: d.Left}
	for _, u := range d.Upserts {
		if quiet || !u.ConfigIndexOnly {
			msg.Upserts = append(msg.Upserts, u.Member)
		}
	}
	sortMembers(msg.Upserts)
	return msg
}

func sortMembers(ms []wire.Member) {
	slices.SortFunc(ms, func(a, b wire.Member) int { return compareKeys(keyOf(a.Peer), keyOf(b.Peer)) })
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[processKey]*row{}, tombstones: map[processKey]tombstone{}}
}

// Len returns the number of live processes.
func (t *Table) Len() int { return len(t.rows) }

// Members returns the processes that any source vouches for, in order.
func (t *Table) Members() []wire.Member {
	return t.members(func(*row) bool { return true })
}

// MembersOf returns the processes that one source vouches for, in order.
func (t *Table) MembersOf(src Source) []wire.Member {
	return t.members(func(r *row) bool { return r.sources[src] })
}

func (t *Table) members(keep func(*row) bool) []wire.Member {
	out := make([]wire.Member, 0, len(t.rows))
	for _, r := range t.rows {
		if keep(r) {
			out = append(out, r.member)
		}
	}
	sortMembers(out)
	return out
}

// TakeDifference returns what changed since the last call.
func (t *Table) TakeDifference() Difference {
	d := t.diff
	t.diff = Difference{}
	return d
}

// Upsert notes that a source vouches for a member. News of an incarnation
// older than the one known, or of one that has left, is ignored.
func (t *Table) Upsert(src Source, m wire.Member) {
	key := keyOf(m.Peer)
	if t.tombstones[key].incarnation >= m.Peer.Incarnation {
		return
	}
	r, ok := t.rows[key]
	switch {
	case !ok:
		t.rows[key] = &row{m, map[Source]bool{src: true}}
	case m.Peer.Incarnation < r.member.Peer.Incarnation:
		return
	case m.Peer.Incarnation > r.member.Peer.Incarnation:
		*r = row{m, map[Source]bool{src: true}}
	default:
		t.refresh(r, src, m)
		return
	}
	t.recordUpsert(key, m, false)
}

// refresh merges news of the incarnation that is known.
func (t *Table) refresh(r *row, src Source, m wire.Member) {
	r.sources[src] = true
	key := keyOf(m.Peer)
	index := max(m.ConfigIndex, r.member.ConfigIndex)
	switch {
	case m.Seq > r.member.Seq && m.Peer == r.member.Peer && sameWorker(m.Worker, r.member.Worker):
		r.member.Seq = m.Seq
		if index > r.member.ConfigIndex {
			r.member.ConfigIndex = index
			t.recordUpsert(key, r.member, true)
		}
	case m.Seq > r.member.Seq:
		m.ConfigIndex = index
		r.member = m
		t.recordUpsert(key, m, false)
	case index > r.member.ConfigIndex:
		r.member.ConfigIndex = index
		t.recordUpsert(key, r.member, true)
	}
}

func sameWorker(a, b *wire.Worker) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// recordUpsert notes an upsert; it stays loud if an earlier one was.
func (t *Table) recordUpsert(key processKey, m wire.Member, quiet bool) {
	if t.diff.Upserts == nil {
		t.diff.Upserts = map[processKey]Upsert{}
	}
	if old, ok := t.diff.Upserts[key]; ok {
		quiet = quiet && old.ConfigIndexOnly
	}
	t.diff.Upserts[key] = Upsert{m, quiet}
}

// Expire notes that a source no longer vouches for a process.
func (t *Table) Expire(src Source, p wire.Peer) {
	r, ok := t.rows[keyOf(p)]
	if !ok || r.member.Peer.Incarnation != p.Incarnation {
		return
	}
	delete(r.sources, src)
	if len(r.sources) == 0 {
		t.remove(r.member.Peer, false)
	}
}

// Leave notes a goodbye. It ends the process whoever else vouches for it.
func (t *Table) Leave(now time.Duration, p wire.Peer) {
	key := keyOf(p)
	if t.tombstones[key].incarnation < p.Incarnation {
		t.tombstones[key] = tombstone{p.Incarnation, now + tombstoneTTL}
	}
	r, ok := t.rows[key]
	if ok && r.member.Peer.Incarnation <= p.Incarnation {
		t.remove(r.member.Peer, true)
	}
}

func (t *Table) remove(p wire.Peer, left bool) {
	key := keyOf(p)
	delete(t.rows, key)
	delete(t.diff.Upserts, key)
	t.diff.Removed = append(t.diff.Removed, p)
	if left {
		t.diff.Left = append(t.diff.Left, p)
	}
}

// Merge takes a Directory message from a source. Members missing from a full
// list are expired only if the list is complete.
func (t *Table) Merge(now time.Duration, src Source, msg *wire.Directory) {
	for _, p := range msg.Deregistered {
		t.Leave(now, p)
	}
	for _, p := range msg.Removed {
		t.Expire(src, p)
	}
	for _, m := range msg.Upserts {
		t.Upsert(src, m)
	}
	if msg.Full && msg.Complete {
		t.expireUnlisted(src, msg.Upserts)
	}
}

func (t *Table) expireUnlisted(src Source, members []wire.Member) {
	listed := make(map[processKey]bool, len(members))
	for _, m := range members {
		listed[keyOf(m.Peer)] = true
	}
	for _, m := range t.MembersOf(src) {
		if !listed[keyOf(m.Peer)] {
			t.Expire(src, m.Peer)
		}
	}
}

// RemoveSource forgets all that a source vouched for.
func (t *Table) RemoveSource(src Source) { t.expireUnlisted(src, nil) }

// PurgeTombstones forgets goodbyes that are old enough.
func (t *Table) PurgeTombstones(now time.Duration) {
	for key, tomb := range t.tombstones {
		if tomb.expires <= now {
			delete(t.tombstones, key)
		}
	}
}
