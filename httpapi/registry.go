package httpapi

import (
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// keptJob is a job whose caller collects the answer later.
type keptJob struct {
	id   task.SubmissionID
	team string
	// answered is closed once answer is set.
	answered chan struct{}
	answer   task.Answer
	size     int
	expires  time.Time
	// collected is set once the answer has been handed out.
	collected bool
}

// registry keeps jobs between submission and collection, bounded in number, in
// bytes and in time. No answer that is still uncollected is dropped before its
// time; new jobs are refused instead.
type registry struct {
	cfg Config
	now func() time.Time

	mu      sync.Mutex
	jobs    map[task.SubmissionID]*keptJob
	order   []*keptJob // answered jobs, by the time of the answer
	held    int        // jobs kept or reserved
	bytes   int
	pending int
}

func newRegistry(cfg Config, now func() time.Time) *registry {
	return &registry{cfg: cfg, now: now, jobs: map[task.SubmissionID]*keptJob{}}
}

// reserve makes room for one more job. If there is none it returns when to
// come back.
func (r *registry) reserve() (retryAfter time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	if r.held >= r.cfg.MaxKept || r.bytes >= r.cfg.MaxKeptBytes {
		return r.untilRoom(), false
	}
	r.held++
	r.pending++
	return 0, true
}

// add registers a reserved job under its id.
func (r *registry) add(id task.SubmissionID, team string) *keptJob {
	j := &keptJob{id: id, team: team, answered: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = j
	return j
}

// answer stores the final answer of a job.
func (r *registry) answer(j *keptJob, a task.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.answer = a
	j.size = sizeOf(&a)
	j.expires = r.now().Add(r.cfg.KeepFor)
	r.bytes += j.size
	r.order = append(r.order, j)
	r.pending--
	close(j.answered)
}

// get returns a team's job. Another team's job is as good as absent.
func (r *registry) get(id task.SubmissionID, team string) (*keptJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	j, ok := r.jobs[id]
	if !ok || j.team != team {
		return nil, false
	}
	return j, true
}

// collect marks a job's answer as handed out; it may then be dropped early.
func (r *registry) collect(j *keptJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.collected = true
}

// uncollected returns how many jobs have not been collected, and how many of
// those have no answer yet.
func (r *registry) uncollected() (all, pending int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.order {
		if !j.collected {
			all++
		}
	}
	return all + r.pending, r.pending
}

// kept returns how many jobs are kept.
func (r *registry) kept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// evict drops expired answers and, while the registry is full, collected ones.
func (r *registry) evict() {
	now := r.now()
	kept := r.order[:0]
	for _, j := range r.order {
		full := r.held >= r.cfg.MaxKept || r.bytes >= r.cfg.MaxKeptBytes
		if now.Before(j.expires) && !(full && j.collected) {
			kept = append(kept, j)
			continue
		}
		delete(r.jobs, j.id)
		r.held--
		r.bytes -= j.size
	}
	clear(r.order[len(kept):])
	r.order = kept
}

func (r *registry) untilRoom() time.Duration {
	if len(r.order) == 0 {
		return time.Second
	}
	return max(r.order[0].expires.Sub(r.now()), time.Millisecond)
}

func sizeOf(a *task.Answer) int {
	n := len(a.Detail)
	for i := range a.Outcomes {
		n += len(a.Outcomes[i].Body) + outcomeOverhead
	}
	return n
}

// outcomeOverhead is about what an outcome takes besides its body, in bytes.
const outcomeOverhead = 96
