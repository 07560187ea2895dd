package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/task"
)

const testTeam = "prairie"

func decodeProblem(t *testing.T, r response) Problem {
	t.Helper()
	require.Equal(t, problemContentType, r.header.Get("Content-Type"), "%s", r.body)
	var p Problem
	require.NoError(t, json.Unmarshal(r.body, &p))
	require.Equal(t, r.status, p.Status)
	require.Equal(t, problemTypePrefix+string(p.Reason), p.Type)
	return p
}

func TestRequestDecodesAllHeadersAndBody(t *testing.T) {
	b := &fakeBackend{answer: echo}
	_, url := startServer(t, b, Config{})
	r := mustRequest(t, "POST", url+"/v1/services/statements/requests", []byte("hello"),
		HeaderTeam, testTeam, HeaderIdempotencyKey, "k-1", HeaderIdempotent, "true", HeaderDeadline, "1500ms",
		HeaderDeclared, "120ms", HeaderNeed, "cpu=0.5,memory=2GB,accelerators=1")
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	require.Equal(t, "hello", string(r.body))
	require.Equal(t, task.NewSubmissionID(7, 1).String(), r.header.Get(HeaderSubmission))
	require.Equal(t, "complete", r.header.Get(HeaderState))
	require.Equal(t, "2", r.header.Get(HeaderMessages))
	require.Equal(t, task.Submission{
		Service: "statements", Team: testTeam, IdempotencyKey: "k-1", Idempotent: true, Deadline: 1500 * time.Millisecond,
		Tasks: []task.Spec{{
			Payload: []byte("hello"), DeclaredRunTime: 120 * time.Millisecond,
			Need: task.Resources{MilliCPU: 500, MemoryMB: 2000, Accelerators: 1},
		}},
	}, b.submissions[0])
}

// The HTTP library reuses its buffers, so a submission must hold a copy of the
// payload.
func TestDecodeRequestCopiesPayload(t *testing.T) {
	var req fasthttp.Request
	req.Header.Set(HeaderTeam, testTeam)
	req.SetBodyString("first")
	s, err := decodeRequest("s", &req)
	require.NoError(t, err)
	copy(req.Body(), "other")
	require.Equal(t, "first", string(s.Tasks[0].Payload))
}

func TestBadRequestProblemDetail(t *testing.T) {
	const req, job = "/v1/services/s/requests", "/v1/services/s/jobs"
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   task.Reason
		detail                   string
		pos                      *Position
	}{
		{"no team", "POST", req, "", nil, 400, ReasonBadRequest, "team is missing", nil},
		{"bad deadline", "POST", req, "", []string{HeaderTeam, testTeam, HeaderDeadline, "soon"}, 400, ReasonBadRequest, HeaderDeadline, nil},
		{"negative deadline", "POST", req, "", []string{HeaderTeam, testTeam, HeaderDeadline, "-1s"}, 400, ReasonBadRequest, HeaderDeadline, nil},
		{"bad idempotent flag", "POST", req, "", []string{HeaderTeam, testTeam, HeaderIdempotent, "yes"}, 400, ReasonBadRequest, HeaderIdempotent, nil},
		{"bad need", "POST", req, "", []string{HeaderTeam, testTeam, HeaderNeed, "gpu=1"}, 400, ReasonBadRequest, "gpu=1", nil},
		{"bad memory", "POST", req, "", []string{HeaderTeam, testTeam, HeaderNeed, "memory=1"}, 400, ReasonBadRequest, "200MB", nil},
		{"bad service", "POST", "/v1/services/a%20b/requests", "", []string{HeaderTeam, testTeam}, 400, ReasonBadRequest, "service", nil},
		{"method", "PUT", req, "", []string{HeaderTeam, testTeam}, 405, ReasonBadMethod, "POST", nil},
		{"path", "GET", "/v2", "", nil, 404, ReasonNotFound, "/v2", nil},
		{"syntax", "POST", job, "{\n  \"team\": }", nil, 400, ReasonBadRequest, "line 2", &Position{2, 11}},
		{"type", "POST", job, `{"team":1}`, nil, 400, ReasonBadRequest, "line 1", &Position{1, 9}},
		{"cut off", "POST", job, `{"team":"a"`, nil, 400, ReasonBadRequest, "unexpected", &Position{1, 11}},
		{"empty", "POST", job, ``, nil, 400, ReasonBadRequest, "EOF", &Position{1, 1}},
		{"unknown field", "POST", job, `{"teem":"a"}`, nil, 400, ReasonBadRequest, "teem", &Position{1, 12}},
		{"two values", "POST", job, `{"team":"a"} {}`, nil, 400, ReasonBadRequest, "end of the body", &Position{1, 14}},
		{"no tasks", "POST", job, `{"team":"a","tasks":[]}`, nil, 400, ReasonBadRequest, "at least one", nil},
		{"two payloads", "POST", job, `{"team":"a","tasks":[{"payload":1,"payload_base64":"aGk="}]}`, nil, 400, ReasonBadRequest, "tasks[0]", nil},
		{"team twice", "POST", job, `{"team":"a","tasks":[{}]}`, []string{HeaderTeam, "b"}, 400, ReasonBadRequest, "differs", nil},
		{"too many tasks", "POST", job, `{"team":"a","tasks":[{},{},{},{}]}`, nil, 413, task.ReasonTooLarge, "4 tasks", nil},
		{"bad id", "GET", "/v1/jobs/xyz", "", []string{HeaderTeam, testTeam}, 400, ReasonBadRequest, "submission id", nil},
		{"no such job", "GET", "/v1/jobs/" + strings.Repeat("0", 32), "", []string{HeaderTeam, testTeam}, 404, ReasonNotFound, "keeps no such job", nil},
	}
	b := &fakeBackend{answer: echo}
	_, url := startServer(t, b, Config{MaxTasks: 3})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := mustRequest(t, c.method, url+c.path, []byte(c.body), c.headers...)
			require.Equal(t, c.status, r.status, "%s", r.body)
			p := decodeProblem(t, r)
			require.Equal(t, c.reason, p.Reason)
			require.Contains(t, p.Detail, c.detail)
			require.Equal(t, c.pos, p.Position)
		})
	}
	require.Empty(t, b.submissions, "a refused request reached the backend")
}

func TestOversizedBodyGetsTooLargeProblem(t *testing.T) {
	b := &fakeBackend{answer: echo}
	_, url := startServer(t, b, Config{MaxBody: 1000})
	// The second body exceeds the socket buffers.
	for _, size := range []int{1001, 20 << 20} {
		r := mustRequest(t, "POST", url+"/v1/services/s/requests", make([]byte, size), HeaderTeam, testTeam)
		require.Equal(t, http.StatusRequestEntityTooLarge, r.status)
		p := decodeProblem(t, r)
		require.Equal(t, task.ReasonTooLarge, p.Reason)
		require.Equal(t, "not_run", p.State)
		require.Contains(t, p.Detail, "1000 bytes")
	}
	require.Empty(t, b.submissions)
	r := mustRequest(t, "POST", url+"/v1/services/s/requests", make([]byte, 1000), HeaderTeam, testTeam)
	require.Equal(t, http.StatusOK, r.status)
}

func TestConcurrentCallersGetTheirOwnAnswers(t *testing.T) {
	const callers, tasks = 40, 17
	b := &fakeBackend{}
	_, url := startServer(t, b, Config{})
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error { return checkOwnAnswers(url, i, tasks) })
	}
	eventually(t, func() bool { return b.heldCount() == 2*callers })
	b.release(echo)
	require.NoError(t, g.Wait())
}

// checkOwnAnswers submits a job and a request concurrently and checks that each
// answer echoes its own payload.
func checkOwnAnswers(url string, caller, tasks int) error {
	var g errgroup.Group
	g.Go(func() error {
		want := fmt.Sprintf("request-%d", caller)
		r, err := doRequest("POST", url+"/v1/services/s/requests", []byte(want), HeaderTeam, testTeam)
		if err == nil && string(r.body) != want {
			err = fmt.Errorf("got %q, want %q", r.body, want)
		}
		return err
	})
	g.Go(func() error {
		job := JobRequest{Team: testTeam}
		for i := range tasks {
			job.Tasks = append(job.Tasks, JobTask{Payload: fmt.Appendf(nil, `"%d/%d"`, caller, i)})
		}
		body, err := json.Marshal(job)
		if err != nil {
			return err
		}
		r, err := doRequest("POST", url+"/v1/services/s/jobs", body)
		if err != nil {
			return err
		}
		var a JobAnswer
		if err := json.Unmarshal(r.body, &a); err != nil {
			return err
		}
		if len(a.Outcomes) != tasks {
			return fmt.Errorf("got %d outcomes", len(a.Outcomes))
		}
		for i, o := range a.Outcomes {
			if want := job.Tasks[i].Payload; !bytes.Equal(o.Body, want) {
				return fmt.Errorf("task %d: got %s, want %s", i, o.Body, want)
			}
		}
		return nil
	})
	return g.Wait()
}

func TestProblemHasStateReasonAndRetryAfter(t *testing.T) {
	cases := []struct {
		state  task.State
		reason task.Reason
		status int
	}{
		{task.NotRun, task.ReasonQuota, 429},
		{task.NotRun, task.ReasonOverload, 503},
		{task.NotRun, task.ReasonNeverFits, 422},
		{task.NotRun, task.ReasonClaimedElsewhere, 409},
		{task.Unknown, task.ReasonAgentGone, 502},
		{task.Failed, task.ReasonUpstreamError, 502},
		{task.NotRun, task.ReasonDeadline, 504},
		{task.Unknown, task.ReasonDeadline, 504},
	}
	for _, c := range cases {
		b := &fakeBackend{answer: func(id task.SubmissionID, _ task.Submission) task.Answer {
			return task.Answer{ID: id, State: c.state, Reason: c.reason, RetryAfter: 1200*time.Millisecond + 1, Messages: 4, Wasted: 2}
		}}
		_, url := startServer(t, b, Config{})
		for path, body := range map[string]string{"requests": "", "jobs": `{"tasks":[{}]}`} {
			r := mustRequest(t, "POST", url+"/v1/services/s/"+path, []byte(body), HeaderTeam, testTeam)
			require.Equal(t, c.status, r.status)
			require.Equal(t, "2", r.header.Get("Retry-After"), "whole seconds, rounded up")
			p := decodeProblem(t, r)
			require.Equal(t, c.state.String(), p.State)
			require.Equal(t, c.reason, p.Reason)
			require.EqualValues(t, 1201, p.RetryAfterMS)
			require.EqualValues(t, 2, p.Wasted)
		}
	}
}

func TestShutdownCompletesInFlightRequests(t *testing.T) {
	b := &fakeBackend{}
	s, url := startServer(t, b, Config{ShutdownDelay: 50 * time.Millisecond, CollectGrace: 10 * time.Second})
	const callers = 10
	var g errgroup.Group
	for i := range callers {
		g.Go(func() error { return checkOwnAnswers(url, i, 3) })
	}
	eventually(t, func() bool { return b.heldCount() == 2*callers })
	r := mustRequest(t, "POST", url+"/v1/services/s/jobs", []byte(`{"team":"prairie","wait":false,"tasks":[{}]}`))
	require.Equal(t, http.StatusAccepted, r.status)
	location := r.header.Get("Location")

	var down sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	down.Go(func() { assert.NoError(t, s.Shutdown(ctx)) })
	eventually(t, func() bool { return mustRequest(t, "GET", url+"/readyz", nil).status == 503 })
	eventually(t, s.rejecting.Load)
	refused := mustRequest(t, "POST", url+"/v1/services/s/requests", nil, HeaderTeam, testTeam)
	require.Equal(t, 503, refused.status)
	require.Equal(t, "not_run", decodeProblem(t, refused).State)
	require.Equal(t, task.ReasonDraining, decodeProblem(t, refused).Reason)

	b.release(echo)
	require.NoError(t, g.Wait(), "a request in flight was cut off")
	require.Equal(t, http.StatusOK, mustRequest(t, "GET", url+location+"?wait=10s", nil, HeaderTeam, testTeam).status)
	down.Wait()
	_, err := doRequest("GET", url+"/healthz", nil)
	require.Error(t, err, "still listening")
}

// sendAndDisconnect sends a request and closes the connection once the backend
// holds the submission.
func sendAndDisconnect(t *testing.T, b *fakeBackend, url, headers string) {
	t.Helper()
	before := b.heldCount()
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\n%s: t\r\n%sContent-Length: 0\r\n\r\n", HeaderTeam, headers)
	require.NoError(t, err)
	eventually(t, func() bool { return b.heldCount() == before+1 })
	require.NoError(t, conn.Close())
}

func TestDisconnectCancelsIdempotentRequest(t *testing.T) {
	b := &fakeBackend{}
	s, url := startServer(t, b, Config{})
	sendAndDisconnect(t, b, url, HeaderIdempotent+": true\r\n")
	eventually(t, func() bool { return b.cancelCount() == 1 })
	eventually(t, func() bool { return s.inFlight.Load() == 0 })
}

// A disconnect must not cancel a request that must not run twice, or one with an
// idempotency key, whose caller may retry to get the outcome. The cancellation of
// the later idempotent requests shows that the disconnect check has run.
func TestDisconnectKeepsNonIdempotentAndKeyedRequests(t *testing.T) {
	b := &fakeBackend{}
	s, url := startServer(t, b, Config{})
	sendAndDisconnect(t, b, url, "")
	sendAndDisconnect(t, b, url, HeaderIdempotent+": true\r\n"+HeaderIdempotencyKey+": k\r\n")
	for range 3 {
		sendAndDisconnect(t, b, url, HeaderIdempotent+": true\r\n")
		eventually(t, func() bool { return s.inFlight.Load() == 2 })
	}
	require.Equal(t, 3, b.cancelCount())
	require.Equal(t, 2, b.heldCount())
	b.release(echo)
}

// A request that is read after its caller has left must not reach the backend: it
// would start for nobody. The caller here closes its half of the connection only, and
// sees that the answer doesn't claim that the request was handled.
func TestRequestReadAfterDisconnectIsNotSubmitted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\n%s: t\r\nContent-Length: 0\r\n\r\n", HeaderTeam)
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	b := &fakeBackend{answer: echo}
	s := New(b, ln, Config{ShutdownDelay: time.Millisecond})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(text), "HTTP/1.1 409")
	require.Contains(t, string(text), string(task.ReasonCallerGone))
	require.Empty(t, b.submissions)
	require.NoError(t, s.Shutdown(t.Context()))
	require.NoError(t, <-served)
}

// A caller that closes its half of the connection while it waits must not be told
// that its cancelled request was handled.
func TestAnswerAfterDisconnectIsThatOfTheCancellation(t *testing.T) {
	b := &fakeBackend{}
	_, url := startServer(t, b, Config{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\n%s: t\r\n%s: true\r\nContent-Length: 0\r\n\r\n", HeaderTeam, HeaderIdempotent)
	require.NoError(t, err)
	eventually(t, func() bool { return b.heldCount() == 1 })
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	text, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(text), "HTTP/1.1 409")
	require.Contains(t, string(text), string(task.ReasonCallerGone))
}

func TestReadinessReportsBackendState(t *testing.T) {
	b := &fakeBackend{notReadyReason: "no agent yet"}
	_, url := startServer(t, b, Config{})
	require.Equal(t, 200, mustRequest(t, "GET", url+"/healthz", nil).status)
	r := mustRequest(t, "GET", url+"/readyz", nil)
	require.Equal(t, 503, r.status)
	require.Equal(t, "no agent yet", decodeProblem(t, r).Detail)
}

func TestStatusPageDescribesEntry(t *testing.T) {
	_, url := startServer(t, &fakeBackend{notReadyReason: "no agent yet"}, Config{})
	mustRequest(t, "POST", url+"/v1/services/s/jobs", []byte(`{"team":"prairie","wait":false,"tasks":[{}]}`))
	r := mustRequest(t, "GET", url+"/v1/status", nil)
	var s Status
	require.NoError(t, json.Unmarshal(r.body, &s))
	require.Equal(t, Status{ID: "entry-1", NotReadyReason: "no agent yet", InFlight: 1, Kept: 1}, s)
}

// Every reason has an error status code and a title. An unknown reason maps to
// status 500.
func TestEveryReasonHasStatus(t *testing.T) {
	for reason, row := range statuses {
		require.GreaterOrEqual(t, row.code, 400, "%s", reason)
		require.NotEmpty(t, row.title)
	}
	require.Equal(t, 500, StatusOf("no such reason"))
}
