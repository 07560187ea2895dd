package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	benchAgents = 1500
	benchSlots  = 8
	benchTeams  = 260
	benchJob    = 20
)

// benchFleet is an entry connected to 1,500 simulated agents.
type benchFleet struct {
	e    *Entry
	out  []Effect
	seq  map[string]uint64
	now  time.Duration
	next uint64
	// locks is set if the agents keep job locks and the jobs have ids of their
	// callers.
	locks bool
	// objective is that of the jobs.
	objective time.Duration
}

func newBenchFleet(order queue.Order) *benchFleet { return newBenchFleetWith(order, false) }

func newBenchFleetWith(order queue.Order, locks bool) *benchFleet {
	cfg := &fleet.Config{
		Index:    1,
		Services: map[string]fleet.Service{"svc": {Name: "svc", MaxTasks: 1000, Deadline: time.Hour, MaxDeadline: time.Hour, MaxWaiting: 1 << 20}},
		Teams:    make(map[string]fleet.Team),
	}
	for i := range benchTeams {
		name := teamName(i)
		cfg.Teams[name] = fleet.Team{Name: name, Weight: 1}
	}
	f := &benchFleet{
		e:   New(Options{Self: wire.Peer{Role: wire.RoleEntry, ID: "e", Incarnation: 1}, Policy: placement.Credits{}, Order: order, Config: cfg}),
		seq: make(map[string]uint64),

		locks: locks,
	}
	d := wire.Directory{Full: true, Complete: true}
	for i := range benchAgents {
		id := fmt.Sprintf("a%04d", i)
		d.Upserts = append(d.Upserts, wire.Member{
			Peer:   wire.Peer{Role: wire.RoleAgent, ID: id, Incarnation: 1, Addr: id},
			Worker: &wire.Worker{Service: "svc", Slots: benchSlots},
		})
	}
	f.step(DirectoryChanged{Directory: d})
	return f
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// step handles an event and the agents' immediate replies to its effects.
func (f *benchFleet) step(ev Event) {
	f.now += time.Microsecond
	f.out = f.e.Step(f.now, ev, f.out[:0])
	for _, eff := range append([]Effect(nil), f.out...) {
		switch eff := eff.(type) {
		case Dial:
			f.seq[eff.Peer.ID]++
			w := &wire.Welcome{
				From:   eff.Peer,
				Worker: &wire.Worker{Service: "svc", Slots: benchSlots},
				Report: &wire.Report{Seq: f.seq[eff.Peer.ID], Credit: benchSlots, Slots: benchSlots},
			}
			if f.locks {
				w.RunsEndWithin = time.Second
			}
			f.step(Connected{Agent: eff.Peer.ID, Session: eff.Hello.Session, Welcome: w})
		case Send:
			f.finish(eff)
		}
	}
}

// finish grants the locks that an update requests and reports its tasks as complete.
func (f *benchFleet) finish(s Send) {
	f.seq[s.Agent]++
	r := &wire.Report{Seq: f.seq[s.Agent], Ack: s.Update.Seq, Credit: benchSlots, Slots: benchSlots}
	for _, t := range s.Update.Tasks {
		r.Outcomes = append(r.Outcomes, wire.Result{ID: t.ID, Outcome: task.Outcome{State: task.Complete, Ran: 100 * time.Millisecond}})
	}
	for _, l := range s.Update.Acquire {
		r.Locks = append(r.Locks, wire.LockAnswer{Ref: l.Ref, Submission: l.Submission, State: wire.LockGranted})
	}
	f.step(Received{Agent: s.Agent, Session: s.Session, Report: r})
}

func (f *benchFleet) submit(tasks int) {
	f.next++
	sub := task.Submission{Service: "svc", Team: teamName(int(f.next) % benchTeams), Job: true, Objective: f.objective, Tasks: make([]task.Spec, tasks)}
	if f.locks {
		sub.Ref = fmt.Sprintf("%016x", f.next)
	}
	for i := range sub.Tasks {
		sub.Tasks[i].DeclaredRunTime = 100 * time.Millisecond
	}
	f.step(Submit{ID: task.NewSubmissionID(1, f.next), Sub: sub})
}

// BenchmarkTasks places tasks on 1,500 agents and handles their outcomes. One
// operation is one task.
func BenchmarkTasks(b *testing.B) {
	f := newBenchFleet(queue.LeftOverSlowdown)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchJob {
		f.submit(benchJob)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// BenchmarkLockedTasks does the same for jobs that need a lock.
func BenchmarkLockedTasks(b *testing.B) {
	f := newBenchFleetWith(queue.LeftOverSlowdown, true)
	b.ReportAllocs()
	b.ResetTimer()
	for n := 0; n < b.N; n += benchJob {
		f.submit(benchJob)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "tasks/s")
}

// BenchmarkReconnectWithLocks loses and regains the sessions of 1,500 agents in turn
// while 500 jobs hold or await their locks.
func BenchmarkReconnectWithLocks(b *testing.B) {
	const jobs = 500
	f := newBenchFleetWith(queue.LeftOverSlowdown, true)
	for n := range uint64(jobs) {
		sub := job(1)
		sub.Service, sub.Team = "svc", teamName(int(n)%benchTeams)
		sub.Ref, sub.Deadline = fmt.Sprintf("%016x", n), time.Hour
		f.e.Step(f.now, Submit{ID: task.NewSubmissionID(1, n+1), Sub: sub}, nil)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for n := range b.N {
		id := fmt.Sprintf("a%04d", n%benchAgents)
		f.step(Disconnected{Agent: id, Session: f.e.agents[id].session})
	}
}

// BenchmarkStateMemory reports the memory used by an entry with 1,500 agents and
// 260 teams.
func BenchmarkStateMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f := newBenchFleet(queue.LeftOverSlowdown)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(f)
	}
}

// BenchmarkQueue takes tasks from a queue in which 260 teams have ten waiting
// jobs each, the worst case for the search for the lowest rank.
func BenchmarkQueue(b *testing.B) {
	q := queue.New(queue.LeftOverSlowdown)
	fill := func(i int) {
		q.Add(&queue.Job{Team: teamName(i % benchTeams), Arrived: time.Duration(i), LongestDeclared: time.Duration(1+i%7) * 100 * time.Millisecond}, uint32(1+i%140))
	}
	for i := range 10 * benchTeams {
		fill(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		j, _ := q.Head(time.Second)
		q.Dequeue(j)
		q.EndTask(j.Team)
		if q.Len() < 100*benchTeams {
			fill(i)
		}
	}
}
