package httpapi

import (
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// asyncJob is a job whose caller collects the answer with a later request.
type asyncJob struct {
	id   task.SubmissionID
	team string
	// answered is closed once answer is set.
	answered chan struct{}
	answer   task.Answer
	size     int
	expires  time.Time
	// collected is set once the caller has read the answer.
	collected bool
}

// registry keeps asynchronous jobs between submission and collection. The number
// of jobs, the size of the answers and their retention time are bounded. An
// uncollected answer is never evicted before it expires; new jobs are rejected
// instead.
type registry struct {
	cfg Config
	now func() time.Time

	mu           sync.Mutex
	jobs         map[task.SubmissionID]*asyncJob
	byAnswerTime []*asyncJob // answered jobs, oldest answer first
	jobCount     int         // kept and reserved jobs
	answerBytes  int
	pending      int // reserved places and jobs without an answer
}

func newRegistry(cfg Config, now func() time.Time) *registry {
	return &registry{cfg: cfg, now: now, jobs: map[task.SubmissionID]*asyncJob{}}
}

// reserve reserves a place for one more job. If the registry is full, it returns
// the delay before a retry.
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

// add registers a job, for which a place was reserved, under its id.
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

// get returns the job with the given id if it belongs to team.
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

// markCollected records that the caller has read a job's answer. A collected
// answer may be evicted before it expires.
func (r *registry) markCollected(j *asyncJob) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.collected = true
}

// uncollected returns the number of jobs that have not been collected, and how
// many of these have no answer yet.
func (r *registry) uncollected() (total, pending int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, j := range r.byAnswerTime {
		if !j.collected {
			total++
		}
	}
	return total + r.pending, r.pending
}

// count returns the number of jobs kept, including reserved places.
func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobCount
}

// evict removes jobs whose answers have expired and, while the registry is full,
// jobs whose answers have been collected.
func (r *registry) evict() {
	now := r.now()
	remaining := r.byAnswerTime[:0]
	for _, j := range r.byAnswerTime {
		full := r.jobCount >= r.cfg.MaxKeptJobs || r.answerBytes >= r.cfg.MaxAnswerBytes
		if now.Before(j.expires) && !(full && j.collected) {
			remaining = append(remaining, j)
			continue
		}
		delete(r.jobs, j.id)
		r.jobCount--
		r.answerBytes -= j.size
	}
	clear(r.byAnswerTime[len(remaining):])
	r.byAnswerTime = remaining
}

// retryDelay returns the time until the oldest answer expires, or one second if
// no job has an answer.
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

// outcomeOverhead is the approximate size of an outcome without its body, in
// bytes.
const outcomeOverhead = 96
