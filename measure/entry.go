package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/load/workload"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// reducerAgentCounts are the numbers of agents known to one reducer.
var reducerAgentCounts = []int{10, 50, 200, 1500}

const (
	reducerSeed = 1
	agentSlots  = 8
	// decisionCount is the number of tasks placed and answered for each number of
	// agents.
	decisionCount = 200_000
	// jobsInFlight is the number of jobs submitted at once, enough that tasks queue
	// at the entry.
	jobsInFlight = 50
	team         = "team-1"
	service      = "alert-core"
)

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	// The first collection does not free objects held by sync.Pool or finalizers.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func fleetConfig() *fleet.Config {
	return &fleet.Config{
		Index: 1,
		Services: map[string]fleet.Service{service: {
			Name: service, MaxTasks: 140, MaxBody: 1 << 20, Deadline: time.Minute, MaxDeadline: time.Hour,
			MaxWaiting: 1 << 20, KeyKeep: time.Hour,
		}},
		Teams: map[string]fleet.Team{team: {Name: team, Weight: 1}},
		Retry: fleet.Retry{Budget: 0.1, MaxAttempts: 3},
	}
}

// entryBench drives one entry's reducer with simulated agents that answer
// immediately.
type entryBench struct {
	entry        *entry.Entry
	now          time.Duration
	sessions     map[string]uint64
	seqs         map[string]uint64
	pendingSends []entry.Send
	answered     int
	tasks        int
}

func newEntryBench(agents int) *entryBench {
	b := &entryBench{
		entry: entry.New(entry.Options{
			Self:   wire.Peer{Role: wire.RoleEntry, ID: "entry-1", Incarnation: 1},
			Policy: placement.Credits{}, Order: queue.LeftOverSlowdown, Seed: reducerSeed, Config: fleetConfig(),
		}),
		sessions: map[string]uint64{},
		seqs:     map[string]uint64{},
	}
	d := members(agents)
	d.Full, d.Complete = true, true
	b.step(entry.DirectoryChanged{Directory: *d})
	return b
}

func (b *entryBench) step(ev entry.Event) {
	b.now += time.Microsecond
	for _, eff := range b.entry.Step(b.now, ev, nil) {
		b.execute(eff)
	}
}

func (b *entryBench) execute(eff entry.Effect) {
	switch eff := eff.(type) {
	case entry.Dial:
		b.sessions[eff.Peer.ID] = eff.Hello.Session
		welcome := &wire.Welcome{From: eff.Peer, Worker: worker(), Report: b.report(eff.Peer.ID, 0)}
		b.step(entry.Connected{Agent: eff.Peer.ID, Session: eff.Hello.Session, Welcome: welcome})
	case entry.Send:
		b.pendingSends = append(b.pendingSends, eff)
	case entry.Answer:
		b.answered++
	}
}

func (b *entryBench) report(agent string, ack uint64) *wire.Report {
	b.seqs[agent]++
	return &wire.Report{Seq: b.seqs[agent], Ack: ack, Credit: agentSlots, Slots: agentSlots}
}

// answerUpdates sends a report for every update sent so far.
func (b *entryBench) answerUpdates() {
	sends := b.pendingSends
	b.pendingSends = nil
	for _, s := range sends {
		r := b.report(s.Agent, s.Update.Seq)
		for _, a := range s.Update.Tasks {
			out := task.Outcome{State: task.Complete, Ran: time.Millisecond, Where: s.Agent}
			r.Outcomes = append(r.Outcomes, wire.Result{ID: a.ID, Outcome: out})
		}
		b.tasks += len(s.Update.Tasks)
		b.step(entry.Received{Agent: s.Agent, Session: s.Session, Report: r})
	}
}

// run submits and answers jobs until at least the given number of tasks is done.
func (b *entryBench) run(gen *workload.Generator, tasks int) error {
	for n := uint64(0); b.tasks < tasks; n++ {
		before := b.tasks
		for range jobsInFlight {
			b.submit(gen)
		}
		for len(b.pendingSends) > 0 {
			b.answerUpdates()
		}
		if b.tasks == before {
			return fmt.Errorf("measure: the entry placed no tasks on %d agents", len(b.sessions))
		}
	}
	return nil
}

func (b *entryBench) submit(gen *workload.Generator) {
	s := gen.Next()
	sub := task.Submission{Service: service, Team: team, Job: true}
	for _, t := range s.Tasks {
		sub.Tasks = append(sub.Tasks, task.Spec{DeclaredRunTime: t.Declared})
	}
	b.step(entry.Submit{ID: task.NewSubmissionID(1, uint64(s.N+1)), Sub: sub})
}

// measureEntry measures the memory of an entry's reducer and its time per task as
// functions of the number of agents.
func measureEntry(r *Result) error {
	memory := Series{Name: "entry.state-bytes.agents", Axis: AxisAgents, Unit: "bytes"}
	cost := Series{Name: "entry.decision-ns.agents", Axis: AxisAgents, Unit: "ns a task, submit to answer"}
	for _, n := range reducerAgentCounts {
		before := heapBytes()
		b := newEntryBench(n)
		x := float64(n)
		memory.Points = append(memory.Points, Point{x, heapBytes() - before})
		ns, err := timeDecisions(b)
		if err != nil {
			return err
		}
		cost.Points = append(cost.Points, Point{x, ns})
		runtime.KeepAlive(b)
	}
	if err := r.add(memory); err != nil {
		return err
	}
	return r.add(cost)
}

// timeDecisions returns the mean time per task in nanoseconds.
func timeDecisions(b *entryBench) (float64, error) {
	cfg := workload.Default(reducerSeed)
	cfg.Rate = 1
	gen, err := workload.New(cfg)
	if err != nil {
		return 0, err
	}
	start := time.Now()
	if err := b.run(gen, decisionCount); err != nil {
		return 0, err
	}
	return float64(time.Since(start)) / float64(b.tasks), nil
}
