package agent

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// -agent.steps makes the differential test's runs longer; -rapid.checks makes
// more of them.
var steps = flag.Int("agent.steps", 120, "actions in each run of the differential test")

func testConfig(t *rapid.T) Config {
	policies := []Policy{Sticky{Factor: 2}, ByRank{}, Split{}}
	return Config{
		Policy:         policies[rapid.IntRange(0, len(policies)-1).Draw(t, "policy")],
		Prefetch:       rapid.IntRange(0, 2).Draw(t, "prefetch"),
		SuspendAfter:   3,
		EntryTTL:       2 * time.Minute,
		MaxFinishedIDs: []int{2, 1 << 10}[rapid.IntRange(0, 1).Draw(t, "pastIDs")],
	}
}

func testUpstream(instance string, canStop bool) Upstream {
	return Upstream{
		Instance: instance, Service: "s", Slots: 3, Connections: 8, Lease: 3 * time.Second,
		Offered: task.Resources{MilliCPU: 4000}, CanStop: canStop, CanStatus: true,
	}
}

// The agent decides as the naive version does, and what it says is true, while
// messages are held up, doubled, reordered and lost, sessions are replaced, and
// the agent and its upstream are frozen and restarted.
func TestAgentMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig(t)
		w := newWorld(t, cfg, 2)
		canStop := rapid.Bool().Draw(t, "canStop")
		instance := "a"
		w.step(Announced{testUpstream(instance, canStop)})
		for range *steps {
			if w.drained {
				w.boot(cfg)
			}
			instance = w.randomAction(cfg, instance, canStop)
		}
		w.recoverAll(cfg, canStop)
	})
}

// randomAction does one thing that may happen at any moment.
func (w *world) randomAction(cfg Config, instance string, canStop bool) string {
	t := w.t
	e := w.entries[w.drawInt(len(w.entries))]
	action := w.drawInt(100)
	switch {
	case action < 20:
		w.entryAction(e)
	case action < 55:
		w.networkAction(e)
	case action < 75 && w.probing:
		w.probing = false
		w.step(Probed{Instance: instance, OK: w.drawInt(5) > 0})
	case action < 75:
		if r := w.anyRun(); r != nil {
			w.finish(r, w.drawInt(15))
		}
	case action < 83:
		w.advance(time.Duration(1+w.drawInt(400)) * time.Millisecond)
	case action < 93:
		w.step(Announced{testUpstream(instance, canStop)})
	case action < 94:
		w.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "frozen")) * time.Second
	case action < 97:
		if w.drawInt(4) == 0 {
			w.step(Left{Instance: instance})
		}
		instance += "a"
		w.step(Announced{testUpstream(instance, canStop)})
	case action < 99:
		if r := w.anyRun(); r != nil {
			w.check(r)
		}
	default:
		if rapid.Bool().Draw(t, "drain") {
			w.step(Drain{})
		} else {
			w.boot(cfg)
		}
	}
	return instance
}

func (w *world) anyRun() *fakeRun {
	for id := RunID(0); id <= w.state.lastRun; id++ {
		if r := w.runs[id]; r != nil && rapid.Bool().Draw(w.t, "this") {
			return r
		}
	}
	return nil
}

// check answers a question about a run truthfully: the upstream misses only
// what it never started.
func (w *world) check(r *fakeRun) {
	v := VerdictRunning
	if !r.starts {
		v = VerdictMissing
		delete(w.runs, r.Run)
	}
	if w.drawInt(4) == 0 {
		v = VerdictUnreachable
	}
	w.step(RunChecked{Run: r.Run, Verdict: v})
}

func (w *world) entryAction(e *fakeEntry) {
	t := w.t
	if e.conn == nil {
		w.dial(e)
		w.now += transit
		return
	}
	if !e.welcomed {
		w.deliver(e.conn)
		return
	}
	var tasks []wire.Assignment
	for range rapid.IntRange(0, 3).Draw(t, "tasks") {
		tasks = append(tasks, wire.Assignment{
			Spec:        task.Spec{Need: task.Resources{MilliCPU: uint32(w.drawInt(6)) * 1000}},
			Rank:        float64(rapid.IntRange(0, 4).Draw(t, "rank")),
			StartWithin: time.Duration(w.drawInt(5)) * 300 * time.Millisecond,
			RunWithin:   time.Duration(rapid.IntRange(1, 3).Draw(t, "run")) * time.Second,
		})
	}
	var cancel []task.ID
	for _, id := range e.pending {
		if w.drawInt(12) == 0 {
			cancel = append(cancel, id)
		}
	}
	if w.drawInt(20) == 0 {
		early := e.newID()
		e.pending = append(e.pending, early)
		cancel = append(cancel, early)
	}
	w.send(e, tasks, cancel)
	w.now += transit
}

func (w *world) networkAction(e *fakeEntry) {
	c := e.conn
	if c == nil || w.drawInt(10) == 0 {
		c = w.anyConn()
	}
	if c == nil {
		return
	}
	switch w.drawInt(100) {
	case 0:
		w.cut(c)
	case 1:
		w.cut(c)
		w.step(SessionClosed{Session: c.id})
	case 2:
		if c.last != nil {
			w.step(c.last)
		}
	case 3:
		if len(c.inbox) > 1 {
			c.inbox[0], c.inbox[1] = c.inbox[1], c.inbox[0]
		}
	case 4:
		if len(c.inbox) > 0 {
			c.inbox = c.inbox[1:]
			w.cut(c)
		}
	case 5:
		w.dial(e)
	default:
		w.deliver(c)
	}
}

func (w *world) anyConn() *fakeConn {
	var list []*fakeConn
	for id := SessionID(1); id <= w.lastID; id++ {
		c := w.conns[id]
		if c != nil && (!c.cut || len(c.inbox) > 0) {
			list = append(list, c)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[w.drawInt(len(list))]
}

// recoverAll ends all faults. Every entry must then learn each task's outcome, and
// the agent must hold nothing.
func (w *world) recoverAll(cfg Config, canStop bool) {
	if w.naive.drain {
		w.boot(cfg)
	}
	for range 40 {
		w.step(Announced{testUpstream("last", canStop)})
		for id := RunID(0); id <= w.state.lastRun; id++ {
			if r := w.runs[id]; r != nil {
				w.finish(r, 0)
			}
		}
		for _, e := range w.entries {
			if e.conn == nil {
				w.dial(e)
			}
			w.now += transit
			for c := e.conn; c != nil && len(c.inbox) > 0; {
				w.deliver(c)
			}
			if e.conn != nil && e.welcomed {
				w.send(e, nil, nil)
				w.deliver(e.conn)
			}
		}
		w.advance(time.Second)
	}
	for _, e := range w.entries {
		if len(e.pending) > 0 {
			w.t.Fatalf("%s never learnt the outcome of %v", e.peer.ID, e.pending)
		}
	}
	if n := len(w.state.tasks); n > 0 {
		w.t.Fatalf("agent still holds %d tasks", n)
	}
}

func TestFinishedIDsEvictOldestOnly(t *testing.T) {
	p := newFinishedIDs(3)
	id := func(n uint64) task.ID { return task.ID{Submission: task.NewSubmissionID(1, n)} }
	for n := range uint64(5) {
		p.add(id(n))
		p.add(id(n))
	}
	for n := range uint64(5) {
		require.Equal(t, n >= 2, p.has(id(n)), "id %d", n)
	}
	require.Len(t, p.ids, 3)
}
