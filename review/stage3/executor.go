package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The bounds of the users' pages that an executor keeps.
const (
	holdMax   = time.Second
	stopGrace = 50 * time.Millisecond
	beatEvery = 1500 * time.Millisecond
	maxListed = 500
	maxHold   = 2 * time.Second
	// A call that gets no answer is carried out after a time between these.
	minLate, maxLate = 2 * time.Second, 12 * time.Second
	// capacityMilliCPU is the capacity of each executor.
	capacityMilliCPU = 64000
	coldClock        = 5 * time.Minute
)

// executor is a stand-in for one executor. It starts whatever it is told to start, as
// one with enforceLimits false does, and reports the runs to a record.
type executor struct {
	id, service, addr, agent string
	born                     time.Time
	record                   *record

	mu       sync.Mutex
	rng      *rand.Rand
	fence    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]uint32 // highest run of each task that was stopped or has ended
	ended    []endedRun
	lastEnd  uint64
	wake     chan struct{}
	beats    uint64
	// late is the share of orders that get no answer and are carried out later.
	late float64
}

type run struct {
	number   uint32
	started  time.Time
	takes    time.Duration
	timer    *time.Timer
	stopping bool
}

type endedRun struct {
	seq  uint64
	task string
	run  uint32
	how  string
}

// work is the jobSpec of the tasks.
type work struct {
	TakesMS int64 `json:"takesMs"`
}

func newExecutor(id, service, addr, agent string, seed uint64, rec *record) *executor {
	return &executor{
		id: id, service: service, addr: addr, agent: agent, born: time.Now(), record: rec,
		rng: rand.New(rand.NewPCG(seed, 1)), runs: map[string]*run{}, highest: map[string]uint32{},
		wake: make(chan struct{}),
	}
}

// serve serves calls and sends heartbeats until ctx ends.
func (x *executor) serve(ctx context.Context) error {
	ln, err := net.Listen("tcp", x.addr)
	if err != nil {
		return fmt.Errorf("executor %s: %w", x.id, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) { x.order(w, r, x.start) })
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) { x.order(w, r, x.stop) })
	mux.HandleFunc("POST /hold", x.hold)
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go x.beat(ctx)
	go x.watchLease(ctx)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("executor %s: %w", x.id, err)
	}
	return nil
}

func (x *executor) setLate(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.late = share
}

// now returns the time on the executor's clock.
func (x *executor) now() time.Duration { return coldClock + time.Since(x.born) }

func (x *executor) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for {
		x.mu.Lock()
		x.beats++
		body, err := json.Marshal(map[string]any{
			"service": x.service, "address": x.addr, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
			"capacity": map[string]any{"cpu": capacityMilliCPU, "memMb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"},
			"clockMs": x.now().Milliseconds(), "seq": x.beats, "born": x.born.UnixMilli(),
		})
		x.mu.Unlock()
		if err != nil {
			panic(err)
		}
		wait := beatEvery
		if !put(ctx, client, "http://"+x.agent+"/instances/"+x.id, body) {
			wait = beatEvery / 5
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// put sends a PUT and reports whether it was acknowledged.
func put(ctx context.Context, client *http.Client, url string, body []byte) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// watchLease ends the runs when the lease has expired.
func (x *executor) watchLease(ctx context.Context) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		x.expire()
		x.mu.Unlock()
	}
}

// expire ends all runs if the lease has expired. The lock is held.
func (x *executor) expire() {
	if x.now() <= x.leaseEnd {
		return
	}
	for task := range x.runs {
		x.end(task, "lapsed")
	}
}

// end ends the run of a task. The lock is held.
func (x *executor) end(task, how string) {
	r := x.runs[task]
	r.timer.Stop()
	delete(x.runs, task)
	x.highest[task] = max(x.highest[task], r.number)
	x.lastEnd++
	x.ended = append(x.ended, endedRun{x.lastEnd, task, r.number, how})
	x.record.runEnded(x.id, task, r.number, how)
	close(x.wake)
	x.wake = make(chan struct{})
}

// endAfter ends a run after a time, unless it has ended or is being stopped by then.
func (x *executor) endAfter(task string, r *run, how string, after time.Duration) *time.Timer {
	return time.AfterFunc(after, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.runs[task] == r && r.stopping == (how == "stopped") {
			x.end(task, how)
		}
	})
}

type call struct {
	Task     string `json:"task"`
	Run      uint32 `json:"runId"`
	Spec     string `json:"jobSpec"`
	LeaseEnd int64  `json:"deadlineMs"`
	Fence    uint64 `json:"fencingToken"`
	Ack      uint64 `json:"ackCursor"`
	WaitMS   int64  `json:"waitMs"`
}

func (x *executor) read(w http.ResponseWriter, r *http.Request) (c call, ok bool) {
	if id := r.Header.Get("X-Fireflytray-Expected-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	return c, true
}

func (x *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"] = x.now().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the agent may have gone
}

// order carries out a start or a stop and answers it, or leaves it unanswered and carries
// it out later.
func (x *executor) order(w http.ResponseWriter, r *http.Request, carryOut func(call) (int, map[string]any)) {
	c, ok := x.read(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	late := x.rng.Float64() < x.late
	delay := minLate + time.Duration(x.rng.Int64N(int64(maxLate-minLate)))
	x.mu.Unlock()
	if !late {
		x.mu.Lock()
		status, body := carryOut(c)
		x.mu.Unlock()
		x.answer(w, status, body)
		return
	}
	x.record.note("%s leaves %s of run %d of %s unanswered and carries it out %s later", x.id, r.URL.Path, c.Run, c.Task, delay.Round(time.Millisecond))
	time.AfterFunc(delay, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		_, _ = carryOut(c)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// fenced ends expired runs, and reports whether a token is lower than the highest one
// seen. The lock is held.
func (x *executor) fenced(token uint64) bool {
	x.expire()
	if token < x.fence {
		return true
	}
	x.fence = token
	return false
}

// renew extends the lease. The lock is held.
func (x *executor) renew(leaseEndMS int64) {
	x.leaseEnd = max(x.leaseEnd, min(time.Duration(leaseEndMS)*time.Millisecond, x.now()+holdMax))
}

func conflict(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// start carries out a start. The lock is held.
func (x *executor) start(c call) (int, map[string]any) {
	if x.fenced(c.Fence) {
		return conflict("fence")
	}
	present := x.runs[c.Task]
	switch {
	case present != nil && present.number == c.Run:
		x.renew(c.LeaseEnd)
		return http.StatusOK, map[string]any{}
	case present != nil || c.Run <= x.highest[c.Task]:
		x.renew(c.LeaseEnd)
		return conflict("old")
	case c.LeaseEnd <= x.now().Milliseconds():
		return conflict("late")
	}
	var what work
	if err := json.Unmarshal([]byte(c.Spec), &what); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	x.renew(c.LeaseEnd)
	r := &run{number: c.Run, started: time.Now(), takes: time.Duration(what.TakesMS) * time.Millisecond}
	x.runs[c.Task] = r
	r.timer = x.endAfter(c.Task, r, "done", r.takes)
	x.record.runStarted(x.id, c.Task, c.Run)
	return http.StatusOK, map[string]any{}
}

// stop carries out a stop. The lock is held.
func (x *executor) stop(c call) (int, map[string]any) {
	if x.fenced(c.Fence) {
		return conflict("fence")
	}
	if r := x.runs[c.Task]; r != nil && r.number <= c.Run && !r.stopping {
		r.stopping = true
		r.timer.Stop()
		r.timer = x.endAfter(c.Task, r, "stopped", time.Duration(x.rng.Int64N(int64(stopGrace))))
	}
	x.highest[c.Task] = max(x.highest[c.Task], c.Run)
	return http.StatusOK, map[string]any{}
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := x.read(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	if x.fenced(c.Fence) {
		x.mu.Unlock()
		status, body := conflict("fence")
		x.answer(w, status, body)
		return
	}
	x.renew(c.LeaseEnd)
	x.ended = slices.DeleteFunc(x.ended, func(e endedRun) bool { return e.seq <= c.Ack })
	wake, wait := x.wake, c.WaitMS > 0 && len(x.ended) == 0
	x.mu.Unlock()
	if wait {
		timer := time.NewTimer(min(time.Duration(c.WaitMS)*time.Millisecond, maxHold))
		defer timer.Stop()
		select {
		case <-wake:
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	x.mu.Lock()
	running, finished := [][]any{}, [][]any{}
	for task, r := range x.runs {
		percent := 0
		if r.takes > 0 {
			percent = min(99, int(100*time.Since(r.started)/r.takes))
		}
		running = append(running, []any{task, r.number, "", percent, 3000})
	}
	for _, e := range x.ended[:min(len(x.ended), maxListed)] {
		finished = append(finished, []any{e.seq, e.task, e.run, e.how, ""})
	}
	x.mu.Unlock()
	x.answer(w, http.StatusOK, map[string]any{"born": x.born.UnixMilli(), "running": running, "finished": finished})
}
