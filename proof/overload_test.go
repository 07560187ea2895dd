package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// usefulFactor is the multiple of the objective until which an answer counts as
// served late.
const usefulFactor = 3

// overloadCounts are the ends of the jobs of one run.
type overloadCounts struct {
	inTime, late, useless, refused int
	// held counts refused jobs whose answer came later than heldLimit.
	held int
}

// heldLimit is the time after which a refusal comes late for a caller who would have
// gone elsewhere.
const heldLimit = 500 * time.Millisecond

func (c overloadCounts) served() int { return c.inTime + c.late }

// phase is a time with an offered load, as a share of the slots.
type phase struct {
	length time.Duration
	load   float64
}

// urgentPriority is that of the short kind of jobs.
const urgentPriority = 1

// overloadJob returns one of two kinds of jobs: nine in ten are short and urgent, the
// others long and not. They take equal shares of the work.
func overloadJob(rng *rand.Rand) task.Submission {
	run, tasks, priority := 200*time.Millisecond, 2, uint32(urgentPriority)
	if rng.IntN(10) == 0 {
		run, tasks, priority = 900*time.Millisecond, 4, urgentPriority+1
	}
	sub := task.Submission{Service: "svc", Team: "t0", Job: true, Priority: priority}
	sub.Objective = run*16/10 + 60*time.Millisecond
	sub.Deadline = max(1500*time.Millisecond, usefulFactor*sub.Objective)
	for range tasks {
		real := time.Duration(float64(run) * (0.8 + 0.4*rng.Float64()))
		sub.Tasks = append(sub.Tasks, task.Spec{Payload: payload(real), DeclaredRunTime: run})
	}
	return sub
}

// meanOverloadWork is the mean slot time of overloadJob, in seconds.
const meanOverloadWork = 0.9*2*0.2 + 0.1*4*0.9

// overloadOptions are three entries and six agents.
func overloadOptions(seed uint64, order queue.Order) simulationOptions {
	return simulationOptions{
		seed: seed, entries: 3, agents: 6, slots: 8, linkDelay: 700 * time.Microsecond,
		policy: placement.Credits{}, order: order, demandFanout: 16,
	}
}

// runOverload offers the phases in turn. The first entry gets two shares of the jobs,
// each of the others one.
func runOverload(o simulationOptions, phases []phase) overloadCounts {
	sim := newSimulation(o)
	sim.run(time.Second)
	rng := rand.New(rand.NewPCG(o.seed, 5))
	subs := make(map[task.SubmissionID]task.Submission)
	start := sim.now
	for _, p := range phases {
		rate := p.load * float64(o.agents) * float64(o.slots) / meanOverloadWork
		for at := start; at < start+p.length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			sub, to := overloadJob(rng), max(0, rng.IntN(o.entries+1)-1)
			sim.at(at, func() { subs[sim.submit(sim.entries[to], sub)] = sub })
		}
		start += p.length
	}
	sim.run(start + 10*time.Second)
	var c overloadCounts
	for id, sub := range subs {
		latency := sim.latency[id]
		switch {
		case sim.answers[id][0].State != task.Complete:
			c.refused++
			if latency > heldLimit {
				c.held++
			}
		case latency <= sub.Objective:
			c.inTime++
		case latency <= usefulFactor*sub.Objective:
			c.late++
		default:
			c.useless++
		}
	}
	return c
}

// The load pattern is a burst of two seconds at one and a half times the room, between
// times in which a third of the room is free. The order by urgency must serve more in time
// than the order of arrival, and hold few in vain.
func TestUrgentOrderThroughShortBurst(t *testing.T) {
	compareWithArrivalOrder(t, 8, []phase{{4 * time.Second, 0.65}, {2 * time.Second, 1.5}, {4 * time.Second, 0.65}})
}

// The load pattern is overload that lasts: a fifth more than the room for 20 seconds.
func TestUrgentOrderUnderLastingOverload(t *testing.T) {
	compareWithArrivalOrder(t, 6, []phase{{2 * time.Second, 0.65}, {20 * time.Second, 1.2}, {2 * time.Second, 0.65}})
}

// compareWithArrivalOrder plays a load in the order by urgency and in that of arrival.
func compareWithArrivalOrder(t *testing.T, seeds uint64, phases []phase) {
	t.Helper()
	var urgent, fifo overloadCounts
	for seed := range seeds {
		urgent.add(runOverload(overloadOptions(seed+1, queue.Urgent), phases))
		fifo.add(runOverload(overloadOptions(seed+1, queue.FIFO), phases))
	}
	t.Logf("urgent %+v, first in first out %+v", urgent, fifo)
	require.Greater(t, urgent.inTime, fifo.inTime)
	require.Less(t, urgent.refused, fifo.refused)
	require.Less(t, urgent.held, urgent.served()/50, "few are held and then refused")
}

func (c *overloadCounts) add(o overloadCounts) {
	c.inTime += o.inTime
	c.late += o.late
	c.useless += o.useless
	c.refused += o.refused
	c.held += o.held
}
