package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/task"
)

// evacuate gives an order for a failure domain and waits until it is in force at each
// entry.
func (c *cluster) evacuate(name string, evacuated bool) {
	c.t.Helper()
	var reply adminapi.EvacuationReply
	poll(c.t, "order for "+name, func() string {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		defer cancel()
		err := c.adminClient().Post(ctx, adminapi.PathEvacuations, adminapi.EvacuationRequest{Domain: name, Evacuated: evacuated}, &reply)
		if err != nil {
			return err.Error()
		}
		return ""
	})
	for i := range c.entries {
		c.awaitIndex(i, reply.Index)
	}
}

// awaitLine waits until a process has logged a text the given number of times.
func (c *cluster) awaitLine(p *process, text string, n int) {
	c.t.Helper()
	poll(c.t, p.name+" logs "+text, func() string {
		if got := strings.Count(p.readLog(c.t), text); got < n {
			return fmt.Sprintf("%d of %d times", got, n)
		}
		return ""
	})
}

// An agent's failure domain is evacuated. Its entries and itself restart and learn of
// it with their first configuration: nothing starts there, and every job runs
// elsewhere. With all failure domains evacuated requests are refused as not run, and
// once one is taken back they run there, without a restart.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	const evacuated, line = 1, "failure domain is evacuated, starting nothing"
	domains := []string{domain, "domain-b", "domain-c"}
	c := prepareClusterIn(t, domains...)
	for _, p := range c.processes {
		p.start(t)
	}
	c.awaitReady(agents)
	c.awaitWork(evacuated)
	c.evacuate(domains[evacuated], true)
	c.awaitLine(c.agents[evacuated], line, 1)
	before := len(c.startCounts(evacuated))
	answers := inBackground(8, func(i int) answer { return c.job(i%entries, 12, 50) })()
	c.agents[evacuated].kill()
	c.agents[evacuated].start(t)
	c.entries[0].kill()
	c.entries[0].start(t)
	c.awaitLine(c.agents[evacuated], line, 2)
	c.awaitSlots(0, agents-1)
	answers = append(answers, inBackground(8, func(i int) answer { return c.job(i%entries, 12, 50) })()...)
	c.requireAllComplete(answers)
	require.Len(t, c.startCounts(evacuated), before, "starts in the evacuated failure domain")

	c.evacuate(domains[0], true)
	c.evacuate(domains[2], true)
	for i := range c.entries {
		a := c.request(i, 20, "")
		require.Equal(t, http.StatusServiceUnavailable, a.status, a.String())
		require.Equal(t, notRun, a.state, a.String())
		require.Equal(t, task.ReasonEvacuated, a.problem.Reason, a.String())
		require.NotEmpty(t, a.header.Get("Retry-After"))
		answers = append(answers, a)
	}
	c.evacuate(domains[evacuated], false)
	c.awaitWork(evacuated)
	c.checkStarts(answers)
}
