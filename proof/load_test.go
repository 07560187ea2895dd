package proof

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// jobSource generates random jobs with the distributions of task counts, run times
// and declared run times that the fleet must handle.
type jobSource struct{ rng *rand.Rand }

func logUniform(r *rand.Rand, lo, hi float64) float64 {
	return lo * math.Exp(r.Float64()*math.Log(hi/lo))
}

// runTime returns a log-uniform run time of 50 ms to 1 s, or of 2 s to 5 s for one
// task in a hundred.
func (s jobSource) runTime() time.Duration {
	if s.rng.Float64() < 0.01 {
		return time.Duration(logUniform(s.rng, 2, 5) * float64(time.Second))
	}
	return time.Duration(logUniform(s.rng, 0.05, 1) * float64(time.Second))
}

// job returns a submission and the run time of its longest task. A job has 1 to 140
// tasks, and each declared run time is within a factor of 4 of the actual one.
func (s jobSource) job(team string) (task.Submission, time.Duration) {
	n := int(logUniform(s.rng, 1, 141))
	sub := task.Submission{Service: "svc", Team: team, Job: true}
	var longest time.Duration
	for range n {
		run := s.runTime()
		longest = max(longest, run)
		declared := time.Duration(float64(run) * logUniform(s.rng, 0.25, 4))
		sub.Tasks = append(sub.Tasks, task.Spec{Payload: payload(run), DeclaredRunTime: declared})
	}
	return sub, longest
}

// meanSlotTime estimates how long a job occupies slots on average, summed over its
// tasks. It uses a fixed seed.
func meanSlotTime() time.Duration {
	s := jobSource{rand.New(rand.NewPCG(7, 7))}
	var sum time.Duration
	const n = 20000
	for range n {
		sub, _ := s.job("t0")
		for i := range sub.Tasks {
			sum += runTimeOf(sub.Tasks[i].Payload)
		}
	}
	return sum / n
}

// loadResult holds the results of a run under load.
type loadResult struct {
	slowdowns       []float64
	failed          int
	messagesPerTask float64
	wastedShare     float64 // wasted messages / all messages
	refused         uint64
	wasteByEntry    []entry.Waste
	slowdownsByTeam map[string][]float64
	submitted       int
	arrivals        []arrival
}

// arrival is a job's arrival time and its slowdown, the ratio of its response
// time to the ideal one.
type arrival struct {
	at       time.Duration
	slowdown float64
}

// slowdownsBetween returns the slowdowns of the jobs that arrived in [a, b).
func (r loadResult) slowdownsBetween(a, b time.Duration) []float64 {
	var out []float64
	for _, v := range r.arrivals {
		if v.at >= a && v.at < b {
			out = append(out, v.slowdown)
		}
	}
	return out
}

func (r loadResult) quantile(q float64) float64 { return quantile(r.slowdowns, q) }

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return math.NaN()
	}
	s := slices.Clone(v)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}

type loadSpec struct {
	options  simulationOptions
	load     float64 // offered load as a fraction of the fleet's capacity
	duration time.Duration
	warmup   time.Duration // excludes jobs that arrive earlier
	faults   func(sim *simulation)
	// burstFactor multiplies the arrival rate of team t1 in the middle third of
	// the run.
	burstFactor float64
	// measureUntil excludes jobs that arrive later; zero means no limit.
	measureUntil time.Duration
}

// runLoad runs a simulation with Poisson arrivals spread over its entries.
func runLoad(s loadSpec) loadResult {
	sim := newSimulation(s.options)
	sim.run(time.Second)
	if s.faults != nil {
		s.faults(sim)
	}
	src := jobSource{rand.New(rand.NewPCG(s.options.seed, 99))}
	slots := float64(s.options.agents) * float64(s.options.slots)
	rate := s.load * slots / meanSlotTime().Seconds()
	type sent struct {
		longest time.Duration
		team    string
		at      time.Duration
	}
	all := make(map[task.SubmissionID]sent)
	tasks := 0
	start, end := sim.now, sim.now+s.duration
	var arrive func()
	arrive = func() {
		if sim.now >= end {
			return
		}
		team := "t0"
		r := rate
		if s.burstFactor > 0 {
			third := s.duration / 3
			inBurst := sim.now-start > third && sim.now-start < 2*third
			weight := 1.0
			if inBurst {
				weight = s.burstFactor
			}
			r = rate / 2 * (1 + weight)
			if src.rng.Float64() < weight/(1+weight) {
				team = "t1"
			}
		}
		sub, longest := src.job(team)
		e := sim.entries[src.rng.IntN(len(sim.entries))]
		id := sim.submit(e, sub)
		all[id] = sent{longest, team, sim.now - start}
		tasks += len(sub.Tasks)
		sim.at(sim.now+time.Duration(src.rng.ExpFloat64()/r*float64(time.Second)), arrive)
	}
	before := sim.messages
	arrive()
	sim.run(end + 120*time.Second)
	res := loadResult{slowdownsByTeam: make(map[string][]float64), submitted: len(all)}
	for id, j := range all {
		a := sim.answers[id]
		if len(a) != 1 || a[0].State != task.Complete {
			res.failed++
			continue
		}
		if j.at < s.warmup || s.measureUntil > 0 && j.at > s.measureUntil {
			continue
		}
		x := sim.latency[id].Seconds() / (j.longest + 2*s.options.linkDelay).Seconds()
		res.slowdowns = append(res.slowdowns, x)
		res.slowdownsByTeam[j.team] = append(res.slowdownsByTeam[j.team], x)
		res.arrivals = append(res.arrivals, arrival{j.at, x})
	}
	var wasted uint64
	for _, e := range sim.entries {
		st := e.reducer.View().Stats
		wasted += st.Wasted.Total()
		res.wasteByEntry = append(res.wasteByEntry, st.Wasted)
		res.refused += st.Refused
	}
	res.messagesPerTask = float64(sim.messages-before) / float64(tasks)
	res.wastedShare = float64(wasted) / float64(sim.messages-before)
	return res
}

func defaultOptions(seed uint64) simulationOptions {
	return simulationOptions{
		seed: seed, entries: 2, agents: 11, slots: 8, linkDelay: 500 * time.Microsecond,
		policy: placement.Credits{}, order: queue.LeftOverSlowdown,
	}
}

// candidate combines a placement policy, a queue order and a grant policy.
type candidate struct {
	name     string
	policy   placement.Policy
	order    queue.Order
	agentCfg agent.Config
}

// candidates lists the combinations to compare. Policies that place a task as
// soon as it arrives need a long queue at the agents.
func candidates() []candidate {
	deepQueue := agent.Config{QueueShare: 1e6}
	credits := placement.Credits{}
	return []candidate{
		{"random", placement.Random{}, queue.FIFO, deepQueue},
		{"round-robin", placement.RoundRobin{}, queue.FIFO, deepQueue},
		{"two-choices", placement.TwoChoices{}, queue.FIFO, deepQueue},
		{"least-outstanding", placement.LeastOutstanding{}, queue.FIFO, deepQueue},
		{"credits-fifo", credits, queue.FIFO, agent.Config{}},
		{"credits-fewest-left", credits, queue.FewestLeft, agent.Config{}},
		{"credits-left-over-age", credits, queue.LeftOverAge, agent.Config{}},
		{"credits-left-over-slowdown", credits, queue.LeftOverSlowdown, agent.Config{}},
		{"credits-left-over-slowdown-sticky", credits, queue.LeftOverSlowdown, agent.Config{Policy: agent.Sticky{Factor: 2}}},
		{"credits-left-over-slowdown-rank", credits, queue.LeftOverSlowdown, agent.Config{Policy: agent.ByRank{}}},
		{"credits-left-over-slowdown-split", credits, queue.LeftOverSlowdown, agent.Config{Policy: agent.Split{}}},
	}
}

// BenchmarkCandidates compares the candidates under the same loads and seeds,
// in virtual time.
func BenchmarkCandidates(b *testing.B) {
	const seeds = 3
	for _, c := range candidates() {
		for _, load := range []float64{0.3, 0.6, 0.8, 0.9, 0.95} {
			b.Run(fmt.Sprintf("way=%s/load=%.2f", c.name, load), func(b *testing.B) {
				for range b.N {
					var all loadResult
					for seed := range uint64(seeds) {
						o := defaultOptions(seed + 1)
						o.policy, o.order, o.agentCfg = c.policy, c.order, c.agentCfg
						all.merge(runLoad(loadSpec{options: o, load: load, duration: 300 * time.Second, warmup: 10 * time.Second}), seeds)
					}
					report(b, all)
				}
			})
		}
	}
}

// merge adds the result of one of n runs.
func (r *loadResult) merge(o loadResult, n float64) {
	r.slowdowns = append(r.slowdowns, o.slowdowns...)
	r.failed += o.failed
	r.refused += o.refused
	r.messagesPerTask += o.messagesPerTask / n
	r.wastedShare += o.wastedShare / n
}

func report(b *testing.B, r loadResult) {
	b.ReportMetric(r.quantile(0.5), "p50")
	b.ReportMetric(r.quantile(0.99), "p99")
	b.ReportMetric(r.quantile(0.999), "p99.9")
	b.ReportMetric(r.messagesPerTask, "msg/task")
	b.ReportMetric(100*r.wastedShare, "wasted%")
	b.ReportMetric(float64(r.failed), "failed")
	b.ReportMetric(float64(r.refused), "refused")
}

// BenchmarkBurst measures how a tenfold burst of one team affects the p99 of
// another, over several seeds.
func BenchmarkBurst(b *testing.B) {
	const seeds = 6
	for _, burst := range []float64{1, 10} {
		b.Run(fmt.Sprintf("burst=%g", burst), func(b *testing.B) {
			for range b.N {
				var t0, t1 []float64
				for seed := range uint64(seeds) {
					r := runLoad(loadSpec{options: defaultOptions(seed + 1), load: 0.5, duration: 600 * time.Second, warmup: 200 * time.Second, burstFactor: burst, measureUntil: 400 * time.Second})
					t0 = append(t0, r.slowdownsByTeam["t0"]...)
					t1 = append(t1, r.slowdownsByTeam["t1"]...)
				}
				b.ReportMetric(quantile(t0, 0.5), "t0-p50")
				b.ReportMetric(quantile(t0, 0.99), "t0-p99")
				b.ReportMetric(quantile(t1, 0.99), "t1-p99")
			}
		})
	}
}

// BenchmarkFaults measures wasted messages and slowdown with one worker that
// fails every task, one that is ten times slower and one that is frozen.
func BenchmarkFaults(b *testing.B) {
	for range b.N {
		s := loadSpec{options: defaultOptions(1), load: 0.6, duration: 300 * time.Second, warmup: 10 * time.Second}
		s.faults = func(sim *simulation) {
			sim.agents["a00"].worker.fails = true
			sim.agents["a01"].worker.slowdown = 10
			sim.freezeAgent("a02", s.duration)
		}
		report(b, runLoad(s))
	}
}

// BenchmarkKill measures p99 before, right after and some time after a worker is
// killed, over several seeds.
func BenchmarkKill(b *testing.B) {
	const seeds = 20
	const killed = 29 * time.Second // since the first arrival
	for range b.N {
		var before, first, later []float64
		failed := 0
		for seed := range uint64(seeds) {
			s := loadSpec{options: defaultOptions(seed + 1), load: 0.6, duration: 60 * time.Second}
			s.faults = func(sim *simulation) { sim.at(time.Second+killed, func() { sim.killAgent("a03") }) }
			r := runLoad(s)
			before = append(before, r.slowdownsBetween(10*time.Second, killed)...)
			first = append(first, r.slowdownsBetween(killed, killed+5*time.Second)...)
			later = append(later, r.slowdownsBetween(killed+5*time.Second, killed+25*time.Second)...)
			failed += r.failed
		}
		b.ReportMetric(quantile(before, 0.99), "p99-before")
		b.ReportMetric(quantile(first, 0.99), "p99-first-5s")
		b.ReportMetric(quantile(later, 0.99), "p99-after-5s")
		b.ReportMetric(float64(failed), "failed")
	}
}
