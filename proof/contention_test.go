package proof

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// jobClass describes one kind of jobs of a load. The sizes and times are means of
// log-normal distributions.
type jobClass struct {
	name     string
	share    float64 // of the jobs
	tasks    float64
	run      time.Duration
	priority uint32
}

// threeClasses are wide short jobs that are the most urgent, narrow ones, and long ones
// that are the least urgent. Each has about a third of the work.
var threeClasses = []jobClass{
	{"wide", 0.245, 8, 60 * time.Millisecond, 0},
	{"narrow", 0.711, 2, 200 * time.Millisecond, 1},
	{"long", 0.044, 4, 900 * time.Millisecond, 2},
}

const (
	// contentionSpread is the deviation of the logarithm of widths and run times,
	// declaredSpread that of a declared run time from the real one.
	contentionSpread = 0.4
	declaredSpread   = 0.3
	// objectiveFactor and objectiveSlack give a job's objective from its longest task.
	objectiveFactor = 1.6
	objectiveSlack  = 60 * time.Millisecond
	meanNeedCPU     = 3100
)

// contention is a load near the room of a few upstreams, which comes to several entries
// in unequal shares.
type contention struct {
	// load is the offered work as a share of the room.
	load    float64
	length  time.Duration
	options simulationOptions
	// shares are those of the entries.
	shares []float64
}

// classResult counts the ends of the jobs of one class.
type classResult struct{ inAim, late, refused int }

func (c *classResult) total() int { return c.inAim + c.late + c.refused }

type contentionResult struct {
	classes  map[string]*classResult
	messages int
	jobs     int
	// samples were taken of the room and of where tasks were.
	samples                                int
	room, running, queued, waiting, credit float64
}

func (r contentionResult) refused() int {
	n := 0
	for _, c := range r.classes {
		n += c.refused
	}
	return n
}

func (r contentionResult) inAim() int {
	n := 0
	for _, c := range r.classes {
		n += c.inAim
	}
	return n
}

func (r contentionResult) String() string {
	s := ""
	for _, c := range threeClasses {
		if got := r.classes[c.name]; got != nil {
			s += fmt.Sprintf("%s in aim %d, late %d, refused %d; ", c.name, got.inAim, got.late, got.refused)
		}
	}
	n := float64(max(1, r.samples))
	return s + fmt.Sprintf("%.2f messages a job; room %.0f, running %.1f, queued %.1f, waiting %.1f, credit %.1f",
		float64(r.messages)/float64(max(1, r.jobs)), r.room/n, r.running/n, r.queued/n, r.waiting/n, r.credit/n)
}

func (r *contentionResult) add(o contentionResult) {
	if r.classes == nil {
		r.classes = map[string]*classResult{}
	}
	for name, c := range o.classes {
		if r.classes[name] == nil {
			r.classes[name] = &classResult{}
		}
		r.classes[name].inAim += c.inAim
		r.classes[name].late += c.late
		r.classes[name].refused += c.refused
	}
	r.messages += o.messages
	r.jobs += o.jobs
	r.samples += o.samples
	r.room += o.room
	r.running += o.running
	r.queued += o.queued
	r.waiting += o.waiting
	r.credit += o.credit
}

// draw returns a job of a class and its real objective.
func (c jobClass) draw(rng *rand.Rand) (task.Submission, time.Duration) {
	spread := func(mean, deviation float64) float64 {
		return mean * math.Exp(deviation*rng.NormFloat64()-deviation*deviation/2)
	}
	sub := task.Submission{Service: "svc", Team: "t0", Job: true, Priority: c.priority, Restart: true, MaxAttempts: 4, Route: c.name}
	real := spread(float64(c.run), contentionSpread)
	declared := time.Duration(spread(real, declaredSpread))
	longest := 0.0
	for range max(1, int(math.Round(spread(c.tasks, contentionSpread)))) {
		run := spread(real, 0.15)
		longest = max(longest, run)
		sub.Tasks = append(sub.Tasks, task.Spec{
			Payload: payload(time.Duration(run)), DeclaredRunTime: declared,
			Need: task.Resources{MilliCPU: uint32(spread(meanNeedCPU, 0.2)), MemoryMB: 64},
		})
	}
	sub.Objective = time.Duration(objectiveFactor*float64(declared)) + objectiveSlack
	sub.Deadline = 1500*time.Millisecond + 3*declared
	return sub, time.Duration(objectiveFactor*longest) + objectiveSlack
}

// meanWork is the mean slot time of a job, in seconds.
func meanWork(classes []jobClass) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += c.share * c.tasks * c.run.Seconds()
	}
	return sum
}

// play offers the load and returns how its jobs ended.
func (c contention) play() contentionResult {
	sim := newSimulation(c.options)
	sim.jitter = c.options.linkDelay
	sim.run(time.Second)
	rng := rand.New(rand.NewPCG(c.options.seed, 9))
	room := 0.0
	for _, a := range sim.agents {
		room += float64(a.worker.cpu) / meanNeedCPU / a.worker.slowdown
	}
	objectives := map[task.SubmissionID]time.Duration{}
	classOf := map[task.SubmissionID]string{}
	rate := c.load * room / meanWork(threeClasses)
	for at := sim.now; at < sim.now+c.length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		class := threeClasses[pickShare(rng, []float64{threeClasses[0].share, threeClasses[1].share, threeClasses[2].share})]
		sub, objective := class.draw(rng)
		to := pickShare(rng, c.shares) % len(sim.entries)
		sim.at(at, func() {
			id := sim.submit(sim.entries[to], sub)
			objectives[id], classOf[id] = objective, class.name
		})
	}
	before := sim.messages
	r := contentionResult{classes: map[string]*classResult{}}
	for at := sim.now; at < sim.now+c.length; at += samplePeriod {
		sim.at(at, func() { r.sample(sim, room) })
	}
	sim.run(sim.now + c.length + 10*time.Second)
	r.messages, r.jobs = sim.messages-before, len(objectives)
	for _, class := range threeClasses {
		r.classes[class.name] = &classResult{}
	}
	for id, objective := range objectives {
		got := r.classes[classOf[id]]
		switch {
		case len(sim.answers[id]) == 0 || sim.answers[id][0].State != task.Complete:
			got.refused++
		case sim.latency[id] <= objective:
			got.inAim++
		default:
			got.late++
		}
	}
	return r
}

// samplePeriod is the time between two samples of where tasks are.
const samplePeriod = 5 * time.Millisecond

// sample adds a sample of where tasks are: running or queued at agents, or waiting at
// entries, and of the credit that entries have not used.
func (r *contentionResult) sample(sim *simulation, room float64) {
	r.samples++
	r.room += room
	for _, a := range sim.agents {
		running, queued := a.reducer.Load()
		r.running += float64(running)
		r.queued += float64(queued)
	}
	for _, e := range sim.entries {
		v := e.reducer.View()
		r.waiting += float64(v.Waiting["svc"])
		for _, a := range v.Agents {
			r.credit += float64(max(0, a.Credit))
		}
	}
}

func pickShare(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	x := rng.Float64() * sum
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// shortQueue is the share of the slots that leaves one place to wait at an agent.
const shortQueue = 0.05

// unevenEntries returns a load for six entries and nine upstreams, two of which are
// larger.
func unevenEntries(seed uint64, load float64) contention {
	small, large := workerSpec{slots: 8, slowdown: 1, cpu: 32000}, workerSpec{slots: 8, slowdown: 1, cpu: 48000}
	return contention{
		load: load, length: 10 * time.Second, shares: []float64{1, 0.6, 1.4, 0.8, 1.2, 1},
		options: simulationOptions{
			seed: seed, entries: 6, agents: 9, linkDelay: time.Millisecond,
			policy: placement.Credits{}, order: queue.Urgent, demandFanout: 16, speeds: true, leased: true,
			agentCfg:  agent.Config{Policy: agent.ByRank{}, QueueShare: shortQueue, QueueMin: 1},
			upstreams: []workerSpec{small, small, large, small, small, small, small, large, small},
		},
	}
}

// fullSight returns the same load with one entry, which sees all that waits.
func (c contention) fullSight() contention {
	c.options.entries = 1
	return c
}

// playSeeds plays the load of each seed and adds up the results.
func playSeeds(load float64, change func(contention) contention) contentionResult {
	var sum contentionResult
	for seed := range uint64(contentionSeeds) {
		sum.add(change(unevenEntries(seed+1, load)).play())
	}
	return sum
}

const contentionSeeds = 6

func unchanged(c contention) contention { return c }

// The load pattern is that of several entries near the room of their upstreams. Entries
// that asked once for slots, and kept those they did not need, refused jobs while slots
// were free; tasks waited at one agent while another had room. As many jobs as by one
// entry that sees all of them must be in aim but for three in a hundred, and one in a
// hundred of the most urgent jobs may be refused.
func TestEntriesNearTheRoomServeAsWithFullSight(t *testing.T) {
	got, bound := playSeeds(0.85, unchanged), playSeeds(0.85, contention.fullSight)
	t.Logf("\n  entries    %s\n  full sight %s", got, bound)
	require.Greater(t, got.inAim()*100, bound.inAim()*97)
	require.Less(t, got.classes["wide"].refused*100, got.classes["wide"].total())
	require.Less(t, got.refused()*100, got.jobs*2)
}

// Above the room the most urgent jobs must not pay for the others.
func TestUrgentJobsGoFirstAboveTheRoom(t *testing.T) {
	got, bound := playSeeds(1.1, unchanged), playSeeds(1.1, contention.fullSight)
	t.Logf("\n  entries    %s\n  full sight %s", got, bound)
	require.Greater(t, got.classes["wide"].inAim*100, bound.classes["wide"].inAim*90)
	require.Less(t, got.classes["wide"].refused*100, got.classes["wide"].total()*5)
}
