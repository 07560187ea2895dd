package httpapi

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// fakeBackend answers submissions with a function or, if it has none, holds them
// until release or Cancel is called.
type fakeBackend struct {
	answer func(task.SubmissionID, task.Submission) task.Answer

	mu             sync.Mutex
	submitted      uint64
	submissions    []task.Submission
	held           map[task.SubmissionID]func(task.Answer)
	cancelled      []task.SubmissionID
	notReadyReason string
}

func (f *fakeBackend) Submit(s task.Submission, done func(task.Answer)) task.SubmissionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.submitted++
	id := task.NewSubmissionID(7, f.submitted)
	f.submissions = append(f.submissions, s)
	if f.answer != nil {
		go done(f.answer(id, s))
		return id
	}
	if f.held == nil {
		f.held = map[task.SubmissionID]func(task.Answer){}
	}
	f.held[id] = done
	return id
}

// Cancel answers the held submissions among ids as not run.
func (f *fakeBackend) Cancel(ids []task.SubmissionID, reason task.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, ids...)
	for _, id := range ids {
		if done := f.held[id]; done != nil {
			delete(f.held, id)
			go done(task.Answer{ID: id, State: task.NotRun, Reason: reason})
		}
	}
}

func (f *fakeBackend) Ready() (bool, string) { return f.notReadyReason == "", f.notReadyReason }

func (f *fakeBackend) Status() (Status, error) {
	return Status{ID: "entry-1", InFlight: f.heldCount()}, nil
}

// release answers all held submissions, the newest first.
func (f *fakeBackend) release(answer func(task.SubmissionID, task.Submission) task.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := f.submitted; n > 0; n-- {
		id := task.NewSubmissionID(7, n)
		if done := f.held[id]; done != nil {
			delete(f.held, id)
			done(answer(id, f.submissions[n-1]))
		}
	}
}

func (f *fakeBackend) heldCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func (f *fakeBackend) cancelCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.cancelled)
}

// echo returns a complete answer in which each task's body is its payload.
func echo(id task.SubmissionID, s task.Submission) task.Answer {
	a := task.Answer{ID: id, State: task.Complete, Messages: 2, MaxRunTime: time.Millisecond}
	for _, spec := range s.Tasks {
		a.Outcomes = append(a.Outcomes, task.Outcome{
			State: task.Complete, Body: spec.Payload, Ran: time.Millisecond, Where: "w1",
		})
	}
	return a
}

// startServer serves a backend on loopback and returns the base URL.
func startServer(t *testing.T, b Backend, cfg Config) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	if cfg.ShutdownDelay == 0 {
		cfg.ShutdownDelay = time.Millisecond
	}
	s := New(b, ln, cfg)
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return s, "http://" + ln.Addr().String()
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// mustRequest makes one request over a new connection.
func mustRequest(t *testing.T, method, url string, body []byte, headers ...string) response {
	t.Helper()
	r, err := doRequest(method, url, body, headers...)
	require.NoError(t, err)
	return r
}

func doRequest(method, url string, body []byte, headers ...string) (response, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, b}, err
}

func eventually(t *testing.T, cond func() bool) {
	t.Helper()
	require.Eventually(t, cond, 10*time.Second, time.Millisecond)
}
