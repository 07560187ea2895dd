package proof

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

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

type contentionResult struct {
	classes  map[string]*classResult
	messages int
	jobs     int
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
	return s + fmt.Sprintf("%.2f messages a job", float64(r.messages)/float64(max(1, r.jobs)))
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
	sim.run(sim.now + c.length + 10*time.Second)
	r := contentionResult{classes: map[string]*classResult{}, messages: sim.messages - before, jobs: len(objectives)}
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

// unevenEntries returns a load for six entries and nine upstreams, two of which are
// larger.
func unevenEntries(seed uint64, load float64) contention {
	small, large := workerSpec{slots: 8, slowdown: 1, cpu: 32000}, workerSpec{slots: 8, slowdown: 1, cpu: 48000}
	return contention{
		load: load, length: 10 * time.Second, shares: []float64{1, 0.6, 1.4, 0.8, 1.2, 1},
		options: simulationOptions{
			seed: seed, entries: 6, agents: 9, linkDelay: time.Millisecond,
			policy: placement.Credits{}, order: queue.Urgent, demandFanout: 16, speeds: true, leased: true,
			agentCfg:  agent.Config{Policy: agent.ByRank{}},
			upstreams: []workerSpec{small, small, large, small, small, small, small, large, small},
		},
	}
}

// fullSight returns the same load with one entry, which sees all that waits, and hardly
// any delay on the way.
func (c contention) fullSight() contention {
	c.options.entries, c.options.linkDelay = 1, 50*time.Microsecond
	return c
}

func TestContentionTrial(t *testing.T) {
	for _, load := range []float64{0.7, 0.85, 0.95, 1.1} {
		var now, bound contentionResult
		for seed := range uint64(6) {
			now.add(unevenEntries(seed+1, load).play())
			bound.add(unevenEntries(seed+1, load).fullSight().play())
		}
		t.Logf("load %.2f\n  now   %s\n  bound %s", load, now, bound)
	}
}
