package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longRunMS is a run time, in milliseconds, that is long enough for a test to
	// signal a process while the task still runs.
	longRunMS = 2000
	// freezeDuration is how long a process is stopped. It exceeds the timeout
	// after which its peers consider it failed.
	freezeDuration = 8 * time.Second
	// settleTime is how long a test waits for late starts.
	settleTime = 2 * time.Second
)

// Jobs with tasks on a killed agent fail and all others complete. No task
// starts twice, and the restarted agent receives work.
func TestKilledAgent(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(12, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, slots)
	c.agents[0].kill()
	answers := wait()
	c.requireAllAnswered(answers)
	c.checkStarts(answers)
	require.Positive(t, count(answers, failed), "no job failed after the kill")
	require.Positive(t, count(answers, complete))
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.agents[0].start(t)
	c.awaitWork(0)
	c.checkStarts(answers)
}

// An agent that resumes after SIGSTOP starts no task twice and no task that was
// answered as not run. It then receives work again.
func TestFrozenAgent(t *testing.T) {
	c := newCluster(t)
	first := inBackground(6, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, 1)
	c.agents[0].signal(t, syscall.SIGSTOP)
	resume := time.After(freezeDuration)
	during := inBackground(40, func(i int) answer {
		time.Sleep(time.Duration(i) * freezeDuration / 40)
		return c.job(i%entries, 3, 100)
	})
	<-resume
	c.agents[0].signal(t, syscall.SIGCONT)
	answers := append(first(), during()...)
	c.requireAllAnswered(answers)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.awaitWork(0)
	time.Sleep(settleTime)
	c.checkStarts(answers)
}

// An agent that receives SIGTERM finishes its running tasks; later tasks run on
// other agents.
func TestAgentDrains(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(agents*slots, func(i int) answer { return c.request(i%entries, longRunMS, "") })
	c.awaitStarts(0, 0, 1)
	c.agents[0].signal(t, syscall.SIGTERM)
	later := inBackground(20, func(i int) answer { return c.request(i%entries, 50, "") })
	answers := append(wait(), later()...)
	c.requireAllAnswered(answers)
	c.requireAllComplete(answers)
	require.Zero(t, c.agents[0].awaitExit(t), c.agents[0].readLog(t))
	c.checkStarts(answers)
}
