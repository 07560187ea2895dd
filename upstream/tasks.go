package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// maxEnded is the number of ended tasks whose results are kept.
const maxEnded = 4096

// idlePollInterval is the interval at which wait checks for running tasks.
const idlePollInterval = 10 * time.Millisecond

// spinBatch is the number of iterations of processor work between checks of the
// clock.
const spinBatch = 1 << 14

// result is the answer about a task.
type result struct {
	status int
	state  string
	body   []byte
}

// taskEntry is a task that has started, or a task that was stopped before it started
// and must not start later. Its result is nil while the task runs.
type taskEntry struct {
	stop   chan struct{}
	result *result
}

// tasks runs tasks and keeps the results of those that ended last.
type tasks struct {
	opts    Options
	journal *journal
	fault   *faults

	mu      sync.Mutex
	entries map[string]*taskEntry
	// ended holds the ids of ended and refused tasks, oldest first, for eviction.
	ended   []string
	running int
	rng     *rand.Rand
}

func newTasks(o Options, j *journal, f *faults) *tasks {
	return &tasks{
		opts:    o,
		journal: j,
		fault:   f,
		entries: make(map[string]*taskEntry),
		rng:     rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// start takes a slot for a task. If the id has been seen before or no slot is free,
// entry is nil and state is the state to answer.
func (t *tasks) start(id string) (entry *taskEntry, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.entries[id]; old != nil {
		return nil, old.repeatState()
	}
	if t.running >= int(t.opts.Slots) {
		return nil, TaskRefused
	}
	entry = &taskEntry{stop: make(chan struct{})}
	t.entries[id] = entry
	t.running++
	return entry, TaskRunning
}

// repeatState returns the state to answer when an id is posted again.
func (e *taskEntry) repeatState() string {
	if e.result != nil && e.result.state == TaskRefused {
		return TaskRefused
	}
	return TaskDuplicate
}

func (t *tasks) finish(id string, entry *taskEntry, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry.result = &r
	t.running--
	t.recordEnded(id)
}

func (t *tasks) recordEnded(id string) {
	t.ended = append(t.ended, id)
	if len(t.ended) > maxEnded {
		delete(t.entries, t.ended[0])
		t.ended = t.ended[1:]
	}
}

// stop stops a running task, or prevents an unknown one from starting later. It
// reports whether the task was running.
func (t *tasks) stop(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[id]
	switch {
	case entry == nil:
		t.entries[id] = &taskEntry{result: &result{status: statusConflict, state: TaskRefused}}
		t.recordEnded(id)
		return false
	case entry.result != nil:
		return false
	}
	select {
	case <-entry.stop:
	default:
		close(entry.stop)
	}
	return true
}

// status returns a task's result, which is nil while it runs. The result ok is
// false if the task is unknown.
func (t *tasks) status(id string) (r *result, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.entries[id]
	if entry == nil {
		return nil, false
	}
	return entry.result, true
}

// run runs a task until it ends, is stopped or reaches timeLimit.
func (t *tasks) run(id string, entry *taskEntry, p Payload, timeLimit time.Duration) result {
	index := t.journal.start(id)
	f := t.fault.get()
	if f.Mode == FaultFail || t.injectFailure() {
		return t.answer(id, index, p, "failing")
	}
	d := time.Duration(p.RunMS * f.Factor * t.opts.Slowdown * float64(time.Millisecond))
	var ok bool
	if work := p.Work; work == WorkCPU || work == "" && t.opts.Work == WorkCPU {
		ok = spin(min(d, timeLimit), entry.stop)
	} else {
		ok = sleep(min(d, timeLimit), entry.stop)
	}
	if !ok || d > timeLimit {
		t.journal.end(index, TaskStopped)
		return result{status: statusStopped, state: TaskStopped}
	}
	if p.Fail {
		return t.answer(id, index, p, "told to fail")
	}
	return t.answer(id, index, p, "")
}

func (t *tasks) injectFailure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opts.FailShare > 0 && t.rng.Float64() < t.opts.FailShare
}

func (t *tasks) answer(id string, index int, p Payload, failure string) result {
	ran := t.journal.end(index, TaskEnded)
	a := Answer{ID: id, Echo: p.Echo, RanMS: float64(ran) / float64(time.Millisecond), Error: failure}
	status := statusOK
	if failure != "" {
		status = statusFailed
	}
	return result{status: status, state: TaskEnded, body: encode(a)}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return []byte(`{"error":"answer can't be encoded"}`)
	}
	return b
}

// wait returns once no task runs or ctx ends.
func (t *tasks) wait(ctx context.Context) {
	for {
		t.mu.Lock()
		n := t.running
		t.mu.Unlock()
		if n == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(idlePollInterval)
	}
}

// sleep waits for d and reports whether it was not stopped.
func sleep(d time.Duration, stop <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	}
}

// spin uses the processor for d and reports whether it was not stopped. The result
// depends on x so that the compiler keeps the computation.
func spin(d time.Duration, stop <-chan struct{}) bool {
	end := time.Now().Add(d)
	x := uint64(1)
	for time.Now().Before(end) {
		for range spinBatch {
			x = x*6364136223846793005 + 1442695040888963407
		}
		select {
		case <-stop:
			return false
		default:
		}
	}
	return x != 0
}

// journal records every start of a task.
type journal struct {
	mu   sync.Mutex
	list []JournalEntry
	file *os.File
}

// start records the start of a task and returns its index in the journal.
func (j *journal) start(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := JournalEntry{ID: id, Started: time.Now(), State: TaskRunning}
	j.list = append(j.list, e)
	if j.file != nil {
		j.file.Write(append(encode(e), '\n'))
	}
	return len(j.list) - 1
}

func (j *journal) end(index int, state string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.list[index]
	e.Ran, e.State = time.Since(e.Started), state
	return e.Ran
}

func (j *journal) close() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file != nil {
		j.file.Close()
		j.file = nil
	}
}

func (j *journal) entries() []JournalEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]JournalEntry(nil), j.list...)
}
