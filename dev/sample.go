package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fireflytray/fireflytray/httpapi"
)

const (
	// sampleTasks is the size of the sample job.
	sampleTasks = 140
	// sampleSeed seeds the run times of its tasks.
	sampleSeed = 1
	// minRunMS and maxRunMS bound them.
	minRunMS = 50
	maxRunMS = 400
	// progressInterval is the time between two lines of progress.
	progressInterval = 250 * time.Millisecond
	sampleTimeout    = 30 * time.Second
)

// payload is what the stand-in upstream understands.
type payload struct {
	RunMS int    `json:"run_ms"`
	Echo  string `json:"echo"`
}

// jobAnswer is the part of a job's answer that the sample checks.
type jobAnswer struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Reason   string `json:"reason"`
	Detail   string `json:"detail"`
	Outcomes []struct {
		Body json.RawMessage `json:"body"`
	} `json:"outcomes"`
}

// Sample runs a job of 140 tasks and a request, with progress on w, and checks
// that each answer is whole and the caller's own.
func (f *Fleet) Sample(ctx context.Context, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	fmt.Fprintf(w, "job: %d tasks of %d to %d ms on %d slots\n", sampleTasks, minRunMS, maxRunMS, agentCount*slotsPerUpstream)
	start := time.Now()
	stop := f.reportProgress(ctx, w, start)
	answer, err := f.sampleJob(ctx)
	stop()
	if err != nil {
		return fmt.Errorf("dev: sample job: %w", err)
	}
	fmt.Fprintf(w, "job %s: %s, %d outcomes in %s\n", answer.ID, answer.State, len(answer.Outcomes), time.Since(start).Round(time.Millisecond))
	start = time.Now()
	body, err := f.sampleRequest(ctx)
	if err != nil {
		return fmt.Errorf("dev: sample request: %w", err)
	}
	fmt.Fprintf(w, "request: %s in %s\n", body, time.Since(start).Round(time.Millisecond))
	return nil
}

// reportProgress prints how many tasks have started until it is stopped.
func (f *Fleet) reportProgress(ctx context.Context, w io.Writer, start time.Time) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(progressInterval):
				fmt.Fprintf(w, "  %5s  %d of %d tasks started\n", time.Since(start).Round(progressInterval), f.startedTasks(), sampleTasks)
			}
		}
	}()
	return func() { cancel(); <-done }
}

func (f *Fleet) startedTasks() int {
	n := 0
	for _, u := range f.Upstreams {
		n += len(u.Journal())
	}
	return n
}

func (f *Fleet) sampleJob(ctx context.Context) (*jobAnswer, error) {
	rng := rand.New(rand.NewPCG(sampleSeed, sampleSeed))
	req := httpapi.JobRequest{Team: Team}
	for i := range sampleTasks {
		run := minRunMS + rng.IntN(maxRunMS-minRunMS)
		p, err := json.Marshal(payload{RunMS: run, Echo: echo(i)})
		if err != nil {
			return nil, err
		}
		req.Tasks = append(req.Tasks, httpapi.JobTask{Payload: p, DeclaredMS: float64(run)})
	}
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	text, err := post(ctx, f.EntryURL+"/v1/services/"+Service+"/jobs", body)
	if err != nil {
		return nil, err
	}
	return checkJob(text)
}

func echo(i int) string { return fmt.Sprintf("task-%d", i) }

// checkJob checks that every outcome is there, in the order of the tasks.
func checkJob(text []byte) (*jobAnswer, error) {
	var a jobAnswer
	if err := json.Unmarshal(text, &a); err != nil {
		return nil, fmt.Errorf("decode answer: %w", err)
	}
	if a.State != "complete" || len(a.Outcomes) != sampleTasks {
		return nil, fmt.Errorf("state %s with %d of %d outcomes: %s %s", a.State, len(a.Outcomes), sampleTasks, a.Reason, a.Detail)
	}
	for i, o := range a.Outcomes {
		var p payload
		if err := json.Unmarshal(o.Body, &p); err != nil {
			return nil, fmt.Errorf("outcome %d: %w", i, err)
		}
		if p.Echo != echo(i) {
			return nil, fmt.Errorf("outcome %d is that of %q", i, p.Echo)
		}
	}
	return &a, nil
}

func (f *Fleet) sampleRequest(ctx context.Context) (string, error) {
	body, err := json.Marshal(payload{RunMS: minRunMS, Echo: "sample-request"})
	if err != nil {
		return "", err
	}
	text, err := post(ctx, f.EntryURL+"/v1/services/"+Service+"/requests", body)
	return string(text), err
}

// post sends JSON as the sample team and returns the body of a success.
func post(ctx context.Context, url string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(httpapi.HeaderTeam, Team)
	return send(req)
}

func send(req *http.Request) ([]byte, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return text, nil
}

// probe runs a task that takes no time.
func probe(ctx context.Context, callers string) error {
	_, err := post(ctx, callers+"/v1/services/"+Service+"/requests", []byte(`{"run_ms":0}`))
	return err
}
