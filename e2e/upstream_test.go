package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/upstream"
)

// A killed upstream fails what it ran; all else goes on, nothing starts twice,
// and its successor gets work.
func TestKilledUpstream(t *testing.T) {
	c := newCluster(t)
	wait := inBackground(12, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, slots)
	c.upstreams[0].kill()
	answers := wait()
	c.requireAllAnswered(answers)
	c.checkStarts(answers)
	require.Positive(t, count(answers, failed), "the kill has hit no job")
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	later := inBackground(20, func(i int) answer { return c.job(i%entries, 4, 50) })()
	c.requireAllComplete(later)
	c.upstreams[0].start(t)
	c.awaitWork(0)
	c.checkStarts(append(answers, later...))
}

// A stopped upstream holds up nobody for good, and starts nothing twice when it
// wakes up; then it gets work again.
func TestFrozenUpstream(t *testing.T) {
	c := newCluster(t)
	first := inBackground(6, func(i int) answer { return c.job(i%entries, 4, longRunMS/2) })
	c.awaitStarts(0, 0, 1)
	c.upstreams[0].signal(t, syscall.SIGSTOP)
	woken := time.After(freezeDuration)
	during := inBackground(40, func(i int) answer {
		time.Sleep(time.Duration(i) * freezeDuration / 40)
		return c.job(i%entries, 3, 100)
	})
	<-woken
	c.upstreams[0].signal(t, syscall.SIGCONT)
	answers := append(first(), during()...)
	c.requireAllAnswered(answers)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete), "%v", answers)
	require.Positive(t, count(answers, complete))
	c.awaitWork(0)
	time.Sleep(settleTime)
	c.checkStarts(answers)
}

// An upstream that fails at once all that it starts is set aside before it
// swallows the load, and taken back once it works.
func TestFailingUpstream(t *testing.T) {
	const (
		rounds = 40
		// maxFailed is well above five failures in a row, what runs beside
		// them, and the probes that follow.
		maxFailed = 40
	)
	c := newCluster(t)
	c.setFault(0, upstream.FaultFail)
	var answers []answer
	for range rounds {
		answers = append(answers, inBackground(agents*slots, func(i int) answer { return c.request(i%entries, 100, "") })()...)
	}
	c.requireAllAnswered(answers)
	require.Positive(t, count(answers, failed), "the fault has hit nobody")
	t.Logf("%d of %d requests failed", count(answers, failed), len(answers))
	require.LessOrEqual(t, count(answers, failed), maxFailed)
	require.Equal(t, len(answers), count(answers, failed)+count(answers, complete))
	c.setFault(0, upstream.FaultNone)
	c.awaitWork(0)
	c.checkStarts(answers)
}

// An upstream that leaves ends what it runs and starts nothing new.
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

// awaitNoSlots waits until entry i sees no slots of an agent.
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
