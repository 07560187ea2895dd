package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/load/workload"
	"github.com/fireflytray/fireflytray/task"
)

// backend answers submissions with the results of the function answer.
type backend struct {
	answer func(n uint64, s task.Submission) task.Answer
	// holdUntil is the number of submissions that must have arrived before any
	// answer is sent.
	holdUntil int

	mu          sync.Mutex
	submissions uint64
	held        []func()
}

func (b *backend) Submit(s task.Submission, done func(task.Answer)) task.SubmissionID {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.submissions
	b.submissions++
	id := task.NewSubmissionID(1, n)
	b.held = append(b.held, func() {
		a := b.answer(n, s)
		a.ID = id
		done(a)
	})
	if len(b.held) < b.holdUntil {
		return id
	}
	for _, f := range b.held {
		go f()
	}
	b.held, b.holdUntil = nil, 0
	return id
}

func (b *backend) Cancel([]task.SubmissionID, task.Reason) {}

func (b *backend) Ready() (bool, string) { return true, "" }

// echoAnswer completes every task with its payload, like the stand-in upstream.
func echoAnswer(_ uint64, s task.Submission) task.Answer {
	a := task.Answer{State: task.Complete, Messages: uint32(2 * len(s.Tasks)), Wasted: 1}
	for _, spec := range s.Tasks {
		a.Outcomes = append(a.Outcomes, task.Outcome{State: task.Complete, Body: spec.Payload})
	}
	return a
}

func startEntry(t *testing.T, b *backend) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := httpapi.New(b, ln, httpapi.Config{ShutdownDelay: time.Millisecond})
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Shutdown(ctx)
	})
	return "http://" + ln.Addr().String()
}

// options returns Options that produce about 40 submissions within 200 ms.
func options(kind workload.Kind, entries ...string) Options {
	cfg := workload.Default(3)
	cfg.Kind = kind
	cfg.Rate = 200
	cfg.MaxTasks = 20
	cfg.Teams = []workload.Team{{Name: "a", Share: 1}, {Name: "b", Share: 1}}
	return Options{Entries: entries, Service: "s", Load: cfg, Duration: 200 * time.Millisecond, Drain: 20 * time.Second}
}

func expectedCounts(t *testing.T, o Options) (submissions, tasks int) {
	t.Helper()
	g, err := workload.New(o.Load)
	require.NoError(t, err)
	for s := g.Next(); s.At < o.Duration; s = g.Next() {
		submissions++
		tasks += len(s.Tasks)
	}
	return submissions, tasks
}

func TestRunCountsCompleteAnswers(t *testing.T) {
	for _, kind := range []workload.Kind{workload.Jobs, workload.Requests} {
		o := options(kind, startEntry(t, &backend{answer: echoAnswer}), startEntry(t, &backend{answer: echoAnswer}))
		n, tasks := expectedCounts(t, o)
		r, err := Run(context.Background(), o)
		require.NoError(t, err)
		require.NoError(t, r.Verify())
		require.Equal(t, []Count{{Outcome{"complete", ""}, n, ""}}, r.Counts)
		require.Equal(t, tasks, r.TasksDone)
		require.EqualValues(t, n, r.Slowdown.Count)
		require.EqualValues(t, 2*tasks, r.Messages)
		require.EqualValues(t, n, r.Wasted)
		require.Equal(t, n, r.Teams[0].Sent+r.Teams[1].Sent)
		require.Equal(t, n, r.TimeLine[0].Sent)
	}
}

// The backend answers only after all submissions have arrived. A load tool that
// waited for answers before sending more would never receive one.
func TestLoadIsOpenLoop(t *testing.T) {
	b := &backend{answer: echoAnswer}
	o := options(workload.Jobs, startEntry(t, b))
	b.holdUntil, _ = expectedCounts(t, o)
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.NoError(t, r.Verify())
	require.Equal(t, b.submissions, uint64(r.Slowdown.Count))
}

// Response times are measured from the intended send time, so that a submission
// sent late does not hide its delay.
func TestResponseTimeCountsFromIntendedSendTime(t *testing.T) {
	o := options(workload.Jobs, "http://127.0.0.1:1")
	o.RoundTrip = 10 * time.Millisecond
	st := newStats(&o)
	s := workload.Submission{Team: "a", At: 50 * time.Millisecond, Tasks: []workload.Task{
		{Run: 20 * time.Millisecond}, {Run: 90 * time.Millisecond},
	}}
	st.recordSent()
	st.add(&s, answer{state: "complete"}, 250*time.Millisecond)
	r := st.result()
	require.InEpsilon(t, 2.5, r.Slowdown.P50, 0.002)
	require.InEpsilon(t, 250, r.Latency.Max, 0.002)
	require.InEpsilon(t, 2.5, r.TimeLine[0].P99, 1e-9)
}

func TestInvalidAnswersAreDetected(t *testing.T) {
	corruptions := map[string]func(*task.Answer){
		"missing": func(a *task.Answer) { a.Outcomes = a.Outcomes[:len(a.Outcomes)-1] },
		"doubled": func(a *task.Answer) { a.Outcomes = append(a.Outcomes, a.Outcomes[0]) },
		"swapped": func(a *task.Answer) {
			a.Outcomes[0], a.Outcomes[1] = a.Outcomes[1], a.Outcomes[0]
		},
		"another caller's": func(a *task.Answer) { a.Outcomes[0].Body = []byte(`{"echo":"x-0-0"}`) },
		"empty":            func(a *task.Answer) { a.Outcomes[0].Body = nil },
	}
	for name, corrupt := range corruptions {
		corrupted := 0
		b := &backend{}
		b.answer = func(n uint64, s task.Submission) task.Answer {
			a := echoAnswer(n, s)
			if n%2 == 0 && len(s.Tasks) > 1 {
				corrupt(&a)
				b.mu.Lock()
				corrupted++
				b.mu.Unlock()
			}
			return a
		}
		r, err := Run(context.Background(), options(workload.Jobs, startEntry(t, b)))
		require.NoError(t, err)
		require.NotZero(t, corrupted)
		require.Equal(t, corrupted, r.InvalidAnswers, name)
		require.ErrorIs(t, r.Verify(), ErrInvalidAnswers)
		require.NotEmpty(t, r.Faults)
	}
}

func TestRefusalsAreCountedByReason(t *testing.T) {
	b := &backend{answer: func(n uint64, s task.Submission) task.Answer {
		if n%2 == 0 {
			return echoAnswer(n, s)
		}
		return task.Answer{State: task.NotRun, Reason: task.ReasonQuota, Detail: "no more today"}
	}}
	r, err := Run(context.Background(), options(workload.Requests, startEntry(t, b)))
	require.NoError(t, err)
	require.NoError(t, r.Verify(), "a rejection is a valid answer")
	require.Len(t, r.Counts, 2)
	require.Equal(t, Outcome{"not_run", task.ReasonQuota}, r.Counts[1].Outcome)
	require.Equal(t, "no more today", r.Counts[1].Example)
	require.Equal(t, r.Submissions, r.Counts[0].Count+r.Counts[1].Count)
}

func TestLostAnswersFailVerification(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	defer ln.Close()
	o := options(workload.Requests, "http://"+ln.Addr().String())
	o.RoundTrip = time.Millisecond
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.Equal(t, r.Submissions, r.InvalidAnswers)
	require.Equal(t, Outcome{"unknown", reasonNoAnswer}, r.Counts[0].Outcome)
}

func TestJournalsShowDuplicatedStarts(t *testing.T) {
	journalServer := func(ids ...string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entries := []journalEntry{}
			for _, id := range ids {
				entries = append(entries, journalEntry{id})
			}
			_ = json.NewEncoder(w).Encode(entries)
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	o := options(workload.Jobs, startEntry(t, &backend{answer: echoAnswer}))
	o.Upstreams = []string{journalServer("a.0.0", "a.1.0", "b.0.0"), journalServer("a.1.1", "c.0.0", "c.0.0", "c.0.0")}
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.Equal(t, &Journal{Starts: 7, Tasks: 4, Duplicated: 2}, r.Journal)
	require.ErrorIs(t, r.Verify(), ErrInvalidAnswers)
	require.Equal(t, 1, countStarts([]journalEntry{{"a.1.0"}, {"a.1.1"}, {"c.0.0"}, {"c.0.0"}}, true).Duplicated)
}

func TestResultIsWritten(t *testing.T) {
	scrapes := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		scrapes++
		fmt.Fprintf(w, "# TYPE fireflytray_x_messages counter\nfireflytray_x_messages{kind=\"a\"} %d\nfireflytray_x_messages{kind=\"b\"} 5\n", scrapes*10)
	}))
	defer s.Close()
	o := options(workload.Jobs, startEntry(t, &backend{answer: echoAnswer}))
	o.Metrics = []string{s.URL}
	r, err := Run(context.Background(), o)
	require.NoError(t, err)
	require.Equal(t, []CounterChange{{s.URL, "fireflytray_x_messages", 10}}, r.CounterChanges)
	var text bytes.Buffer
	require.NoError(t, r.WriteText(&text))
	require.Contains(t, text.String(), "over ideal")
	for _, name := range []string{"a.svg", "a.png"} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, r.Plot(file))
		info, err := os.Stat(file)
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"entry":   func(o *Options) { o.Entries = []string{"127.0.0.1:80"} },
		"entries": func(o *Options) { o.Entries = nil },
		"service": func(o *Options) { o.Service = "" },
		"warm-up": func(o *Options) { o.Warmup = o.Duration },
		"rate":    func(o *Options) { o.Load.Rate = 0 },
	} {
		o := options(workload.Jobs, "http://127.0.0.1:1")
		change(&o)
		_, err := Run(context.Background(), o)
		require.Error(t, err, name)
	}
}
