package proof

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// orderSpread is the longest time that a configuration takes to a process.
	orderSpread = 2 * time.Second
	// startBound is how long after an order a start in the failure domain is allowed.
	startBound = 5 * time.Second
)

// evacuations drives a simulation of two entries and six agents in three failure
// domains. Orders reach each process after a time of its own, and may overtake each
// other.
type evacuations struct {
	*simulation
	options simulationOptions
	rng     *rand.Rand
	orders  []order
	// lateStarts lists starts that no order allows.
	lateStarts []string
	ids        []task.SubmissionID
	holders    map[task.SubmissionID]*simEntry
}

// order is an evacuation of a failure domain, or its end.
type order struct {
	at        time.Duration
	domain    string
	evacuated bool
}

func newEvacuations(seed uint64) *evacuations {
	o := defaultOptions(seed)
	o.agents, o.domains, o.order = 6, []string{"north", "east", "west"}, queue.Urgent
	o.linkDelay, o.agentCfg.Prefetch = 2*time.Millisecond, 2
	ev := &evacuations{simulation: newSimulation(o), options: o, rng: rand.New(rand.NewPCG(seed, 3)), holders: map[task.SubmissionID]*simEntry{}}
	ev.onStart = ev.checkStart
	ev.run(time.Second)
	return ev
}

// checkStart records a start in a failure domain whose last order evacuated it more
// than startBound ago.
func (ev *evacuations) checkStart(a *simAgent, id task.ID) {
	last := order{}
	for _, o := range ev.orders {
		if o.domain == a.worker.domain {
			last = o
		}
	}
	if last.evacuated && ev.now > last.at+startBound {
		ev.lateStarts = append(ev.lateStarts, fmt.Sprintf("%s at %s in %s, evacuated at %s", id, ev.now, a.worker.domain, last.at))
	}
}

// give puts an order into the configuration and sends that to all processes.
func (ev *evacuations) give(domain string, evacuated bool) {
	ev.orders = append(ev.orders, order{ev.now, domain, evacuated})
	cfg := *ev.config
	cfg.Index++
	cfg.Domains = map[string]fleet.Domain{}
	for _, o := range ev.orders {
		cfg.Domains[o.domain] = fleet.Domain{Name: o.domain, Evacuated: o.evacuated}
	}
	ev.config = &cfg
	for _, e := range ev.entries {
		ev.configureEntry(e)
	}
	for i := range len(ev.agents) {
		ev.configureAgent(ev.agents[fmt.Sprintf("a%02d", i)])
	}
}

func (ev *evacuations) spread() time.Duration {
	return ev.now + time.Duration(ev.rng.Int64N(int64(orderSpread)))
}

func (ev *evacuations) configureEntry(e *simEntry) {
	cfg := ev.config
	ev.at(ev.spread(), func() { ev.stepEntry(e, entry.ConfigChanged{Config: cfg}) })
}

func (ev *evacuations) configureAgent(a *simAgent) {
	cfg := ev.config
	ev.at(ev.spread(), func() {
		ev.stepAgent(a, agent.ConfigChanged{Index: cfg.Index, Evacuated: cfg.Evacuated(a.worker.domain)})
	})
}

// restartEntry replaces an entry by an incarnation that gets its configuration later.
func (ev *evacuations) restartEntry(i int) {
	old := ev.entries[i]
	ev.killEntry(old)
	cfg := ev.config
	ev.config = nil
	e := ev.startEntry(old.id, ev.options)
	ev.config = cfg
	ev.entries = ev.entries[:len(ev.entries)-1]
	ev.entries[i] = e
	ev.configureEntry(e)
}

// replaceAgent replaces an agent by an incarnation that gets its configuration later.
func (ev *evacuations) replaceAgent(id string) {
	ev.killAgent(id)
	ev.restartAgent(id)
	ev.configureAgent(ev.agents[id])
}

// submitJobs submits jobs with recorded random arrivals at the given share of the
// capacity of all agents, for the given time.
func (ev *evacuations) submitJobs(load float64, d time.Duration) {
	src := jobSource{rand.New(rand.NewPCG(ev.options.seed, 99))}
	rate := load * float64(ev.options.agents) * float64(ev.options.slots) / meanSlotTime().Seconds()
	for at := ev.now; at < ev.now+d; at += time.Duration(src.rng.ExpFloat64() / rate * float64(time.Second)) {
		sub, _ := src.job("t0")
		i := src.rng.IntN(len(ev.entries))
		ev.at(at, func() {
			e := ev.entries[i]
			id := ev.submit(e, sub)
			ev.ids, ev.holders[id] = append(ev.ids, id), e
		})
	}
}

// requireOnce requires that no attempt and no task started twice.
func (ev *evacuations) requireOnce(t require.TestingT) {
	for id, n := range ev.started {
		require.Equal(t, 1, n, "attempt %v", id)
	}
	for k, n := range ev.startsOf {
		require.Equal(t, 1, n, "task %v", k)
	}
}

// Under a steady load that two failure domains can carry, one is evacuated and taken
// back, then another. Nothing starts there later than the bound, each task starts
// once, every job completes, and the domain serves again after it is taken back.
func TestEvacuationLosesNoJob(t *testing.T) {
	displaced := uint64(0)
	for seed := range uint64(4) {
		ev := newEvacuations(seed + 1)
		ev.submitJobs(0.6, 40*time.Second)
		servedAgain := 0
		ev.onStart = func(a *simAgent, id task.ID) {
			ev.checkStart(a, id)
			if a.worker.domain == "east" && ev.now > 20*time.Second {
				servedAgain++
			}
		}
		ev.at(5*time.Second, func() { ev.give("east", true) })
		ev.at(20*time.Second, func() { ev.give("east", false) })
		ev.at(25*time.Second, func() { ev.give("west", true) })
		ev.run(200 * time.Second)
		require.Empty(t, ev.lateStarts, "seed %d", seed)
		ev.requireOnce(t)
		require.NotZero(t, servedAgain)
		for _, id := range ev.ids {
			require.Len(t, ev.answers[id], 1)
			require.Equal(t, task.Complete, ev.answers[id][0].State, "seed %d: %v", seed, ev.answers[id][0])
		}
		for _, e := range ev.entries {
			displaced += e.reducer.View().Stats.Evacuated
		}
	}
	require.NotZero(t, displaced, "tasks came back and were placed elsewhere")
}

// Orders for any failure domains, while entries and agents restart without a
// configuration and messages are delayed and doubled: no order is forgotten and none
// goes back, no task starts twice, and each job of a living entry has its one answer.
// What is refused as not run has not started.
func TestEvacuationsUnderRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ev := newEvacuations(rapid.Uint64().Draw(t, "seed"))
		ev.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMS")) * time.Millisecond
		ev.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled")
		ev.submitJobs(0.25, 15*time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ev.restartEntry(rapid.IntRange(0, 1).Draw(t, "entry"))
			case 1:
				ev.replaceAgent(fmt.Sprintf("a%02d", rapid.IntRange(0, 5).Draw(t, "agent")))
			default:
				ev.give(rapid.SampledFrom(ev.options.domains).Draw(t, "domain"), rapid.IntRange(0, 2).Draw(t, "evacuated") > 0)
			}
			ev.run(ev.now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "afterMS"))*time.Millisecond)
		}
		ev.run(ev.now + 75*time.Second)
		require.Empty(t, ev.lateStarts)
		ev.requireOnce(t)
		startedJobs := map[task.SubmissionID]bool{}
		for k := range ev.startsOf {
			startedJobs[k.sub] = true
		}
		for _, id := range ev.ids {
			if ev.holders[id].dead {
				continue
			}
			require.Len(t, ev.answers[id], 1)
			if ev.answers[id][0].State == task.NotRun {
				require.False(t, startedJobs[id], "%v", ev.answers[id][0])
			}
		}
	})
}

// A backlog has built up while a failure domain was evacuated, and its upstreams are
// cold when it is taken back. They take their part of it by and by: the runs at each
// stay below a share that grows from an eighth to all over the cold time.
func TestBacklogReturnsToColdDomainByRamp(t *testing.T) {
	const cold = 8 * time.Second
	ev := newEvacuations(7)
	ev.submitJobs(0.9, 30*time.Second)
	takenBack, most := time.Duration(0), 0
	ev.onStart = func(a *simAgent, id task.ID) {
		if a.worker.domain != "east" || takenBack == 0 || ev.now < takenBack {
			return
		}
		passed := float64(ev.now-takenBack) / float64(cold)
		allowed := max(1, int(float64(ev.options.slots)*(passed+2.0/8)))
		running := len(a.runs) + 1
		require.LessOrEqual(t, running, allowed, "%s after it was taken back", ev.now-takenBack)
		most = max(most, running)
	}
	ev.at(3*time.Second, func() { ev.give("east", true) })
	ev.at(20*time.Second, func() {
		takenBack = ev.now
		for _, a := range ev.agents {
			if a.worker.domain == "east" {
				a.worker.coldUntil = ev.now + cold
			}
		}
		ev.give("east", false)
	})
	ev.run(34 * time.Second)
	require.Equal(t, int(ev.options.slots), most, "all slots are in use at the end")
}
