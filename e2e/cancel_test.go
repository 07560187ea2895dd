package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/task"
)

const (
	waitingJobs   = 50
	cancelledJobs = 20
)

// Twenty of fifty waiting jobs are cancelled in one call. Each cancelled job
// gets one answer and never starts; the others complete, and all slots become
// free.
func TestCancellationOfManyJobs(t *testing.T) {
	c := newCluster(t)
	blockingRequests := inBackground(agents*slots, func(int) answer { return c.request(0, 2*longRunMS, "") })
	for i := range agents {
		c.awaitStarts(i, 0, slots)
	}
	jobs := make([]answer, waitingJobs)
	for i := range jobs {
		jobs[i] = c.submit(0, 100)
	}
	c.cancel(0, jobs[:cancelledJobs])
	var answers []answer
	for i, j := range jobs {
		a := c.collect(0, j)
		if i < cancelledJobs {
			require.Equal(t, notRun, a.state, a.String())
			require.Equal(t, task.ReasonCancelled, a.problem.Reason, a.String())
		}
		answers = append(answers, a)
	}
	c.requireAllComplete(answers[cancelledJobs:])
	for _, a := range answers[:cancelledJobs] {
		again := c.collect(0, a)
		require.Equal(t, a.problem, again.problem, "answer read a second time")
	}
	first := blockingRequests()
	c.requireAllComplete(first)
	after := c.job(0, agents*slots, 100)
	require.Equal(t, complete, after.state, after.String())
	c.awaitIdle(0)
	c.checkStarts(append(append(answers, first...), after))
}

// submit submits a job of one task without waiting for its answer.
func (c *cluster) submit(entry, runMS int) answer {
	c.t.Helper()
	token := newToken()
	a := c.post(entry, "/v1/services/"+service+"/jobs", nil, jobBody(false, []string{token}, runMS))
	require.NoError(c.t, a.err)
	require.Equal(c.t, http.StatusAccepted, a.status, a.String())
	var s httpapi.JobStatus
	require.NoError(c.t, json.Unmarshal(a.outcomes[0], &s))
	return answer{id: s.ID, tokens: []string{token}}
}

// collect waits for a job's answer.
func (c *cluster) collect(entry int, j answer) answer {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/jobs/%s?wait=%s", c.callerAddrs[entry], j.id, waitTimeout), nil)
	require.NoError(c.t, err)
	req.Header.Set(httpapi.HeaderTeam, team)
	a := c.do(req)
	require.NoError(c.t, a.err)
	a.tokens = j.tokens
	if a.status == http.StatusOK {
		a.readJob()
	}
	require.Equal(c.t, j.id, a.id)
	return a
}

// cancel cancels jobs in one call and requires that all are accepted for
// cancellation.
func (c *cluster) cancel(entry int, jobs []answer) {
	c.t.Helper()
	var req httpapi.CancelRequest
	for _, j := range jobs {
		req.IDs = append(req.IDs, j.id)
	}
	body, err := json.Marshal(req)
	require.NoError(c.t, err)
	a := c.post(entry, "/v1/cancel", nil, body)
	require.NoError(c.t, a.err)
	var got httpapi.CancelAnswer
	require.NoError(c.t, json.Unmarshal(a.outcomes[0], &got))
	require.Len(c.t, got.Cancelling, len(jobs), "%+v", got)
}

// awaitIdle waits until an entry has nothing in flight, nothing waiting and no
// task outstanding at an agent.
func (c *cluster) awaitIdle(entry int) {
	c.t.Helper()
	poll(c.t, c.entries[entry].name+" is idle", func() string {
		s, err := c.status(entry)
		if err != nil {
			return err.Error()
		}
		outstanding := 0
		for _, a := range s.Agents {
			outstanding += a.Outstanding
		}
		if s.InFlight > 0 || s.Waiting[service] > 0 || outstanding > 0 {
			return fmt.Sprintf("%d in flight, %d waiting, %d outstanding", s.InFlight, s.Waiting[service], outstanding)
		}
		return ""
	})
}
