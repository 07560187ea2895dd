package httpapi

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/fireflytray/fireflytray/task"
)

// benchTasks is approximately the mean size of jobs of 1 to 140 tasks.
const benchTasks = 28

// immediateBackend answers each submission before Submit returns.
type immediateBackend struct{ n uint64 }

func (b *immediateBackend) Submit(s task.Submission, done func(task.Answer)) task.SubmissionID {
	id := task.NewSubmissionID(1, b.n)
	done(echo(id, s))
	return id
}

func (b *immediateBackend) Cancel([]task.SubmissionID, task.Reason) {}

func (b *immediateBackend) Ready() (bool, string) { return true, "" }

// BenchmarkJob submits jobs of benchTasks tasks through the HTTP API on one
// connection.
func BenchmarkJob(b *testing.B) {
	ln := fasthttputil.NewInmemoryListener()
	s := New(&immediateBackend{}, ln, Config{})
	go func() { _ = s.Serve() }()
	defer ln.Close()
	client := fasthttp.Client{Dial: func(string) (net.Conn, error) { return ln.Dial() }}
	job := JobRequest{Team: "t"}
	for range benchTasks {
		job.Tasks = append(job.Tasks, JobTask{Payload: []byte(`{"run_ms":120,"echo":"5f3a-17-3"}`), DeclaredMS: 100})
	}
	body, err := json.Marshal(job)
	require.NoError(b, err)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://entry/v1/services/s/jobs")
	req.SetBody(body)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, client.DoTimeout(req, resp, time.Minute))
		require.Equal(b, fasthttp.StatusOK, resp.StatusCode())
	}
	b.ReportMetric(float64(b.N)*benchTasks/b.Elapsed().Seconds(), "tasks/s")
}
