package proof

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// resendDelay is the time after a break at which a caller sends its job again.
	resendDelay = 1300 * time.Millisecond
	// resendDeadline is the deadline of each send.
	resendDeadline = 6 * time.Second
	// maxSends bounds how often a caller sends one job.
	maxSends = 3
)

// resendOptions returns the options of a fleet on the platform.
func resendOptions(seed uint64) simulationOptions {
	o := defaultOptions(seed)
	o.entries, o.agents, o.slots = 3, 6, 8
	o.keepalive, o.agentTimeout = 250*time.Millisecond, time.Second
	o.lease = 1040 * time.Millisecond
	o.agentCfg = agent.Config{OrphanAfter: 800 * time.Millisecond, RunsEndWithin: o.lease}
	return o
}

// resender is a caller that breaks off while it waits and sends its job again, with
// the same id, to any entry.
type resender struct {
	sim   *simulation
	ref   string
	tasks []time.Duration
	sends []sentJob
}

// sentJob is one submission of a resender's job.
type sentJob struct {
	id    task.SubmissionID
	entry *simEntry
}

func newResender(sim *simulation, n int) *resender {
	r := &resender{sim: sim, ref: fmt.Sprintf("%016x", n)}
	for range 1 + sim.rng.IntN(3) {
		r.tasks = append(r.tasks, time.Duration(500+sim.rng.IntN(2500))*time.Millisecond)
	}
	return r
}

func (r *resender) submission() task.Submission {
	sub := task.Submission{Service: "svc", Team: "t0", Job: true, Restart: true, MaxAttempts: 1, Ref: r.ref, Deadline: resendDeadline}
	for i, run := range r.tasks {
		sub.Tasks = append(sub.Tasks, task.Spec{Name: fmt.Sprintf("%s.0.0.%d", r.ref, i), Payload: payload(run)})
	}
	return sub
}

// send submits the job to a random live entry. Before the last send, the caller
// breaks off after at most 450 ms, which its entry does not see.
func (r *resender) send() {
	live := slices.DeleteFunc(slices.Clone(r.sim.entries), func(e *simEntry) bool { return e.dead })
	if len(live) > 0 {
		e := live[r.sim.rng.IntN(len(live))]
		r.sends = append(r.sends, sentJob{r.sim.submit(e, r.submission()), e})
	}
	if len(r.sends) < maxSends {
		breaksOff := r.sim.now + time.Duration(50+r.sim.rng.IntN(400))*time.Millisecond
		r.sim.at(breaksOff+resendDelay, r.send)
	}
}

// startResenders starts n resenders at random times within a period.
func startResenders(sim *simulation, n int, period time.Duration) []*resender {
	var all []*resender
	for i := range n {
		r := newResender(sim, i)
		all = append(all, r)
		sim.at(sim.now+time.Duration(sim.rng.Int64N(int64(period))), r.send)
	}
	return all
}

// A caller that breaks off sends its job again to any entry, while the first entry,
// which has not seen the break, still runs it. No two runs of one task may overlap.
func TestResentJobNeverRunsTwiceAtOnce(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			sim := newSimulation(resendOptions(seed))
			sim.run(time.Second)
			startResenders(sim, 40, 20*time.Second)
			sim.run(40 * time.Second)
			require.Empty(t, slices.Sorted(maps.Keys(sim.concurrent)))
		})
	}
}
