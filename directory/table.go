// Package directory keeps the soft state of the fleet: the processes that are
// alive, as announced under leases. None of it is stored in the replicated log.
// Table merges the member lists of several sources and is used by control hosts
// and clients; Reducer is the directory of one control host.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// tombstoneTTL is how long a leave announcement suppresses delayed updates about
// the process that left.
const tombstoneTTL = time.Minute

// Source identifies where an update about a process comes from: Local for a
// lease held by this control host, otherwise the peer address of a control host.
type Source string

// Local is the source of the leases that this control host holds.
const Local Source = ""

// processKey identifies a process across restarts.
type processKey struct {
	role wire.Role
	id   string
}

func keyOf(p wire.Peer) processKey { return processKey{p.Role, p.ID} }

func compareKeys(a, b processKey) int {
	return cmp.Or(cmp.Compare(a.role, b.role), cmp.Compare(a.id, b.id))
}

// row is a live process and the sources that report it as live.
type row struct {
	member  wire.Member
	sources map[Source]bool
}

// tombstone records the incarnation that left and when the record expires.
type tombstone struct {
	incarnation uint64
	expires     time.Duration
}

// Table is the merged list of processes. A process is live while at least one
// source reports it; a leave announcement from any source removes it immediately.
type Table struct {
	rows       map[processKey]*row
	tombstones map[processKey]tombstone
	diff       Difference
}

// Difference collects the changes to a Table.
type Difference struct {
	Upserts map[processKey]Upsert
	Removed []wire.Peer
	// Left holds those in Removed that announced that they leave.
	Left []wire.Peer
}

// Upsert is a member that is new or has changed.
type Upsert struct {
	Member wire.Member
	// ConfigIndexOnly is set if no field but ConfigIndex has changed.
	ConfigIndexOnly bool
}

// Empty reports whether nothing changed.
func (d *Difference) Empty() bool { return len(d.Upserts) == 0 && len(d.Removed) == 0 }

// Message returns the difference as a wire message with the upserts sorted by
// role and id. Upserts of a configuration index alone are included only if
// includeIndexOnly is set.
func (d *Difference) Message(includeIndexOnly bool) *wire.Directory {
	msg := &wire.Directory{Removed: d.Removed, Deregistered: d.Left}
	for _, u := range d.Upserts {
		if includeIndexOnly || !u.ConfigIndexOnly {
			msg.Upserts = append(msg.Upserts, u.Member)
		}
	}
	sortMembers(msg.Upserts)
	return msg
}

// withRole returns the part of msg that is about processes of a role.
func withRole(msg *wire.Directory, role wire.Role) *wire.Directory {
	out := &wire.Directory{}
	for _, m := range msg.Upserts {
		if m.Peer.Role == role {
			out.Upserts = append(out.Upserts, m)
		}
	}
	of := func(peers []wire.Peer) (out []wire.Peer) {
		for _, p := range peers {
			if p.Role == role {
				out = append(out, p)
			}
		}
		return out
	}
	out.Removed, out.Deregistered = of(msg.Removed), of(msg.Deregistered)
	return out
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

// Members returns the processes that any source reports, sorted by role and id.
func (t *Table) Members() []wire.Member {
	return t.members(func(*row) bool { return true })
}

// MembersOf returns the processes that src reports, sorted by role and id.
func (t *Table) MembersOf(src Source) []wire.Member {
	return t.members(func(r *row) bool { return r.sources[src] })
}

// MembersWithRole returns the processes of a role, sorted by id.
func (t *Table) MembersWithRole(role wire.Role) []wire.Member {
	return t.members(func(r *row) bool { return r.member.Peer.Role == role })
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

// TakeDifference returns the changes since the last call and resets them.
func (t *Table) TakeDifference() Difference {
	d := t.diff
	t.diff = Difference{}
	return d
}

// Upsert records that a source reports a member as live. An update about an
// incarnation that is older than the known one, or that has left, is ignored.
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

// refresh merges an update about the known incarnation.
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

// recordUpsert adds an upsert to the difference. The upsert counts as a change of
// the configuration index alone only if every earlier one of the member did too.
func (t *Table) recordUpsert(key processKey, m wire.Member, indexOnly bool) {
	if t.diff.Upserts == nil {
		t.diff.Upserts = map[processKey]Upsert{}
	}
	if old, ok := t.diff.Upserts[key]; ok {
		indexOnly = indexOnly && old.ConfigIndexOnly
	}
	t.diff.Upserts[key] = Upsert{m, indexOnly}
}

// Expire records that a source no longer reports a process as live.
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

// Leave records a leave announcement. It removes the process even if other
// sources still report it.
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

// Merge applies a Directory message from a source. Members missing from a full
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

// expireUnlisted expires the processes that src reported and that are not among
// members.
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

// RemoveSource expires all processes that src reported.
func (t *Table) RemoveSource(src Source) { t.expireUnlisted(src, nil) }

// PurgeTombstones removes the tombstones that have expired.
func (t *Table) PurgeTombstones(now time.Duration) {
	for key, tomb := range t.tombstones {
		if tomb.expires <= now {
			delete(t.tombstones, key)
		}
	}
}
