package entryd

import (
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// answerRetention is how long the answer to a job is kept for a late copy of
	// the request.
	answerRetention = 10 * time.Second
	// maxRetainedAnswers bounds the answers kept.
	maxRetainedAnswers = 10_000
)

// jobs pairs the jobs that clients name with submissions, so that the same job
// handed in twice is one submission. It is safe for concurrent use.
type jobs struct {
	mu    sync.Mutex
	byRef map[string]*jobRecord
	// answered lists records that are kept, the oldest first.
	answered []*jobRecord
}

// jobRecord is a job in flight, or one that has ended lately.
type jobRecord struct {
	ref, route string
	id         task.SubmissionID
	callbacks  []func(task.Answer)
	answer     *task.Answer
	answeredAt time.Duration
}

func newJobs() *jobs { return &jobs{byRef: make(map[string]*jobRecord)} }

// open returns the record of a job; fresh is set if it was not known.
func (j *jobs) open(now time.Duration, sub *task.Submission, done func(task.Answer)) (r *jobRecord, fresh bool) {
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
		r, fresh = &jobRecord{ref: sub.Ref, route: sub.Route}, true
		j.byRef[sub.Ref] = r
	}
	r.callbacks = append(r.callbacks, done)
	return r, fresh
}

// close hands the answer to all who wait. A job that did not run may be handed
// in again; any other answer is kept for a while.
func (j *jobs) close(now time.Duration, r *jobRecord, a task.Answer) {
	j.mu.Lock()
	waiting := r.callbacks
	r.callbacks = nil
	if a.State == task.NotRun {
		delete(j.byRef, r.ref)
	} else {
		a.Outcomes = nil
		r.answer, r.answeredAt = &a, now
		j.answered = append(j.answered, r)
	}
	j.mu.Unlock()
	for _, done := range waiting {
		done(a)
	}
}

func (j *jobs) expire(now time.Duration) {
	n := 0
	for n < len(j.answered) && (now-j.answered[n].answeredAt > answerRetention || len(j.answered)-n > maxRetainedAnswers) {
		delete(j.byRef, j.answered[n].ref)
		n++
	}
	j.answered = j.answered[n:]
}

func (j *jobs) inFlight(ref string) (task.SubmissionID, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r := j.byRef[ref]
	if r == nil || r.answer != nil {
		return task.SubmissionID{}, false
	}
	return r.id, true
}

func (j *jobs) setID(r *jobRecord, id task.SubmissionID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.id = id
}

// SubmitJob hands in a job that its client names by Ref.
func (d *Daemon) SubmitJob(sub task.Submission, done func(task.Answer)) {
	r, fresh := d.jobs.open(d.loop.Now(), &sub, done)
	if !fresh {
		return
	}
	id := d.Submit(sub, func(a task.Answer) { d.jobs.close(d.loop.Now(), r, a) })
	d.jobs.setID(r, id)
}

// CancelJob ends a job and reports whether it was in flight.
func (d *Daemon) CancelJob(ref string) bool {
	id, ok := d.jobs.inFlight(ref)
	if ok {
		d.Cancel([]task.SubmissionID{id})
	}
	return ok
}

// InFlight reports whether a job is in flight.
func (d *Daemon) InFlight(ref string) bool {
	_, ok := d.jobs.inFlight(ref)
	return ok
}

// Pending returns how many jobs of a route are in flight and wait for their
// first task, as an upper bound: all that are in flight.
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

// Accepting says whether the balancer should send new connections here.
func (d *Daemon) Accepting() bool {
	ready, _ := d.Ready()
	return ready && !d.TurnsAway()
}
