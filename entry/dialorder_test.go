package entry

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// startReplay is an entry that starts on a small host. The handshakes in flight share
// its core; the agents answer lock requests at once.
type startReplay struct {
	*fixture
	dialing []*handshake // in order of their dials
	dialled []Dial
	silent  func(agent string) bool // whether an agent doesn't answer
	// startedAt lists when each job's first task was sent.
	startedAt []time.Duration
	started   map[task.SubmissionID]bool
	maxDials  int
}

type handshake struct {
	Dial
	left time.Duration
}

// handshakeTime is the time that a handshake takes of a small host's share of a core.
const handshakeTime = 17 * time.Millisecond

func newStartReplay(t *testing.T, dials, agents, domains int) *startReplay {
	b := newBenchFleet(queue.Urgent)
	f := &fixture{t: t, seq: make(map[string]uint64), runsEndWithin: testRunsEndWithin, locksKeptFor: time.Hour}
	f.e = New(Options{
		Self: wire.Peer{Role: wire.RoleEntry, ID: "e", Incarnation: 1}, Order: queue.Urgent, Config: b.e.cfg, Dials: dials,
	})
	r := &startReplay{fixture: f, started: map[task.SubmissionID]bool{}}
	r.silent = func(string) bool { return false }
	r.list(agents, domains)
	return r
}

func agentID(i int) string { return fmt.Sprintf("a%03d", i) }

// list announces agents spread over failure domains.
func (r *startReplay) list(agents, domains int) {
	d := wire.Directory{Full: true, Complete: true}
	for i := range agents {
		id := agentID(i)
		d.Upserts = append(d.Upserts, wire.Member{
			Peer:   wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: 1, Addr: id, Domain: fmt.Sprintf("d%d", i%domains)},
			Worker: &wire.Worker{Service: "svc"},
		})
	}
	r.handle(r.step(DirectoryChanged{Directory: d}))
}

// handle carries out effects.
func (r *startReplay) handle(effects []Effect) {
	for _, eff := range effects {
		switch eff := eff.(type) {
		case Dial:
			r.dialled = append(r.dialled, eff)
			if !r.silent(eff.Peer.ID) {
				r.dialing = append(r.dialing, &handshake{eff, handshakeTime})
			}
			r.maxDials = max(r.maxDials, len(r.dialing))
		case Send:
			r.receive(eff)
		}
	}
}

func (r *startReplay) receive(s Send) {
	for _, a := range s.Update.Tasks {
		if !r.started[a.ID.Submission] {
			r.started[a.ID.Submission] = true
			r.startedAt = append(r.startedAt, r.now)
		}
	}
	if len(s.Update.Acquire) == 0 {
		return
	}
	rep := r.report(s.Agent, benchSlots)
	for _, l := range s.Update.Acquire {
		rep.Locks = append(rep.Locks, wire.LockAnswer{Ref: l.Ref, Submission: l.Submission, State: wire.LockGranted})
	}
	r.handle(r.step(Received{Agent: s.Agent, Session: s.Session, Report: rep}))
}

// run advances the time by steps of a millisecond.
func (r *startReplay) run(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += time.Millisecond
		for _, h := range r.dialing {
			h.left -= time.Millisecond / time.Duration(len(r.dialing))
		}
		done := slices.IndexFunc(r.dialing, func(h *handshake) bool { return h.left <= 0 })
		if done >= 0 {
			h := r.dialing[done]
			r.dialing = slices.Delete(r.dialing, done, done+1)
			r.handle(r.connect(h.Dial))
		}
		if at, ok := r.e.Next(); ok && at <= r.now {
			r.handle(r.e.Step(r.now, Tick{}, nil))
		}
	}
}

// submitJobs submits jobs that callers have sent before the first session.
func (r *startReplay) submitJobs(n int) {
	for i := range n {
		sub := job(1)
		sub.Ref, sub.Deadline = fmt.Sprintf("%016x", i), 1500*time.Millisecond
		r.handle(r.submit(uint64(i+1), sub))
	}
}

// replayStart replays the start of an entry with 160 agents in 4 failure domains, which
// gets 40 jobs once its first session is open.
func replayStart(t *testing.T, dials int) (r *startReplay) {
	r = newStartReplay(t, dials, 160, 4)
	for r.e.runsEndWithin == 0 {
		r.run(time.Millisecond)
	}
	r.submitJobs(40)
	r.run(4 * time.Second)
	return r
}

// With all agents dialled at once, no session is open before nearly all are, and
// callers have left by then. With a bound the first jobs start after a few handshakes,
// and all of them long before the last session is open.
func TestBoundedDialsStartJobsEarly(t *testing.T) {
	const dials, callerWaits = 4, 1500 * time.Millisecond
	all, bounded := replayStart(t, 0), replayStart(t, dials)
	require.Greater(t, all.startedAt[0], callerWaits)
	require.Len(t, bounded.startedAt, 40)
	require.Less(t, bounded.startedAt[0], 12*handshakeTime)
	require.Less(t, bounded.startedAt[39], callerWaits)
	require.Equal(t, dials, bounded.maxDials)
	require.Equal(t, 160, all.maxDials)
	for _, a := range bounded.e.agents {
		require.Equal(t, linkOpen, a.link, a.ID)
	}
}

// Without waiting jobs the dials spread over the failure domains, in an order that
// differs between entries.
func TestDialsSpreadOverFailureDomains(t *testing.T) {
	const domains = 4
	r := newStartReplay(t, 2, 24, domains)
	r.run(2 * time.Second)
	require.Len(t, r.dialled, 24)
	for i, d := range r.dialled {
		for _, o := range r.dialled[i-i%domains : i] {
			require.NotEqual(t, o.Peer.Domain, d.Peer.Domain, "dial %d", i)
		}
	}
	var order []string
	for _, d := range r.dialled {
		order = append(order, d.Peer.ID)
	}
	require.False(t, slices.IsSorted(order))
}

// Agents that don't answer must not take the place of the others until their dials
// time out.
func TestSilentAgentsHoldUpNoDial(t *testing.T) {
	const silent = 20
	r := newStartReplay(t, 4, 0, 3)
	r.silent = func(id string) bool { return id < agentID(silent) }
	r.list(60, 3)
	r.run(dialTimeout)
	for id, a := range r.e.agents {
		require.Equal(t, r.silent(id), a.link != linkOpen, id)
	}
}

// The agent that keeps the outcome of a task is dialled first, then the members that
// the job needs for its lock, then the others, and last one that has not answered
// before.
func TestDialOrder(t *testing.T) {
	const agents = 9
	r := newStartReplay(t, 1, agents, 3)
	r.run(time.Second)
	r.handle(r.submit(1, jobWithRef(1)))
	ids := slices.Sorted(maps.Keys(r.e.agents))
	holder := ids[slices.IndexFunc(ids, func(id string) bool { return len(r.e.agents[id].sent) > 0 })]
	r.dialled = nil
	r.silent = func(string) bool { return true }
	lose := func(id string) {
		r.handle(r.step(Disconnected{Agent: id, Session: r.e.agents[id].session}))
	}
	lose(ids[0])
	for _, id := range ids[1:] {
		if id != holder {
			lose(id)
		}
	}
	r.handle(r.submit(2, task.Submission{Job: true, Tasks: make([]task.Spec, 1), Ref: testRef + "x", Deadline: time.Second}))
	var members []string
	for _, a := range r.e.subs[task.NewSubmissionID(1, 2)].lock.members {
		members = append(members, a.ID)
	}
	require.NotEqual(t, ids[0], holder)
	lose(holder)
	failed := ids[slices.IndexFunc(ids[1:], func(id string) bool { return id != holder && !slices.Contains(members, id) })+1]
	r.e.agents[failed].redialDelay = 2 * minRedialDelay
	r.run(agents * dialSlotTime)
	var order []string
	for _, d := range r.dialled {
		order = append(order, d.Peer.ID)
	}
	require.Len(t, order, agents)
	require.Equal(t, []string{ids[0], holder}, order[:2])
	needed := slices.DeleteFunc(members, func(id string) bool { return slices.Contains(order[:2], id) })
	require.ElementsMatch(t, needed, order[2:2+len(needed)])
	require.Equal(t, failed, order[agents-1])
}
