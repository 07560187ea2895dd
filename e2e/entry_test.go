package e2e

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// A keyed request whose entry is killed while it runs is never run again,
// however often and wherever its caller resends it.
func TestKilledEntryAndResend(t *testing.T) {
	c := newCluster(t)
	token := newToken()
	wait := inBackground(1, func(int) answer { return c.requestWithToken(0, token, longRunMS, "payout-1") })
	poll(t, "the request starts", func() string {
		if len(c.startCounts()) == 0 {
			return "no start"
		}
		return ""
	})
	c.entries[0].kill()
	require.Error(t, wait()[0].err, "the caller of a killed entry")
	var answers []answer
	for range 5 {
		answers = append(answers, c.requestWithToken(1, token, longRunMS, "payout-1"))
		time.Sleep(settleTime / 4)
	}
	c.entries[0].start(t)
	c.awaitSlots(0, agents)
	answers = append(answers, c.requestWithToken(0, token, longRunMS, "payout-1"))
	c.requireAllAnswered(answers)
	for _, a := range answers {
		require.True(t, a.replayed || a.state == unknown && a.problem.Reason == task.ReasonClaimedElsewhere, a.String())
	}
	time.Sleep(settleTime)
	require.Len(t, c.startCounts(), 1, "starts of one keyed request")
	c.checkStarts(nil)
}

// A key sent through both entries at the same time starts one task; a resend
// gets its outcome.
func TestSameKeyThroughBothEntries(t *testing.T) {
	const (
		keyCount = 12
		runMS    = 300
	)
	key := func(i int) string { return fmt.Sprintf("alert-%d", i) }
	c := newCluster(t)
	bodies := make([]string, keyCount)
	for i := range bodies {
		bodies[i] = newToken()
	}
	send := func(i int) answer {
		k := i / entries
		return c.requestWithToken(i%entries, bodies[k], runMS, key(k))
	}
	answers := inBackground(keyCount*entries, send)()
	c.requireAllAnswered(answers)
	for i, a := range answers {
		require.True(t, a.state == complete || a.state == unknown && a.problem.Reason == task.ReasonClaimedElsewhere, "%d: %v", i, a)
	}
	first := 0
	for _, a := range answers {
		if a.state == complete && !a.replayed {
			first++
		}
	}
	require.Equal(t, keyCount, first, "answers of runs")
	for i := range entries * keyCount {
		again := c.awaitReplay(i%entries, bodies[i/entries], runMS, key(i/entries))
		require.Equal(t, complete, again.state, "%d: %v", i, again)
		answers = append(answers, again)
	}
	require.Len(t, c.startCounts(), keyCount, "one start a key")
	c.checkStarts(answers)
}

// SIGTERM of an entry answers all that is in flight; what it takes no more is
// refused as not run, and in the end nobody listens.
func TestEntryDrains(t *testing.T) {
	const inFlight = 2 * agents * slots
	c := newCluster(t)
	wait := inBackground(inFlight, func(i int) answer { return c.request(0, longRunMS, "") })
	poll(t, "all requests are taken in", func() string {
		s, err := c.status(0)
		if err != nil {
			return err.Error()
		}
		if s.InFlight < inFlight {
			return fmt.Sprintf("%d of %d in flight", s.InFlight, inFlight)
		}
		return ""
	})
	c.entries[0].signal(t, syscall.SIGTERM)
	poll(t, "the entry is not ready", func() string {
		resp, err := c.client.Get("http://" + c.callerAddrs[0] + "/readyz")
		if err != nil {
			return ""
		}
		defer resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return "still ready"
		}
		return ""
	})
	later := c.requestUntilRefused(0)
	answers := wait()
	c.requireAllAnswered(answers)
	c.requireAllComplete(answers)
	require.Zero(t, c.entries[0].awaitExit(t), c.entries[0].readLog(t))
	conn, err := net.Dial("tcp", c.callerAddrs[0])
	if err == nil {
		conn.Close()
	}
	require.Error(t, err, "a drained entry listens")
	c.checkStarts(append(answers, later...))
}

// requestUntilRefused sends requests to a draining entry until it takes none: each is
// answered as a whole, the last one as not run, or its connection is refused.
func (c *cluster) requestUntilRefused(entry int) []answer {
	c.t.Helper()
	var list []answer
	poll(c.t, "requests are refused", func() string {
		a := c.request(entry, 0, "")
		list = append(list, a)
		if a.err != nil || a.state == notRun && a.problem.Reason == task.ReasonDraining {
			return ""
		}
		return a.String()
	})
	return list
}
