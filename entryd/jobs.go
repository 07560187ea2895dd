package entryd

import (
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// answerRetention is how long the answer to a job is kept for late
	// duplicates of the request.
	answerRetention = 10 * time.Second
	// maxRetainedAnswers bounds the number of answers kept.
	maxRetainedAnswers = 10_000
)

// jobs maps the refs that clients give to jobs to submissions, so that a job
// submitted twice becomes one submission. It is safe for concurrent use.
type jobs struct {
	mu    sync.Mutex
	byRef map[string]*jobRecord
	// answered lists the answered jobs that are kept, the oldest first.
	answered []*jobRecord
}

// jobRecord is a job in flight or one that was answered recently.
type jobRecord struct {
	ref, route string
	id         task.SubmissionID
	// submitted is closed once the submission is posted: a cancellation that is
	// posted earlier has no effect.
	submitted  chan struct{}
	callbacks  []func(task.Answer)
	answer     *task.Answer
	answeredAt time.Duration
}

func newJobs() *jobs { return &jobs{byRef: make(map[string]*jobRecord)} }

// open returns the record of a job and adds done to its callbacks; isNew is set
// if the record was created, with id as its submission. If the job has already been
// answered, done is called at once.
func (j *jobs) open(now time.Duration, sub *task.Submission, id task.SubmissionID, done func(task.Answer)) (r *jobRecord, isNew bool) {
	j.mu.Lock()
	j.expire(now)
	r = j.byRef[sub.Ref]
	if r != nil && r.answer != nil {
		a := *r.answer
		j.mu.Unlock()
		done(a)
		return r, false
	}
	defer j.mu.Unlock()
	if r == nil {
		r, isNew = &jobRecord{ref: sub.Ref, route: sub.Route, id: id, submitted: make(chan struct{})}, true
		j.byRef[sub.Ref] = r
	}
	r.callbacks = append(r.callbacks, done)
	return r, isNew
}

// close passes the answer to all waiting callbacks. If the job did not run, its
// record is removed, so that the ref can be submitted again at once. Any other
// answer is kept for answerRetention.
func (j *jobs) close(now time.Duration, r *jobRecord, a task.Answer) {
	j.mu.Lock()
	callbacks := r.callbacks
	r.callbacks = nil
	if a.State == task.NotRun {
		delete(j.byRef, r.ref)
	} else {
		a.Outcomes = nil
		r.answer, r.answeredAt = &a, now
		j.answered = append(j.answered, r)
	}
	j.mu.Unlock()
	for _, done := range callbacks {
		done(a)
	}
}

// expire removes answers that are older than answerRetention, and the oldest ones
// above maxRetainedAnswers.
func (j *jobs) expire(now time.Duration) {
	n := 0
	for n < len(j.answered) && (now-j.answered[n].answeredAt > answerRetention || len(j.answered)-n > maxRetainedAnswers) {
		delete(j.byRef, j.answered[n].ref)
		n++
	}
	j.answered = j.answered[n:]
}

// inFlight returns the record of a job, or nil if the job is not in flight.
func (j *jobs) inFlight(ref string) *jobRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.byRef[ref]
	if r == nil || r.answer != nil {
		return nil
	}
	return r
}

// SubmitJob submits a job that its client identifies by Ref. If the job is in
// flight or its answer is still kept, done gets that answer and nothing is
// submitted.
func (d *Daemon) SubmitJob(sub task.Submission, done func(task.Answer)) {
	r, isNew := d.jobs.open(d.loop.Now(), &sub, d.newSubmissionID(), done)
	if !isNew {
		return
	}
	defer close(r.submitted)
	d.submit(r.id, sub, func(a task.Answer) { d.jobs.close(d.loop.Now(), r, a) })
}

// CancelJob cancels a job and reports whether it was in flight.
func (d *Daemon) CancelJob(ref string) bool {
	r := d.jobs.inFlight(ref)
	if r == nil {
		return false
	}
	<-r.submitted
	d.Cancel([]task.SubmissionID{r.id}, task.ReasonCancelled)
	return true
}

// InFlight reports whether a job is in flight.
func (d *Daemon) InFlight(ref string) bool {
	return d.jobs.inFlight(ref) != nil
}

// Pending returns an upper bound of the jobs of a route that wait for their first
// task to start: the number of those in flight.
func (d *Daemon) Pending(route string) int {
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	n := 0
	for _, r := range d.jobs.byRef {
		if r.route == route && r.answer == nil {
			n++
		}
	}
	return n
}

// Route returns the route of a request and the rest of its path; known is false
// while there is no configuration.
func (d *Daemon) Route(host, path string) (route *fleet.Route, rest string, known bool) {
	cfg := d.config.Load()
	if cfg == nil {
		d.unroutedRequests.Add(1)
		return nil, "", false
	}
	route, rest = cfg.Routes.Find(host, path)
	return route, rest, true
}

// Accepting reports whether the load balancer should send new connections to this
// entry: it has a configuration, is not draining and is not isolated.
func (d *Daemon) Accepting() bool {
	ready, _ := d.Ready()
	return ready && !d.ShedsConnections()
}
