package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/wire"
)

// modelProcess is a process as the reference model records it.
type modelProcess struct {
	incarnation, seq uint64
	slots            uint32
	expires          time.Duration
	leftIncarnation  uint64
}

func (p *modelProcess) live(now time.Duration) bool {
	return p.expires > now && p.incarnation > p.leftIncarnation
}

// harness drives one Reducer with announcements that are delayed, duplicated and
// reordered, and keeps the views of an entry and of a control host that watch it.
type harness struct {
	reducer     *Reducer
	now         time.Duration
	sent        []*wire.Announce
	nextSeq     map[string]uint64
	model       map[string]*modelProcess
	entryView   map[string]wire.Member
	controlView map[string]wire.Member
	complete    bool
}

const (
	entryConn   ConnID = 1000
	controlConn ConnID = 1001
	testLease          = 3 * time.Second
)

func newHarness(t require.TestingT) *harness {
	w := &harness{
		reducer: NewReducer(0), nextSeq: map[string]uint64{}, model: map[string]*modelProcess{},
		entryView: map[string]wire.Member{}, controlView: map[string]wire.Member{},
	}
	w.watch(entryConn, wire.RoleEntry)
	w.watch(controlConn, wire.RoleControl)
	return w
}

// watch adds a watcher. Its own lease has the shortest duration, so it expires
// early in the test.
func (w *harness) watch(conn ConnID, role wire.Role) {
	w.step(Event{Announce: &ReceivedAnnouncement{Conn: conn, Msg: &wire.Announce{
		From: wire.Peer{Role: role, ID: "watcher", Incarnation: 1}, Seq: 1, Lease: MinLease, Watch: true,
	}}})
}

func (w *harness) step(ev Event) {
	for _, e := range w.reducer.Step(w.now, ev, nil) {
		d, ok := e.Msg.(*wire.Directory)
		if !ok {
			continue
		}
		view := w.entryView
		if e.Conn == controlConn {
			view = w.controlView
		}
		w.complete = d.Complete || w.complete
		applyUpdate(view, d)
	}
}

// applyUpdate updates a view like a client that is connected to this host only.
func applyUpdate(view map[string]wire.Member, d *wire.Directory) {
	for _, p := range d.Removed {
		if view[p.ID].Peer.Incarnation <= p.Incarnation {
			delete(view, p.ID)
		}
	}
	if d.Full {
		clear(view)
	}
	for _, m := range d.Upserts {
		if m.Peer.Role == wire.RoleAgent {
			view[m.Peer.ID] = m
		}
	}
}

// advance moves the clock by d and delivers every tick that the reducer requests.
func (w *harness) advance(d time.Duration) {
	end := w.now + d
	for {
		at, ok := w.reducer.Next()
		if !ok || at > end {
			break
		}
		w.now = max(w.now, at)
		w.step(Event{})
	}
	w.now = end
	w.step(Event{})
}

func (w *harness) announcement(id string, incarnation uint64, slots uint32, leaving bool) *wire.Announce {
	w.nextSeq[id]++
	return &wire.Announce{
		From:   wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: incarnation},
		Seq:    w.nextSeq[id],
		Worker: &wire.Worker{Service: "s", Slots: slots}, Lease: testLease, Leaving: leaving,
	}
}

func (w *harness) deliver(m *wire.Announce) {
	w.step(Event{Announce: &ReceivedAnnouncement{Conn: 1, Msg: m}})
	p, ok := w.model[m.From.ID]
	if !ok {
		p = &modelProcess{}
		w.model[m.From.ID] = p
	}
	inForce := p.expires > w.now && p.incarnation > p.leftIncarnation
	stale := m.From.Incarnation < p.incarnation || m.From.Incarnation == p.incarnation && m.Seq <= p.seq
	switch {
	case m.From.Incarnation <= p.leftIncarnation, inForce && stale:
		return
	case m.Leaving:
		p.leftIncarnation = m.From.Incarnation
		return
	}
	*p = modelProcess{m.From.Incarnation, m.Seq, m.Worker.Slots, w.now + testLease, p.leftIncarnation}
}

// check compares the watchers' views with the model.
func (w *harness) check(t *rapid.T) {
	for _, view := range []map[string]wire.Member{w.entryView, w.controlView} {
		live := 0
		for id, p := range w.model {
			m, ok := view[id]
			require.Equal(t, p.live(w.now), ok, "%s at %s", id, w.now)
			if !ok {
				continue
			}
			live++
			require.Equal(t, p.incarnation, m.Peer.Incarnation)
			require.Equal(t, p.slots, m.Worker.Slots)
		}
		require.Len(t, view, live)
	}
}

// With announcements that are delayed, duplicated or reordered, and with processes
// that leave, crash and restart, every watcher has the model's list once the
// batching delay is over.
func TestReducerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newHarness(t)
		incarnation := map[string]uint64{}
		announce := func(t *rapid.T, leaving bool) {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 || leaving && incarnation[id] == 0 {
				incarnation[id]++
				w.nextSeq[id] = 0
			}
			m := w.announcement(id, 1+incarnation[id], rapid.Uint32Range(1, 3).Draw(t, "slots"), leaving)
			w.sent = append(w.sent, m)
			if rapid.Bool().Draw(t, "in time") {
				w.deliver(m)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"announce": func(t *rapid.T) { announce(t, false) },
			"leave":    func(t *rapid.T) { announce(t, rapid.IntRange(0, 2).Draw(t, "leave") == 0) },
			"again": func(t *rapid.T) {
				if len(w.sent) > 0 {
					w.deliver(rapid.SampledFrom(w.sent[max(0, len(w.sent)-6):]).Draw(t, "old message"))
				}
			},
			"wait": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "ticks")) * upsertDelay) },
			"": func(t *rapid.T) {
				w.advance(upsertDelay)
				w.check(t)
			},
		})
	})
}

// member returns a live agent whose slots equal its announcement sequence number.
func member(id string, incarnation, seq uint64) wire.Member {
	return wire.Member{Peer: wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: incarnation}, Seq: seq, Worker: &wire.Worker{Slots: uint32(seq)}}
}

func ids(ms []wire.Member) []string {
	out := []string{}
	for _, m := range ms {
		out = append(out, fmt.Sprint(m.Peer.ID, m.Peer.Incarnation))
	}
	return out
}

// A control host that has just restarted sends an empty list; a list must not
// remove members from the table until it is marked complete.
func TestIncompleteListRemovesNoMember(t *testing.T) {
	table := NewTable()
	table.Merge(0, "c1", &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("a", 1, 1), member("b", 1, 1)}})
	table.TakeDifference()
	table.Merge(0, "c1", &wire.Directory{Full: true})
	require.Equal(t, []string{"a1", "b1"}, ids(table.Members()))
	diff := table.TakeDifference()
	require.True(t, diff.Empty())
	table.Merge(0, "c1", &wire.Directory{Full: true, Upserts: []wire.Member{member("a", 1, 2)}})
	table.Merge(0, "c1", &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("a", 1, 2)}})
	require.Equal(t, []string{"a1"}, ids(table.Members()))
}

// The reducer marks its list as complete only after every lease has had time to
// be renewed.
func TestListCompleteAfterMaxLease(t *testing.T) {
	w := newHarness(t)
	w.advance(MaxLease - time.Millisecond)
	require.False(t, w.complete)
	w.advance(time.Millisecond)
	require.True(t, w.complete)
}

// A process stays listed while any control host reports it, and is removed
// immediately when it leaves through any of them. Delayed updates about it are
// ignored.
func TestMemberLivesWhileAnySourceReportsIt(t *testing.T) {
	table := NewTable()
	table.Upsert("c1", member("a", 1, 1))
	table.Upsert("c2", member("a", 1, 1))
	table.Expire("c1", member("a", 1, 1).Peer)
	require.Equal(t, []string{"a1"}, ids(table.Members()))
	table.Leave(0, member("a", 1, 1).Peer)
	require.Empty(t, table.Members())
	table.Upsert("c2", member("a", 1, 5))
	require.Empty(t, table.Members(), "a delayed update about a process that left")
	table.Upsert("c2", member("a", 2, 1))
	require.Equal(t, []string{"a2"}, ids(table.Members()))
	table.Expire("c2", member("a", 1, 1).Peer)
	table.Leave(0, member("a", 1, 1).Peer)
	require.Equal(t, []string{"a2"}, ids(table.Members()), "a delayed update about the previous incarnation")
}

// The members reported by another control host are kept for LostSourceGrace after
// the connection to it is lost.
func TestLostSourceExpiresAfterGrace(t *testing.T) {
	w := newHarness(t)
	w.advance(completeAfter)
	w.step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("a", 1, 1)}}}})
	w.step(Event{SourceLost: &SourceLost{Source: "c2"}})
	w.advance(LostSourceGrace - time.Millisecond)
	require.Contains(t, w.entryView, "a")
	require.NotContains(t, w.controlView, "a", "a control host reports only its own leases")
	w.advance(time.Millisecond)
	require.NotContains(t, w.entryView, "a")
}

// Members that a lost control host had reported stayed listed for ever: each failed dial
// of it reported the loss again and put off their removal.
func TestLostSourceExpiresWhileDialsFail(t *testing.T) {
	w := newHarness(t)
	w.advance(completeAfter)
	w.step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Full: true, Complete: true, Upserts: []wire.Member{member("a", 1, 1)}}}})
	for range LostSourceGrace / time.Second {
		w.step(Event{SourceLost: &SourceLost{Source: "c2"}})
		w.advance(time.Second)
	}
	require.NotContains(t, w.entryView, "a")
}

// A renewal without a change sends no message to the watchers; a new
// configuration index alone is sent to control hosts, not to entries.
func TestUnchangedRenewalSendsNoUpdate(t *testing.T) {
	w := newHarness(t)
	w.advance(completeAfter)
	w.deliver(w.announcement("a", 1, 4, false))
	w.advance(upsertDelay)
	messages := map[ConnID]int{}
	for n := range 100 {
		w.now += testLease / 3
		m := w.announcement("a", 1, 4, false)
		ev := Event{Announce: &ReceivedAnnouncement{Conn: 1, Msg: m, Index: uint64(n / 50)}}
		for _, e := range w.reducer.Step(w.now, ev, nil) {
			if _, ok := e.Msg.(*wire.Directory); ok {
				messages[e.Conn]++
			}
		}
	}
	require.Zero(t, messages[entryConn])
	require.Equal(t, 1, messages[controlConn])
}

func BenchmarkRenewals(b *testing.B) {
	const agents = 1500
	red := NewReducer(0)
	var now time.Duration
	msgs := make([]*wire.Announce, agents)
	for i := range msgs {
		msgs[i] = &wire.Announce{
			From:   wire.Peer{Role: wire.RoleAgent, ID: fmt.Sprint("agent-", i), Incarnation: 1},
			Worker: &wire.Worker{Service: "s", Slots: 8}, Lease: testLease,
		}
	}
	var out []Effect
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m := msgs[n%agents]
		m.Seq++
		now += time.Second / agents
		out = red.Step(now, Event{Announce: &ReceivedAnnouncement{Conn: 1, Msg: m}}, out[:0])
	}
}

// An update about an earlier incarnation does not replace a later one, whatever
// its Seq.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	table := NewTable()
	table.Upsert("c1", member("a", 2, 1))
	table.TakeDifference()
	table.Upsert("c2", member("a", 1, 9))
	require.Equal(t, []string{"a2"}, ids(table.Members()))
	diff := table.TakeDifference()
	require.True(t, diff.Empty())
}

// A process that joins and leaves between two differences is not listed by the
// second.
func TestLeaveBeforeFlushIsNotListed(t *testing.T) {
	w := newHarness(t)
	w.advance(completeAfter)
	w.deliver(w.announcement("a", 2, 4, false))
	w.deliver(w.announcement("a", 2, 4, true))
	w.advance(upsertDelay)
	require.Empty(t, w.entryView)
	require.Empty(t, w.controlView)
}

// A control host that starts to watch receives the leases held here, and no
// member that another control host reported.
func TestControlWatcherGetsLocalLeasesOnly(t *testing.T) {
	w := newHarness(t)
	w.deliver(w.announcement("a", 1, 4, false))
	w.step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Upserts: []wire.Member{member("b", 1, 1)}}}})
	full := w.reducer.fullList(watcher{conn: controlConn, scope: scopeLocal})
	require.Contains(t, ids(full.Upserts), "a1")
	require.NotContains(t, ids(full.Upserts), "b1")
	full = w.reducer.fullList(watcher{conn: entryConn})
	require.Contains(t, ids(full.Upserts), "b1")
}

// An agent that watches learns of the control hosts, of changes among them, and of no
// other process, or each start of a process would cost a message to every agent.
func TestAgentWatcherGetsControlHostsOnly(t *testing.T) {
	const agentConn ConnID = 1002
	r, now := NewReducer(0), time.Duration(0)
	var got []*wire.Directory
	step := func(ev Event) {
		for _, e := range r.Step(now, ev, nil) {
			if d, ok := e.Msg.(*wire.Directory); ok && e.Conn == agentConn {
				got = append(got, d)
			}
		}
	}
	host := func(id string) wire.Member {
		return wire.Member{Peer: wire.Peer{Role: wire.RoleControl, ID: id, Incarnation: 1, Addr: id}, Seq: 1}
	}
	step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Upserts: []wire.Member{host("c1"), member("a", 1, 1)}}}})
	now += upsertDelay
	step(Event{})
	step(Event{Announce: &ReceivedAnnouncement{Conn: agentConn, Msg: &wire.Announce{
		From: wire.Peer{Role: wire.RoleAgent, ID: "b", Incarnation: 1}, Seq: 1, Lease: testLease, Watch: true,
	}}})
	step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Upserts: []wire.Member{host("c3"), member("c", 1, 1)}}}})
	now += upsertDelay
	step(Event{})
	step(Event{Received: &ReceivedDirectory{Source: "c2", Msg: &wire.Directory{Removed: []wire.Peer{host("c1").Peer, member("a", 1, 1).Peer}}}})
	require.Len(t, got, 3)
	require.True(t, got[0].Full)
	require.Equal(t, []string{"c11"}, ids(got[0].Upserts))
	require.Equal(t, []string{"c31"}, ids(got[1].Upserts))
	require.Equal(t, []wire.Peer{host("c1").Peer}, got[2].Removed)
}

// Incarnations are numbered by the wall clock. A process that has left, and starts again
// after that clock was set back, is not listed for as long as the tombstone is kept. Its
// announcements are answered all the same.
func TestProcessWhoseWallClockWasSetBackIsListedAgain(t *testing.T) {
	w := newHarness(t)
	announce := func(incarnation, seq uint64, leaving bool) {
		w.step(Event{Announce: &ReceivedAnnouncement{Conn: 1, Msg: &wire.Announce{
			From: wire.Peer{Role: wire.RoleAgent, ID: "a", Incarnation: incarnation}, Seq: seq, Lease: testLease, Leaving: leaving,
		}}})
	}
	announce(9, 1, false)
	announce(9, 2, true)
	for range 10 {
		w.now += testLease
		announce(4, uint64(w.now), false)
	}
	w.now += upsertDelay
	w.step(Event{})
	listed := false
	for _, m := range w.entryView {
		listed = listed || m.Peer.ID == "a" && m.Peer.Incarnation == 4
	}
	require.True(t, listed, "not listed %s after its start", w.now)
}
