package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// platformJob returns one of the jobs of the users' platform: many short tasks, a few
// long ones, or two of middle length. A worker of 64 processors runs about ten tasks,
// whose needs vary by a fifth.
func platformJob(rng *rand.Rand) task.Submission {
	kinds := []struct {
		share float64
		tasks int
		run   time.Duration
	}{{0.24, 8, 60 * time.Millisecond}, {0.05, 4, 900 * time.Millisecond}, {0.71, 2, 200 * time.Millisecond}}
	kind, p := kinds[0], rng.Float64()
	for _, k := range kinds {
		if kind = k; p < k.share {
			break
		}
		p -= k.share
	}
	sub := task.Submission{Service: "svc", Team: "t0", Job: true}
	for range kind.tasks {
		need := task.Resources{MilliCPU: uint32(6200 * (0.8 + 0.4*rng.Float64()))}
		sub.Tasks = append(sub.Tasks, task.Spec{Payload: payload(kind.run), DeclaredRunTime: kind.run, Need: need})
	}
	return sub
}

// messagesPerTask plays a calm load, 70% of what the agents can run, over a number of
// entries.
func messagesPerTask(t *testing.T, entries int) float64 {
	const (
		agents = 24
		// jobRate keeps 70% of the agents' 240 places busy: a job needs 0.79 place
		// seconds on average.
		jobRate  = 210.0
		duration = 5 * time.Second
	)
	o := resendOptions(5)
	o.entries, o.agents = entries, agents
	o.order = queue.Urgent
	o.leased = true
	o.agentCfg.Policy = agent.ByRank{}
	sim := newSimulation(o)
	sim.run(time.Second)
	rng := rand.New(rand.NewPCG(5, 7))
	before, tasks := sim.messages, 0
	var ids []task.SubmissionID
	for at := sim.now; at < sim.now+duration; {
		at += time.Duration(rng.ExpFloat64() / jobRate * float64(time.Second))
		if at >= time.Second+duration {
			break
		}
		sim.run(at)
		sub := platformJob(rng)
		tasks += len(sub.Tasks)
		ids = append(ids, sim.submit(sim.entries[rng.IntN(entries)], sub))
	}
	sim.run(sim.now + 3*time.Second)
	for _, id := range ids {
		require.Equal(t, task.Complete, sim.answers[id][0].State)
	}
	return float64(sim.messages-before) / float64(tasks)
}

// What a task costs must not grow with the number of entries: on a fleet of 18 entries
// and 74 agents every change in an agent's estimate of its slots was told to every
// entry, and 60% of all messages said nothing that anyone needed. The bound is the
// target of processor time a task from 17 to 200 hosts.
func TestMessagesPerTaskDoNotGrowWithEntries(t *testing.T) {
	few, many := messagesPerTask(t, 4), messagesPerTask(t, 16)
	t.Logf("messages a task: %.2f with 4 entries, %.2f with 16", few, many)
	require.LessOrEqual(t, many, 1.3*few)
}
