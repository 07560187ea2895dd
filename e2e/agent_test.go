package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// longRunMS is a run time that outlives the steps of a test between a start
	// and a signal.
	longRunMS = 2000
	// freezeDuration is how long a process is stopped, above the time after which its
	// peers give it up.
	freezeDuration = 8 * time.Second
	// settleTime is how long late starts are waited for.
	settleTime = 2 * time.Second
)

// A killed agent's jobs are failed, all others complete, nothing starts twice,
// and its successor takes work.
func TestKilledAgent(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(12, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, slots)
	c.agents[0].kill()
	answers := wait()
	c.requireAllAnswered(answers)
	c.checkStarts(answers)
	require.Positive(t, count(answers, failed), "the kill has hit no job")
	require.Positive(t, count(answers, complete))
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.agents[0].start(t)
	c.awaitWork(0)
	c.checkStarts(answers)
}

// A stopped agent that wakes up starts nothing twice and nothing that was
// answered as not run; then it takes work again.
func TestFrozenAgent(t *testing.T) {
	c := newCluster(t)
	first := inBackground(6, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, 1)
	c.agents[0].signal(t, syscall.SIGSTOP)
	woken := time.After(freezeDuration)
	during := inBackground(40, func(i int) answer {
		time.Sleep(time.Duration(i) * freezeDuration / 40)
		return c.job(i%entries, 3, 100)
	})
	<-woken
	c.agents[0].signal(t, syscall.SIGCONT)
	answers := append(first(), during()...)
	c.requireAllAnswered(answers)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.awaitWork(0)
	time.Sleep(settleTime)
	c.checkStarts(answers)
}

// SIGTERM of an agent cuts off none of its tasks; what comes later runs
// elsewhere.
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
