package directory

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

const (
	// MaxLease is the longest lease that is granted.
	MaxLease = 10 * time.Second
	// MinLease is the shortest lease that is granted.
	MinLease = time.Second
	// completeAfter is how long after its start a control host's list may still
	// lack live processes.
	completeAfter = MaxLease
	// upsertDelay is the delay for batching announcements into one message to
	// each watcher.
	upsertDelay = 100 * time.Millisecond
	// configIndexDelay is the delay for batching changes of configuration
	// indices.
	configIndexDelay = 250 * time.Millisecond
	never            = time.Duration(1<<63 - 1)
)

// ConnID identifies a connection to this control host. It is never reused.
type ConnID uint64

// OwnConn stands for this control host itself in effects.
const OwnConn ConnID = 0

// Event is an input of the Reducer. At most one pointer is set; an empty Event
// is a timer tick.
type Event struct {
	Announce   *ReceivedAnnouncement
	ConnClosed *ConnClosed
	Received   *ReceivedDirectory
	SourceLost *SourceLost
	Quorum     *Quorum
	Subscribe  *Subscribe
	Query      *MembersQuery
	Domains    *DomainsQuery
}

// ReceivedAnnouncement is an announcement received on a connection of this host.
type ReceivedAnnouncement struct {
	Conn ConnID
	Msg  *wire.Announce
	// Index is the configuration index of the frame's stamp.
	Index uint64
}

// ConnClosed reports that a connection has ended. Leases announced over it stay
// in force until they expire.
type ConnClosed struct{ Conn ConnID }

// ReceivedDirectory is a Directory message received from another control host.
type ReceivedDirectory struct {
	Source Source
	Msg    *wire.Directory
}

// SourceLost reports that the connection to another control host has ended.
type SourceLost struct{ Source Source }

// Quorum reports whether this control host has recently heard from a quorum.
type Quorum struct{ Fresh bool }

// Subscribe makes the reducer send each change of the listed control hosts to OwnConn,
// as a full list.
type Subscribe struct{}

// MembersQuery asks for all members. Reply is called with them on the event loop.
type MembersQuery struct{ Reply func([]wire.Member) }

// Effect is an output of the Reducer: a message for a connection.
type Effect struct {
	Conn ConnID
	Msg  wire.Message
}

// lease is the announcement of a process that is in force at this control host.
type lease struct {
	peer    wire.Peer
	seq     uint64
	expires time.Duration
}

// watcher is a connection that receives differences.
type watcher struct {
	conn  ConnID
	scope scope
}

// scope is the part of the list that a watcher receives.
type scope uint8

const (
	// scopeAll is the merged list, for entries.
	scopeAll scope = iota
	// scopeLocal holds the leases of this host only, for control hosts, so that no
	// control host passes on what another one reported.
	scopeLocal
	// scopeControlHosts holds the control hosts of the merged list, for agents.
	scopeControlHosts
)

func scopeOf(r wire.Role) scope {
	switch r {
	case wire.RoleControl:
		return scopeLocal
	case wire.RoleAgent:
		return scopeControlHosts
	}
	return scopeAll
}

// Reducer is the directory of one control host.
type Reducer struct {
	table *Table
	// leases holds the announcements made to this host; local is the same data
	// as a Table, sent to other control hosts.
	leases   map[processKey]*lease
	local    *Table
	watchers []watcher
	lost     LostSources
	// domains holds the failure domains seen since the start.
	domains     domainSet
	quorumFresh bool
	complete    bool
	startedAt   time.Duration
	flushAt     time.Duration
	// wakeAt is not later than the first expiry of a lease or a lost source.
	wakeAt time.Duration
}

// NewReducer returns the directory of a control host that starts at now.
func NewReducer(now time.Duration) *Reducer {
	return &Reducer{
		table: NewTable(), leases: map[processKey]*lease{}, local: NewTable(),
		lost: LostSources{}, domains: domainSet{}, startedAt: now, flushAt: never, wakeAt: never,
	}
}

// Next returns the time of the next tick; false means that none is due.
func (r *Reducer) Next() (time.Duration, bool) {
	at := min(r.flushAt, r.wakeAt)
	if !r.complete {
		at = min(at, r.startedAt+completeAfter)
	}
	return at, at != never
}

// Step handles one event and appends the resulting effects to out.
func (r *Reducer) Step(now time.Duration, ev Event, out []Effect) []Effect {
	switch {
	case ev.Announce != nil:
		out = r.announce(now, ev.Announce, out)
	case ev.ConnClosed != nil:
		r.watchers = slices.DeleteFunc(r.watchers, func(w watcher) bool { return w.conn == ev.ConnClosed.Conn })
	case ev.Received != nil:
		r.lost.Returned(ev.Received.Source)
		r.domains.addMembers(ev.Received.Msg.Upserts)
		r.table.Merge(now, ev.Received.Source, ev.Received.Msg)
	case ev.SourceLost != nil:
		r.lost.Lost(now, ev.SourceLost.Source)
		r.wakeAt = min(r.wakeAt, now+LostSourceGrace)
	case ev.Quorum != nil:
		r.quorumFresh = ev.Quorum.Fresh
	case ev.Subscribe != nil:
		r.watchers = append(r.watchers, watcher{OwnConn, scopeControlHosts})
	case ev.Query != nil:
		ev.Query.Reply(r.table.Members())
	}
	r.expire(now)
	out = r.markComplete(now, out)
	if ev.Domains != nil {
		ev.Domains.Reply(r.domains.sorted(), r.complete)
	}
	return r.flush(now, out)
}

func (r *Reducer) announce(now time.Duration, a *ReceivedAnnouncement, out []Effect) []Effect {
	key, known := keyOf(a.Msg.From), r.leases[keyOf(a.Msg.From)]
	if known != nil && stale(known, a.Msg) {
		return out
	}
	if a.Msg.Leaving {
		delete(r.leases, key)
		r.table.Leave(now, a.Msg.From)
		r.local.Leave(now, a.Msg.From)
		return append(out, Effect{a.Conn, &wire.Announced{Seq: a.Msg.Seq, Fresh: r.quorumFresh}})
	}
	r.domains.add(a.Msg.From.Domain)
	l := &lease{peer: a.Msg.From, seq: a.Msg.Seq, expires: now + min(max(a.Msg.Lease, MinLease), MaxLease)}
	r.wakeAt = min(r.wakeAt, l.expires)
	r.leases[key] = l
	m := wire.Member{Peer: l.peer, Worker: a.Msg.Worker, ConfigIndex: a.Index, Seq: l.seq}
	r.table.Upsert(Local, m)
	r.local.Upsert(Local, m)
	out = append(out, Effect{a.Conn, &wire.Announced{Seq: a.Msg.Seq, Fresh: r.quorumFresh}})
	if a.Msg.Watch {
		out = r.watch(a, out)
	}
	return out
}

// stale reports whether an announcement is older than the one in force for the
// lease.
func stale(l *lease, m *wire.Announce) bool {
	if m.From.Incarnation != l.peer.Incarnation {
		return m.From.Incarnation < l.peer.Incarnation
	}
	return m.Seq <= l.seq
}

// watch adds a watcher and sends it the full list.
func (r *Reducer) watch(a *ReceivedAnnouncement, out []Effect) []Effect {
	if slices.ContainsFunc(r.watchers, func(w watcher) bool { return w.conn == a.Conn }) {
		return out
	}
	w := watcher{a.Conn, scopeOf(a.Msg.From.Role)}
	r.watchers = append(r.watchers, w)
	return append(out, Effect{w.conn, r.fullList(w)})
}

func (r *Reducer) fullList(w watcher) *wire.Directory {
	var members []wire.Member
	switch w.scope {
	case scopeLocal:
		members = r.local.Members()
	case scopeControlHosts:
		members = r.table.MembersWithRole(wire.RoleControl)
	default:
		members = r.table.Members()
	}
	return &wire.Directory{Full: true, Complete: r.complete, Upserts: members}
}

// expire removes expired leases and the members of sources that have been lost
// for LostSourceGrace. It scans all of them, but not before wakeAt, when the first
// may have expired.
func (r *Reducer) expire(now time.Duration) {
	if now < r.wakeAt {
		return
	}
	r.wakeAt = never
	for key, l := range r.leases {
		if l.expires > now {
			r.wakeAt = min(r.wakeAt, l.expires)
			continue
		}
		delete(r.leases, key)
		r.table.Expire(Local, l.peer)
		r.local.Expire(Local, l.peer)
	}
	r.wakeAt = min(r.wakeAt, r.lost.Expire(now, r.table))
	r.table.PurgeTombstones(now)
	r.local.PurgeTombstones(now)
}

// markComplete marks the list complete once every live process has had the time
// to announce itself, and sends all watchers the full list again.
func (r *Reducer) markComplete(now time.Duration, out []Effect) []Effect {
	if r.complete || now < r.startedAt+completeAfter {
		return out
	}
	r.complete = true
	for _, w := range r.watchers {
		out = append(out, Effect{w.conn, r.fullList(w)})
	}
	return out
}

// flush sends the differences to the watchers: removals immediately, upserts after
// a delay so that several share one message.
func (r *Reducer) flush(now time.Duration, out []Effect) []Effect {
	r.flushAt = min(r.flushAt, flushTime(now, &r.table.diff), flushTime(now, &r.local.diff))
	if r.flushAt > now {
		return out
	}
	r.flushAt = never
	merged, local := r.table.TakeDifference(), r.local.TakeDifference()
	all := merged.Message(false)
	messages := [...]*wire.Directory{scopeAll: all, scopeLocal: local.Message(true), scopeControlHosts: withRole(all, wire.RoleControl)}
	for _, w := range r.watchers {
		msg := messages[w.scope]
		switch {
		case len(msg.Upserts)+len(msg.Removed) == 0:
		case w.conn == OwnConn:
			out = append(out, Effect{OwnConn, r.fullList(w)})
		default:
			out = append(out, Effect{w.conn, msg})
		}
	}
	return out
}

// flushTime returns when the changes in d are to be sent: removals now, upserts
// after their delay, and never if there is nothing to send.
func flushTime(now time.Duration, d *Difference) time.Duration {
	if len(d.Removed) > 0 {
		return now
	}
	at := never
	for _, u := range d.Upserts {
		if !u.ConfigIndexOnly {
			return now + upsertDelay
		}
		at = now + configIndexDelay
	}
	return at
}
