package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"os"
	"strings"
	"sync/atomic"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/upstream"
)

// The states of an answer.
const (
	complete = "complete"
	failed   = "failed"
	notRun   = "not_run"
	unknown  = "unknown"
)

// answer is the result of a job or request as the caller received it.
type answer struct {
	// err is set if the call failed; all other fields are empty then.
	err      error
	status   int
	header   http.Header
	state    string
	problem  httpapi.Problem
	id       string
	replayed bool
	// outcomes holds one body per task of a complete answer. For a job, it holds
	// the raw body until readJob has decoded it.
	outcomes [][]byte
	tokens   []string
}

func (a answer) String() string {
	return fmt.Sprintf("id %s, status %d, state %s, reason %s (%s), error %v", a.id, a.status, a.state, a.problem.Reason, a.problem.Detail, a.err)
}

// lastToken is the number of the last token. Tokens identify tasks in payloads and
// outcomes.
var lastToken atomic.Uint64

func newToken() string { return fmt.Sprintf("token-%d", lastToken.Add(1)) }

func payload(token string, runMS int) []byte {
	return fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, runMS, token)
}

// post sends a body to an entry and reads the answer.
func (c *cluster) post(entry int, path string, header map[string]string, body []byte) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.callerAddrs[entry]+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set(httpapi.HeaderTeam, team)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.do(req)
}

func (c *cluster) do(req *http.Request) answer {
	resp, err := c.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, id: resp.Header.Get(httpapi.HeaderSubmission), state: resp.Header.Get(httpapi.HeaderState)}
	if resp.StatusCode >= http.StatusBadRequest {
		if err := json.Unmarshal(text, &a.problem); err != nil {
			return answer{err: fmt.Errorf("decode problem %q: %w", text, err)}
		}
		a.state, a.id = a.problem.State, a.problem.ID
		return a
	}
	a.outcomes = [][]byte{text}
	a.replayed = resp.Header.Get(httpapi.HeaderReplayed) == "true"
	return a
}

// request runs one task with a new token. With a key it can be resent safely.
func (c *cluster) request(entry, runMS int, key string) answer {
	return c.requestWithToken(entry, newToken(), runMS, key)
}

// requestWithToken is like request but uses the given token.
func (c *cluster) requestWithToken(entry int, token string, runMS int, key string) answer {
	header := map[string]string{}
	if key != "" {
		header[httpapi.HeaderIdempotencyKey] = key
	}
	a := c.post(entry, "/v1/services/"+service+"/requests", header, payload(token, runMS))
	a.tokens = []string{token}
	return a
}

func jobBody(wait bool, tokens []string, runMS int) []byte {
	tasks := make([]string, len(tokens))
	for i, token := range tokens {
		tasks[i] = fmt.Sprintf(`{"payload":%s,"declared_ms":%d}`, payload(token, runMS), runMS)
	}
	return fmt.Appendf(nil, `{"wait":%v,"tasks":[%s]}`, wait, strings.Join(tasks, ","))
}

// job runs a job and waits for its answer.
func (c *cluster) job(entry, tasks, runMS int) answer {
	list := make([]string, tasks)
	for i := range list {
		list[i] = newToken()
	}
	a := c.post(entry, "/v1/services/"+service+"/jobs", nil, jobBody(true, list, runMS))
	a.tokens = list
	if a.err == nil && a.status == http.StatusOK {
		a.readJob()
	}
	return a
}

// readJob decodes a job's answer and replaces the raw body with its outcomes.
func (a *answer) readJob() {
	var j httpapi.JobAnswer
	if a.err = json.Unmarshal(a.outcomes[0], &j); a.err != nil {
		return
	}
	a.id, a.state, a.outcomes = j.ID, j.State, nil
	for _, o := range j.Outcomes {
		a.outcomes = append(a.outcomes, o.Body)
	}
}

// inBackground starts n concurrent calls and returns a function that waits for
// their answers.
func inBackground(n int, call func(i int) answer) (wait func() []answer) {
	type numbered struct {
		i int
		a answer
	}
	got := make(chan numbered, n)
	for i := range n {
		go func() { got <- numbered{i, call(i)} }()
	}
	return func() []answer {
		list := make([]answer, n)
		for range n {
			x := <-got
			list[x.i] = x.a
		}
		return list
	}
}

// startCounts returns the number of starts of each task over all its attempts, keyed
// by "submission.index". It reads the journals of the given upstreams, or of all if
// none is given.
func (c *cluster) startCounts(upstreams ...int) map[string]int {
	if len(upstreams) == 0 {
		for i := range agents {
			upstreams = append(upstreams, i)
		}
	}
	counts := make(map[string]int)
	for _, i := range upstreams {
		text, err := os.ReadFile(c.path(fmt.Sprintf("upstream-%d.journal", i+1)))
		if !errors.Is(err, fs.ErrNotExist) {
			require.NoError(c.t, err)
		}
		for line := range strings.Lines(string(text)) {
			// A line may be partly written.
			var e upstream.JournalEntry
			if json.Unmarshal([]byte(line), &e) == nil {
				counts[e.ID[:strings.LastIndexByte(e.ID, '.')]]++
			}
		}
	}
	return counts
}

// awaitStarts waits until an upstream has started before+n tasks.
func (c *cluster) awaitStarts(upstreamIndex, before, n int) {
	c.t.Helper()
	poll(c.t, c.upstreams[upstreamIndex].name+" starts tasks", func() string {
		if got := len(c.startCounts(upstreamIndex)); got < before+n {
			return fmt.Sprintf("%d of %d", got-before, n)
		}
		return ""
	})
}

// awaitWork sends requests until an upstream has started another task.
func (c *cluster) awaitWork(upstreamIndex int) {
	c.t.Helper()
	before := len(c.startCounts(upstreamIndex))
	poll(c.t, c.upstreams[upstreamIndex].name+" gets work", func() string {
		answers := inBackground(2*slots, func(i int) answer { return c.request(i%entries, 20, "") })()
		if len(c.startCounts(upstreamIndex)) == before {
			return answers[0].String()
		}
		return ""
	})
}

// checkStarts compares answers with the recorded starts. No task may start
// twice. Each task of a complete answer must have started and returned its own
// outcome, and no task of an answer that says not run may have started. The
// state of a job must be complete, failed or not run.
func (c *cluster) checkStarts(answers []answer) {
	c.t.Helper()
	starts := c.startCounts()
	for id, n := range starts {
		assert.Equal(c.t, 1, n, "starts of task %s", id)
	}
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		switch a.state {
		case complete:
			c.checkComplete(a, starts)
		case notRun:
			assert.Zero(c.t, countStartedTasks(a.id, starts), "starts of %v", a)
		case failed, unknown:
			assert.False(c.t, len(a.tokens) > 1 && a.state == unknown, "answer of a job: %v", a)
		default:
			assert.Fail(c.t, "answer without a state", a.String())
		}
	}
}

func (c *cluster) checkComplete(a answer, starts map[string]int) {
	c.t.Helper()
	if !assert.Len(c.t, a.outcomes, len(a.tokens), "outcomes of %v", a) {
		return
	}
	for i, body := range a.outcomes {
		var got upstream.Answer
		assert.NoError(c.t, json.Unmarshal(body, &got))
		assert.Equal(c.t, a.tokens[i], got.Echo, "outcome %d of %v", i, a)
	}
	if !a.replayed {
		assert.Equal(c.t, len(a.tokens), countStartedTasks(a.id, starts), "starts of %v", a)
	}
}

// countStartedTasks returns the number of started tasks of a submission.
func countStartedTasks(id string, starts map[string]int) int {
	n := 0
	for name := range starts {
		if strings.HasPrefix(name, id+".") {
			n++
		}
	}
	return n
}

// count returns the number of answers with the given state.
func count(answers []answer, state string) int {
	n := 0
	for _, a := range answers {
		if a.err == nil && a.state == state {
			n++
		}
	}
	return n
}

// requireAllAnswered requires that every caller received an answer.
func (c *cluster) requireAllAnswered(answers []answer) {
	c.t.Helper()
	for _, a := range answers {
		require.NoError(c.t, a.err)
	}
}

// requireAllComplete requires that every answer is complete.
func (c *cluster) requireAllComplete(answers []answer) {
	c.t.Helper()
	for _, a := range answers {
		require.Equal(c.t, complete, a.state, a.String())
	}
}
