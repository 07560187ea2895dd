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
	// freeze is how long a process is stopped, above the time after which its
	// peers give it up.
	freeze = 8 * time.Second
	// settle is how long late starts are waited for.
	settle = 2 * time.Second
)

// A killed agent's jobs are failed, all others complete, nothing starts twice,
// and its successor takes work.
func TestKilledAgent(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(12, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, slots)
	c.agents[0].kill()
	answers := wait()
	c.answered(answers)
	require.Positive(t, count(answers, failed), "the kill has hit no job")
	require.Positive(t, count(answers, complete))
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.agents[0].start(t)
	c.awaitWork(0)
	c.check(answers)
}

// A stopped agent that wakes up starts nothing twice and nothing that was
// answered as not run; then it takes work again.
func TestFrozenAgent(t *testing.T) {
	c := newCluster(t)
	first := inBackground(6, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, 1)
	c.agents[0].signal(t, syscall.SIGSTOP)
	woken := time.After(freeze)
	during := inBackground(40, func(i int) answer {
		time.Sleep(time.Duration(i) * freeze / 40)
		return c.job(i%entries, 3, 100)
	})
	<-woken
	c.agents[0].signal(t, syscall.SIGCONT)
	answers := append(first(), during()...)
	c.answered(answers)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	c.awaitWork(0)
	time.Sleep(settle)
	c.check(answers)
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
	c.answered(answers)
	c.allComplete(answers)
	require.Zero(t, c.agents[0].awaitExit(t), c.agents[0].output(t))
	c.check(answers)
}
