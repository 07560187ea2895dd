package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/upstream"
)

// Jobs with tasks on a killed upstream fail and all others complete. No task
// starts twice, and the restarted upstream receives work.
func TestKilledUpstream(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(12, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, slots)
	c.upstreams[0].kill()
	answers := wait()
	c.requireAllAnswered(answers)
	c.checkStarts(answers)
	require.Positive(t, count(answers, failed), "no job failed after the kill")
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	later := inBackground(20, func(i int) answer { return c.job(i%entries, 4, 50) })()
	c.requireAllComplete(later)
	c.upstreams[0].start(t)
	c.awaitWork(0)
	c.checkStarts(append(answers, later...))
}

// An upstream under SIGSTOP blocks no caller permanently and starts no task twice
// after it resumes. It then receives work again.
func TestFrozenUpstream(t *testing.T) {
	c := newCluster(t)
	first := inBackground(6, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, 1)
	c.upstreams[0].signal(t, syscall.SIGSTOP)
	resume := time.After(freezeDuration)
	during := inBackground(40, func(i int) answer {
		time.Sleep(time.Duration(i) * freezeDuration / 40)
		return c.job(i%entries, 3, 100)
	})
	<-resume
	c.upstreams[0].signal(t, syscall.SIGCONT)
	answers := append(first(), during()...)
	c.requireAllAnswered(answers)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	require.Positive(t, count(answers, complete))
	c.awaitWork(0)
	time.Sleep(settleTime)
	c.checkStarts(answers)
}

// An upstream that fails every task immediately is suspended before it attracts
// most of the load, and is used again after it recovers.
func TestFailingUpstream(t *testing.T) {
	const (
		rounds = 40
		// maxFailed leaves a wide margin above the five failed requests without a
		// success in between that suspend an upstream, the tasks running at that
		// time, and the failures of later probations.
		maxFailed = 40
	)
	c := newCluster(t)
	c.setFault(0, upstream.FaultFail)
	var answers []answer
	for range rounds {
		answers = append(answers, inBackground(agents*slots, func(i int) answer { return c.request(i%entries, 100, "") })()...)
	}
	c.requireAllAnswered(answers)
	require.Positive(t, count(answers, failed), "no request failed under the fault")
	t.Logf("%d of %d requests failed", count(answers, failed), len(answers))
	require.LessOrEqual(t, count(answers, failed), maxFailed)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete))
	c.setFault(0, upstream.FaultNone)
	c.awaitWork(0)
	c.checkStarts(answers)
}

// An upstream that leaves finishes its running tasks and starts no new ones.
func TestLeavingUpstream(t *testing.T) {
	const lastRunMS = 6000
	c := newCluster(t)
	wait := inBackground(agents*slots, func(i int) answer { return c.request(i%entries, lastRunMS, "") })
	c.awaitStarts(0, 0, 1)
	c.setFault(0, upstream.FaultLeave)
	for i := range c.entries {
		c.awaitNoSlots(i, agentID(0))
	}
	before := len(c.startCounts(0))
	load := inBackground(60, func(i int) answer { return c.request(i%entries, 100, "") })
	answers := append(wait(), load()...)
	c.requireAllAnswered(answers)
	c.requireAllComplete(answers)
	require.Equal(t, before, len(c.startCounts(0)), "starts after the upstream has left")
	require.Zero(t, c.upstreams[0].awaitExit(t), c.upstreams[0].readLog(t))
	c.checkStarts(answers)
}

// awaitNoSlots waits until entry i sees no slots at an agent.
func (c *cluster) awaitNoSlots(i int, agent string) {
	c.t.Helper()
	poll(c.t, c.entries[i].name+" sees no slots of "+agent, func() string {
		s, err := c.status(i)
		if err != nil {
			return err.Error()
		}
		for _, a := range s.Agents {
			if a.ID == agent && a.Slots > 0 {
				return fmt.Sprintf("%d slots", a.Slots)
			}
		}
		return ""
	})
}
