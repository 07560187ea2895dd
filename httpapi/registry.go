package httpapi

import (
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// asyncJob is a job whose caller collects the answer later.
type asyncJob struct {
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

	mu           sync.Mutex
	jobs         map[task.SubmissionID]*asyncJob
	byAnswerTime []*asyncJob // answered jobs, by the time of the answer
	jobCount     int         // jobs kept or reserved
	answerBytes  int
	pending      int
}

func newRegistry(cfg Config, now func() time.Time) *registry {
	return &registry{cfg: cfg, now: now, jobs: map[task.SubmissionID]*asyncJob{}}
}

// reserve makes room for one more job. If there is none it returns when to
// come back.
func (r *registry) reserve() (retryAfter time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	if r.jobCount >= r.cfg.MaxKeptJobs || r.answerBytes >= r.cfg.MaxAnswerBytes {
		return r.retryDelay(), false
	}
	r.jobCount++
	r.pending++
	return 0, true
}

// add registers a reserved job under its id.
func (r *registry) add(id task.SubmissionID, team string) *asyncJob {
	j := &asyncJob{id: id, team: team, answered: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[id] = j
	return j
}

// setAnswer stores the final answer of a job.
func (r *registry) setAnswer(j *asyncJob, a task.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.answer = a
	j.size = answerSize(&a)
	j.expires = r.now().Add(r.cfg.AnswerRetention)
	r.answerBytes += j.size
	r.byAnswerTime = append(r.byAnswerTime, j)
	r.pending--
	close(j.answered)
}

// get returns a team's job. Another team's job is as good as absent.
func (r *registry) get(id task.SubmissionID, team string) (*asyncJob, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evict()
	j, ok := r.jobs[id]
	if !ok || j.team != team {
		return nil, false
	}
	return j, true
}

// markCollected marks a job's answer as handed out; it may then be dropped early.
func (r *registry) markCollected(j *asyncJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.collected = true
}

// uncollected returns how many jobs have not been collected, and how many of
// those have no answer yet.
func (r *registry) uncollected() (all, pending int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.byAnswerTime {
		if !j.collected {
			all++
		}
	}
	return all + r.pending, r.pending
}

// count returns how many jobs are kept.
func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobCount
}

// evict drops expired answers and, while the registry is full, collected ones.
func (r *registry) evict() {
	now := r.now()
	kept := r.byAnswerTime[:0]
	for _, j := range r.byAnswerTime {
		full := r.jobCount >= r.cfg.MaxKeptJobs || r.answerBytes >= r.cfg.MaxAnswerBytes
		if now.Before(j.expires) && !(full && j.collected) {
			kept = append(kept, j)
			continue
		}
		delete(r.jobs, j.id)
		r.jobCount--
		r.answerBytes -= j.size
	}
	clear(r.byAnswerTime[len(kept):])
	r.byAnswerTime = kept
}

func (r *registry) retryDelay() time.Duration {
	if len(r.byAnswerTime) == 0 {
		return time.Second
	}
	return max(r.byAnswerTime[0].expires.Sub(r.now()), time.Millisecond)
}

func answerSize(a *task.Answer) int {
	n := len(a.Detail)
	for i := range a.Outcomes {
		n += len(a.Outcomes[i].Body) + outcomeOverhead
	}
	return n
}

// outcomeOverhead is about what an outcome takes besides its body, in bytes.
const outcomeOverhead = 96
