package upstream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// maxEnded is how many ended tasks can still be asked about.
const maxEnded = 4096

// idlePoll is how often wait looks for running tasks.
const idlePoll = 10 * time.Millisecond

// spinBatch is how many rounds processor work takes between looks at the clock.
const spinBatch = 1 << 14

// result is what a task answered.
type result struct {
	status int
	state  string
	body   []byte
}

// taskEntry is a task that has started, or an id that must not start any more.
type taskEntry struct {
	stop   chan struct{}
	result *result
}

// tasks runs tasks and remembers them.
type tasks struct {
	opts    Options
	journal *journal
	fault   *faults

	mu      sync.Mutex
	entries map[string]*taskEntry
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

// start claims a slot for a task. Only an id that is new starts; for another,
// state says why not.
func (t *tasks) start(id string) (j *taskEntry, state string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.entries[id]; old != nil {
		return nil, old.repeatState()
	}
	if t.running >= int(t.opts.Slots) {
		return nil, TaskRefused
	}
	j = &taskEntry{stop: make(chan struct{})}
	t.entries[id] = j
	t.running++
	return j, TaskRunning
}

// repeatState is the state to name when an id comes again.
func (j *taskEntry) repeatState() string {
	if j.result != nil && j.result.state == TaskRefused {
		return TaskRefused
	}
	return TaskDuplicate
}

func (t *tasks) finish(id string, j *taskEntry, r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j.result = &r
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

// stop stops a running task, or bars an unknown one from starting. It reports
// whether the task was running.
func (t *tasks) stop(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.entries[id]
	switch {
	case j == nil:
		t.entries[id] = &taskEntry{result: &result{status: statusConflict, state: TaskRefused}}
		t.recordEnded(id)
		return false
	case j.result != nil:
		return false
	}
	select {
	case <-j.stop:
	default:
		close(j.stop)
	}
	return true
}

// status returns a task's result, nil while it runs; ok is false if unknown.
func (t *tasks) status(id string) (r *result, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.entries[id]
	if j == nil {
		return nil, false
	}
	return j.result, true
}

// run runs a task to its end.
func (t *tasks) run(id string, j *taskEntry, p Payload, within time.Duration) result {
	at := t.journal.start(id)
	f := t.fault.get()
	if f.Mode == FaultFail || t.injectFailure() {
		return t.answer(id, at, p, "failing")
	}
	d := time.Duration(p.RunMS * f.Factor * t.opts.Slowdown * float64(time.Millisecond))
	var ok bool
	if work := p.Work; work == WorkCPU || work == "" && t.opts.Work == WorkCPU {
		ok = spin(min(d, within), j.stop)
	} else {
		ok = sleep(min(d, within), j.stop)
	}
	if !ok || d > within {
		t.journal.end(at, TaskStopped)
		return result{status: statusStopped, state: TaskStopped}
	}
	if p.Fail {
		return t.answer(id, at, p, "told to fail")
	}
	return t.answer(id, at, p, "")
}

func (t *tasks) injectFailure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.opts.FailShare > 0 && t.rng.Float64() < t.opts.FailShare
}

func (t *tasks) answer(id string, at int, p Payload, failure string) result {
	ran := t.journal.end(at, TaskEnded)
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
		time.Sleep(idlePoll)
	}
}

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

// journal records every start.
type journal struct {
	mu   sync.Mutex
	list []JournalEntry
	file *os.File
}

// start records the start of a task and returns its place in the journal.
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

func (j *journal) end(at int, state string) time.Duration {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.list[at]
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
