package load

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/load/workload"
	"github.com/fireflytray/fireflytray/task"
)

// Reasons that arise at the load tool.
const (
	// reasonNoAnswer means that the connection failed or the drain ended.
	reasonNoAnswer task.Reason = "no_answer"
	// reasonNotSent means that too many submissions were in flight.
	reasonNotSent task.Reason = "not_sent"
	// reasonInvalidAnswer means that an answer said complete and was not whole or
	// not the caller's own.
	reasonInvalidAnswer task.Reason = "answer_not_whole"
)

// payload is what the stand-in upstream understands of a task.
type payload struct {
	RunMS float64 `json:"run_ms"`
	Work  string  `json:"work,omitempty"`
	Echo  string  `json:"echo"`
}

// upstreamAnswer is what is read of the stand-in's answer.
type upstreamAnswer struct {
	Echo string `json:"echo"`
}

// answer is the end of one submission as the load tool sees it.
type answer struct {
	state    string
	reason   task.Reason
	detail   string
	messages uint64
	wasted   uint64
}

// client submits to entries and checks their answers.
type client struct {
	opts  *Options
	runID string // distinguishes the echoes of this run
	http  *fasthttp.Client
}

const (
	readBufferBytes  = 64 << 10
	maxConnsPerEntry = 100_000
)

func newClient(o *Options, run string) *client {
	return &client{opts: o, runID: run, http: &fasthttp.Client{
		Name:                      "fireflytray-load",
		MaxConnsPerHost:           maxConnsPerEntry,
		ReadBufferSize:            readBufferBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration:       time.Minute,
	}}
}

func (c *client) echo(s *workload.Submission, i int) string {
	return fmt.Sprintf("%s-%d-%d", c.runID, s.N, i)
}

func (c *client) payload(s *workload.Submission, i int) ([]byte, error) {
	ms := float64(s.Tasks[i].Run) / float64(time.Millisecond)
	return json.Marshal(payload{RunMS: ms, Work: c.opts.Work, Echo: c.echo(s, i)})
}

// submit sends one submission and waits for its answer until end.
func (c *client) submit(s *workload.Submission, end time.Time) answer {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.fill(req, s); err != nil {
		return answer{state: task.NotRun.String(), reason: reasonNotSent, detail: err.Error()}
	}
	if err := c.http.DoDeadline(req, resp, end); err != nil {
		return answer{state: task.Unknown.String(), reason: reasonNoAnswer, detail: err.Error()}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return readProblem(resp)
	}
	if c.opts.Load.Kind == workload.Requests {
		return c.readRequest(s, resp)
	}
	return c.readJob(s, resp)
}

func (c *client) fill(req *fasthttp.Request, s *workload.Submission) error {
	entry := c.opts.Entries[s.N%len(c.opts.Entries)]
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(httpapi.HeaderTeam, s.Team)
	base := entry + "/v1/services/" + c.opts.Service
	if c.opts.Load.Kind == workload.Requests {
		req.SetRequestURI(base + "/requests")
		return c.fillRequest(req, s)
	}
	req.SetRequestURI(base + "/jobs")
	body, err := c.jobBody(s)
	req.SetBodyRaw(body)
	return err
}

func (c *client) fillRequest(req *fasthttp.Request, s *workload.Submission) error {
	req.Header.Set(httpapi.HeaderIdempotent, strconv.FormatBool(c.opts.Idempotent))
	req.Header.Set(httpapi.HeaderDeclared, s.Tasks[0].Declared.String())
	if c.opts.Deadline > 0 {
		req.Header.Set(httpapi.HeaderDeadline, c.opts.Deadline.String())
	}
	body, err := c.payload(s, 0)
	req.SetBodyRaw(body)
	return err
}

func (c *client) jobBody(s *workload.Submission) ([]byte, error) {
	job := httpapi.JobRequest{Team: s.Team, DeadlineMS: c.opts.Deadline.Milliseconds()}
	for i := range s.Tasks {
		p, err := c.payload(s, i)
		if err != nil {
			return nil, err
		}
		declared := float64(s.Tasks[i].Declared) / float64(time.Millisecond)
		job.Tasks = append(job.Tasks, httpapi.JobTask{Payload: p, DeclaredMS: declared})
	}
	return json.Marshal(job)
}

func readProblem(resp *fasthttp.Response) answer {
	var p httpapi.Problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil || p.State == "" {
		return answer{
			state: task.Unknown.String(), reason: reasonNoAnswer,
			detail: fmt.Sprintf("status %d without problem details", resp.StatusCode()),
		}
	}
	return answer{
		state: p.State, reason: p.Reason, detail: p.Detail,
		messages: uint64(p.Messages), wasted: uint64(p.Wasted),
	}
}

func (c *client) readRequest(s *workload.Submission, resp *fasthttp.Response) answer {
	a := answer{
		state:    task.Complete.String(),
		messages: headerCount(resp, httpapi.HeaderMessages),
		wasted:   headerCount(resp, httpapi.HeaderWasted),
	}
	if err := c.checkEcho(s, 0, resp.Body()); err != nil {
		return a.invalid(err)
	}
	return a
}

func headerCount(resp *fasthttp.Response, name string) uint64 {
	n, err := strconv.ParseUint(string(resp.Header.Peek(name)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func (c *client) readJob(s *workload.Submission, resp *fasthttp.Response) answer {
	var job httpapi.JobAnswer
	if err := json.Unmarshal(resp.Body(), &job); err != nil {
		return answer{}.invalid(fmt.Errorf("decode: %w", err))
	}
	a := answer{state: job.State, messages: uint64(job.Messages), wasted: uint64(job.Wasted)}
	if job.State != task.Complete.String() {
		return a.invalid(fmt.Errorf("status 200 with state %q", job.State))
	}
	if len(job.Outcomes) != len(s.Tasks) {
		return a.invalid(fmt.Errorf("%d outcomes for %d tasks", len(job.Outcomes), len(s.Tasks)))
	}
	for i := range job.Outcomes {
		if err := c.checkEcho(s, i, job.Outcomes[i].Body); err != nil {
			return a.invalid(err)
		}
	}
	return a
}

func (c *client) checkEcho(s *workload.Submission, i int, body []byte) error {
	var got upstreamAnswer
	if err := json.Unmarshal(body, &got); err != nil {
		return fmt.Errorf("task %d: decode %q: %w", i, body, err)
	}
	if want := c.echo(s, i); got.Echo != want {
		return fmt.Errorf("task %d: echo %q, want %q", i, got.Echo, want)
	}
	return nil
}

func (a answer) invalid(err error) answer {
	a.state = task.Unknown.String()
	a.reason = reasonInvalidAnswer
	a.detail = err.Error()
	return a
}
