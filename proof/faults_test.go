package proof

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

// settleTime exceeds every deadline, lease and timeout of a run.
const settleTime = 150 * time.Second

// submissionRecord is a submission made by the test and the entry that received it.
type submissionRecord struct {
	id    task.SubmissionID
	entry *simEntry
	sub   task.Submission
	at    time.Duration
}

// chaos drives a simulation with random actions and checks its answers against
// a simple model: one process that runs the tasks of a submission in order.
type chaos struct {
	t           *rapid.T
	sim         *simulation
	options     simulationOptions
	submissions []submissionRecord
	// locks is set if jobs have ids of their callers and agents keep their locks.
	locks bool
}

func newChaos(t *rapid.T, locks bool) *chaos {
	o := defaultOptions(rapid.Uint64().Draw(t, "seed"))
	if locks {
		o.agentCfg.RunsEndWithin = time.Second
	}
	o.agents = rapid.IntRange(1, 4).Draw(t, "agents")
	o.slots = uint32(rapid.IntRange(1, 3).Draw(t, "slots"))
	o.demandFanout = rapid.IntRange(1, 3).Draw(t, "poke")
	sim := newSimulation(o)
	sim.jitter = time.Duration(rapid.IntRange(0, 20).Draw(t, "jitterMS")) * time.Millisecond
	sim.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "doubled")
	sim.run(time.Second)
	return &chaos{t: t, sim: sim, options: o, locks: locks}
}

func (c *chaos) entry() *simEntry {
	return rapid.SampledFrom(c.sim.entries).Draw(c.t, "entry")
}

func (c *chaos) agent() string {
	return fmt.Sprintf("a%02d", rapid.IntRange(0, c.options.agents-1).Draw(c.t, "agent"))
}

func (c *chaos) randomDuration(label string, limit time.Duration) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(c.t, label))
}

func (c *chaos) submit(sub task.Submission) {
	e := c.entry()
	if e.dead {
		return
	}
	at := c.sim.now
	c.submissions = append(c.submissions, submissionRecord{c.sim.submit(e, sub), e, sub, at})
}

func (c *chaos) submitJob() {
	n := rapid.IntRange(1, 12).Draw(c.t, "tasks")
	sub := task.Submission{Service: "svc", Team: "t0", Job: true, Deadline: 20 * time.Second}
	if c.locks {
		sub.Ref = rapid.SampledFrom([]string{"job-1", "job-2", "job-3"}).Draw(c.t, "ref")
	}
	for i := range n {
		run := time.Duration(rapid.IntRange(1, 3000).Draw(c.t, "runMS"))*time.Millisecond + time.Duration(i)
		need := task.Resources{MilliCPU: rapid.SampledFrom([]uint32{0, 0, 8000, 40000, 64000}).Draw(c.t, "need")}
		sub.Tasks = append(sub.Tasks, task.Spec{Payload: payload(run), DeclaredRunTime: run / 2, Need: need})
	}
	c.submit(sub)
}

func (c *chaos) submitRequest() {
	run := time.Duration(rapid.IntRange(1, 3000).Draw(c.t, "runMS")) * time.Millisecond
	sub := task.Submission{Service: "svc", Team: "t1", Deadline: 15 * time.Second, Tasks: []task.Spec{{Payload: payload(run)}}}
	sub.Idempotent = rapid.Bool().Draw(c.t, "idempotent")
	c.submit(sub)
}

// submitKeyed submits a request under one of three keys, each with its own body.
func (c *chaos) submitKeyed() {
	k := rapid.IntRange(1, 3).Draw(c.t, "key")
	c.submit(task.Submission{
		Service: "svc", Team: "t1", IdempotencyKey: fmt.Sprintf("key-%d", k), Deadline: 15 * time.Second,
		Tasks:      []task.Spec{{Payload: payload(time.Duration(k) * 300 * time.Millisecond)}},
		Idempotent: rapid.Bool().Draw(c.t, "idempotent"),
	})
}

func (c *chaos) cancel() {
	if len(c.submissions) == 0 {
		return
	}
	r := rapid.SampledFrom(c.submissions).Draw(c.t, "submission")
	c.sim.stepEntry(r.entry, entry.Cancel{IDs: []task.SubmissionID{r.id}})
}

// killAgent kills an agent and starts its next incarnation after a random delay.
func (c *chaos) killAgent() {
	id := c.agent()
	if c.sim.agents[id].dead {
		return
	}
	c.sim.killAgent(id)
	c.sim.at(c.sim.now+c.randomDuration("restartAfter", 8*time.Second), func() { c.sim.restartAgent(id) })
}

func (c *chaos) freezeAgent() {
	c.sim.freezeAgent(c.agent(), c.randomDuration("frozen", 30*time.Second))
}

// partition drops all messages between an entry and an agent for a random time.
func (c *chaos) partition() {
	e, id := c.entry(), c.agent()
	pair := e.id + "|" + id
	if c.sim.partitioned[pair] {
		return
	}
	c.sim.partitioned[pair] = true
	for _, l := range c.sim.openLinks(c.sim.agents[id]) {
		if l.entry.id == e.id {
			c.sim.at(c.sim.now+silenceTimeout, func() { c.sim.breakLink(l) })
		}
	}
	c.sim.at(c.sim.now+silenceTimeout+c.randomDuration("cutFor", 10*time.Second), func() { delete(c.sim.partitioned, pair) })
}

// breakSession breaks a session and drops its messages in flight.
func (c *chaos) breakSession() {
	if l := c.entry().links[c.agent()]; l != nil {
		c.sim.breakLink(l)
	}
}

func (c *chaos) degradeWorker() {
	a := c.sim.agents[c.agent()]
	a.worker.fails = rapid.Bool().Draw(c.t, "fails")
	a.worker.slowdown = rapid.SampledFrom([]float64{1, 1, 10}).Draw(c.t, "factor")
}

func (c *chaos) restartUpstream() {
	c.sim.restartUpstream(c.sim.agents[c.agent()], c.randomDuration("leftFor", 5*time.Second))
}

func (c *chaos) killEntry() {
	alive := 0
	for _, e := range c.sim.entries {
		if !e.dead {
			alive++
		}
	}
	e := c.entry()
	if alive < 2 || e.dead {
		return
	}
	e.dead = true
	for _, l := range e.links {
		c.sim.at(c.sim.now+silenceTimeout, func() { c.sim.breakLink(l) })
	}
	c.sim.at(c.sim.now+c.randomDuration("entryBack", 5*time.Second), func() { c.sim.startEntry(e.id, c.options) })
}

func (c *chaos) toggleControl() { c.sim.controlUp = !c.sim.controlUp }

func (c *chaos) randomAction() {
	actions := []func(){
		c.submitJob, c.submitJob, c.submitJob, c.submitRequest, c.submitRequest, c.submitKeyed, c.submitKeyed, c.cancel,
		c.killAgent, c.freezeAgent, c.partition, c.breakSession, c.breakSession, c.degradeWorker, c.restartUpstream, c.killEntry, c.toggleControl,
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(c.t, "action")]()
	c.sim.run(c.sim.now + c.randomDuration("pause", 1500*time.Millisecond))
}

// check compares every answer with that of the model.
func (c *chaos) check() {
	startsOfKey := make(map[string]int)
	for _, r := range c.submissions {
		starts := 0
		for i := range r.sub.Tasks {
			n := c.sim.startsOf[taskKey{r.id, uint32(i)}]
			starts += n
			if r.sub.Job || !r.sub.Idempotent || r.sub.IdempotencyKey != "" {
				require.LessOrEqual(c.t, n, 1, "task %d of %s started %d times", i, r.id, n)
			}
		}
		if r.sub.IdempotencyKey != "" {
			startsOfKey[r.sub.IdempotencyKey] += starts
		}
		c.checkAnswers(r, starts)
	}
	for key, n := range startsOfKey {
		require.LessOrEqual(c.t, n, 1, "key %s ran %d times", key, n)
	}
}

func (c *chaos) checkAnswers(r submissionRecord, starts int) {
	answers := c.sim.answers[r.id]
	if r.entry.dead {
		require.LessOrEqual(c.t, len(answers), 1, "submission %s", r.id)
	} else {
		require.Len(c.t, answers, 1, "submission %s", r.id)
	}
	if len(answers) == 0 {
		return
	}
	a := answers[0]
	late := c.sim.latency[r.id] - r.sub.Deadline
	require.LessOrEqual(c.t, late, time.Duration(0), "answer %s came %s after the deadline", r.id, late)
	switch a.State {
	case task.NotRun:
		require.Zero(c.t, starts, "%s was answered as not run: %s", r.id, a.Reason)
	case task.Complete:
		c.checkComplete(r, a, starts)
	default:
		require.Empty(c.t, a.Outcomes, "a partial answer to %s", r.id)
		require.NotEmpty(c.t, a.Reason, "no reason for %s", r.id)
	}
}

func (c *chaos) checkComplete(r submissionRecord, a task.Answer, starts int) {
	require.Len(c.t, a.Outcomes, len(r.sub.Tasks), "%s", r.id)
	for i, o := range a.Outcomes {
		require.True(c.t, bytes.Equal(r.sub.Tasks[i].Payload, o.Body), "outcome %d of %s belongs to another task", i, r.id)
		require.Equal(c.t, task.Complete, o.State)
	}
	if r.sub.Job {
		require.Equal(c.t, len(r.sub.Tasks), starts, "%s", r.id)
	}
}

// heal removes every fault and checks that no capacity was lost: from each
// entry, a job with one task per slot of the fleet completes.
func (c *chaos) heal() {
	c.sim.controlUp = true
	c.sim.duplicateRate = 0
	for _, a := range c.sim.agents {
		a.worker.fails, a.worker.slowdown = false, 1
	}
	c.sim.run(c.sim.now + settleTime)
	for _, e := range c.sim.entries {
		if e.dead {
			continue
		}
		sub := task.Submission{Service: "svc", Team: "t0", Job: true, Deadline: 20 * time.Second}
		if c.locks {
			sub.Ref = "healed-" + e.id
		}
		for i := range c.options.agents * int(c.options.slots) {
			sub.Tasks = append(sub.Tasks, task.Spec{Payload: payload(time.Second + time.Duration(i))})
		}
		id := c.sim.submit(e, sub)
		c.submissions = append(c.submissions, submissionRecord{id, e, sub, c.sim.now})
		c.sim.run(c.sim.now + 20*time.Second)
		require.Len(c.t, c.sim.answers[id], 1)
		a := c.sim.answers[id][0]
		require.Equal(c.t, task.Complete, a.State, "after all faults: %s %s at %s\n%s", a.Reason, a.Detail, e.id, c.sim.dump())
	}
}

// All faults that affect entries and agents are injected together and repeatedly.
// Each task starts at most once, except that of an idempotent request without a key.
// No answer is partial, late, delivered twice or delivered to the wrong caller. A
// submission answered as not run has started no task. Each key runs at most once.
// No capacity is lost permanently.
func TestAllFaultsTogether(t *testing.T) { testAllFaults(t, false) }

// The same with job locks, for which submissions of three jobs compete.
func TestAllFaultsTogetherWithLocks(t *testing.T) { testAllFaults(t, true) }

func testAllFaults(t *testing.T, locks bool) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChaos(t, locks)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			c.randomAction()
		}
		c.sim.run(c.sim.now + settleTime)
		c.check()
		c.heal()
		c.check()
	})
}
