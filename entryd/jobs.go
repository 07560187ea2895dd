package entryd

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpserve"
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
	openedAt   time.Duration
	// previous is closed once the cancellation of the ref's abandoned submission
	// is posted; nil if there is none.
	previous <-chan struct{}
	// submitted is closed once the submission is posted: a cancellation that is
	// posted earlier has no effect.
	submitted chan struct{}
	callers   []*jobCaller
	// abandoned is set when the last caller has left. Nobody joins the job then.
	abandoned bool
	// cancelled is closed once the cancellation of an abandoned job is posted.
	cancelled  chan struct{}
	answer     *task.Answer
	answeredAt time.Duration
}

// jobCaller is a caller that waits for the answer to a job.
type jobCaller struct {
	done func(task.Answer)
	// stopWatch ends the watch of the caller's connection.
	stopWatch func()
	// late is set if the caller's request was read after its deadline.
	late bool
	// record is nil until the caller has joined a job. left is set if it has left
	// before.
	record *jobRecord
	left   bool
}

// answer answers a caller that has not left.
func (c *jobCaller) answer(a task.Answer) {
	c.stopWatch()
	c.done(a)
}

func newJobs() *jobs { return &jobs{byRef: make(map[string]*jobRecord)} }

// open returns the record of a job and adds c to its callers; isNew is set if the
// record was created, with id as its submission. If the job has already been
// answered, c is answered at once. The result is nil if c has left, or is late and
// the job would be new.
func (j *jobs) open(now time.Duration, sub *task.Submission, id task.SubmissionID, c *jobCaller) (r *jobRecord, isNew bool) {
	j.mu.Lock()
	j.expire(now)
	r = j.byRef[sub.Ref]
	if r != nil && r.answer != nil {
		a := *r.answer
		j.mu.Unlock()
		c.answer(a)
		return r, false
	}
	defer j.mu.Unlock()
	if c.left {
		return nil, false
	}
	if r == nil || r.abandoned {
		if c.late {
			return nil, false
		}
		isNew = true
		r = newJobRecord(now, sub, id, r)
		j.byRef[sub.Ref] = r
	}
	c.record = r
	r.callers = append(r.callers, c)
	return r, isNew
}

// newJobRecord returns the record of a new job. The record abandoned is that of the
// ref's earlier submission, nil if there is none.
func newJobRecord(now time.Duration, sub *task.Submission, id task.SubmissionID, abandoned *jobRecord) *jobRecord {
	r := &jobRecord{
		ref: sub.Ref, route: sub.Route, id: id, openedAt: now,
		submitted: make(chan struct{}), cancelled: make(chan struct{}),
	}
	if abandoned != nil {
		r.previous = abandoned.cancelled
	}
	return r
}

// leave removes a caller whose connection has ended from its job and returns the
// number of those that stay. The job is abandoned if there is none. The result r is
// nil if c has no job or was answered.
func (j *jobs) leave(c *jobCaller) (r *jobRecord, remaining int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if c.record == nil {
		c.left = true
		return nil, 0
	}
	r = c.record
	i := slices.Index(r.callers, c)
	if i < 0 {
		return nil, 0
	}
	r.callers = slices.Delete(r.callers, i, i+1)
	r.abandoned = len(r.callers) == 0
	return r, len(r.callers)
}

// close passes the answer to all waiting callers. An answer that says how the job
// ended is kept for answerRetention. After any other one its clients send the job
// again to have it run, so that the record is removed. Of an abandoned job, only a
// complete answer is kept: any other one results from its cancellation.
func (j *jobs) close(now time.Duration, r *jobRecord, a task.Answer) {
	a.Outcomes = nil
	j.mu.Lock()
	callers := r.callers
	r.callers = nil
	if j.byRef[r.ref] == r {
		if !saysHowJobEnded(a) || r.abandoned && a.State != task.Complete {
			delete(j.byRef, r.ref)
		} else {
			r.answer, r.answeredAt = &a, now
			j.answered = append(j.answered, r)
		}
	}
	j.mu.Unlock()
	for _, c := range callers {
		c.answer(a)
	}
}

// saysHowJobEnded reports whether an answer is final for a job, not only for the
// submission that it answers.
func saysHowJobEnded(a task.Answer) bool {
	switch a.Reason {
	case task.ReasonUpstreamError, task.ReasonNeverFits, task.ReasonCrashesUpstreams, task.ReasonCancelled:
		return a.State != task.NotRun
	}
	return a.State == task.Complete
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
	if r == nil || r.answer != nil || r.abandoned {
		return nil
	}
	return r
}

// SubmitJob submits a job that its client identifies by Ref. If the job is in
// flight or its answer is still kept, done gets that answer and nothing is
// submitted. If the client closes conn, done gets an answer with reason
// task.ReasonCallerGone, and the job is cancelled once no other client waits for it.
// The time that the request has waited to be read counts against its deadline.
func (d *Daemon) SubmitJob(sub task.Draft, conn net.Conn, done func(task.Answer)) {
	unread := httpserve.UnreadTime(conn)
	if httpserve.Disconnected(conn) {
		d.logRequest("dropped a request whose caller had left", sub.Ref, "unread", unread)
		done(callerGone)
		return
	}
	c := &jobCaller{done: done, late: sub.Deadline > 0 && unread >= sub.Deadline}
	if sub.Deadline > 0 {
		sub.Deadline -= unread
	}
	c.stopWatch = httpserve.Watch(conn, func() { d.callerLeft(c) })
	now := d.loop.Now()
	r, isNew := d.jobs.open(now, &sub.Submission, d.newSubmissionID(), c)
	switch {
	case isNew:
		d.submitJob(r, sub, unread)
	case r != nil:
		d.recordResend(now, r)
	case c.late:
		d.logRequest("refused a request after its deadline", sub.Ref, "unread", unread)
		c.answer(task.Answer{State: task.NotRun, Reason: task.ReasonDeadline, Detail: "this entry read the request after its deadline"})
	default:
		c.answer(callerGone)
	}
}

// submitJob submits a new job after the cancellation of its abandoned submission. unread
// is that of entry.Submit.
func (d *Daemon) submitJob(r *jobRecord, draft task.Draft, unread time.Duration) {
	if r.previous != nil {
		<-r.previous
	}
	defer close(r.submitted)
	size, refusal := d.room.reserve(&draft)
	if refusal != nil {
		d.logRequest("refused a job for want of room", r.ref, "tasks", draft.Count, "reason", refusal.Reason, "why", refusal.Detail)
		refusal.ID = r.id
		d.jobs.close(d.loop.Now(), r, *refusal)
		return
	}
	sub := draft.Submission
	sub.Tasks = draft.Build()
	d.submit(entry.Submit{ID: r.id, Sub: sub, Unread: unread}, func(a task.Answer) {
		d.room.release(size)
		d.jobs.close(d.loop.Now(), r, a)
	})
}

// callerGone is the answer for a caller that has left. Its job may run for others.
var callerGone = task.Answer{State: task.Unknown, Reason: task.ReasonCallerGone, Detail: "the caller has closed its connection"}

// callerLeft withdraws a caller whose connection has ended, and cancels its job if
// no other caller waits for it.
func (d *Daemon) callerLeft(c *jobCaller) {
	r, remaining := d.jobs.leave(c)
	if r == nil {
		return
	}
	d.logRequest("caller left", r.ref, "submission", r.id, "age", (d.loop.Now() - r.openedAt).Round(time.Microsecond), "callers_left", remaining)
	if remaining == 0 {
		<-r.submitted
		d.Cancel([]task.SubmissionID{r.id}, task.ReasonCallerGone)
		close(r.cancelled)
	}
	c.done(callerGone)
}

// logRequest logs a decision about a request for a job.
func (d *Daemon) logRequest(message, ref string, inputs ...any) {
	if d.opts.Trace {
		now := d.loop.Now()
		d.logDecision(entry.Decision{Ref: ref, Message: message, At: now, Inputs: inputs, Incomplete: true}, now)
	}
}

// recordResend counts and logs a job that is sent again while this entry holds it or
// keeps its answer.
func (d *Daemon) recordResend(now time.Duration, r *jobRecord) {
	d.jobs.mu.Lock()
	answered := r.answer != nil && r.answeredAt <= now
	d.jobs.mu.Unlock()
	if answered {
		d.meter.metrics.ResentAnswered.Inc(1)
	} else {
		d.meter.metrics.ResentInFlight.Inc(1)
	}
	if !d.opts.Trace {
		return
	}
	d.logDecision(entry.Decision{Ref: r.ref, Message: "job sent again", At: now, Inputs: []any{
		"submission", r.id, "answered", answered, "first-sent", now - r.openedAt,
	}}, now)
}

// CancelJob cancels a job that this entry or another one holds.
func (d *Daemon) CancelJob(ref string) task.Cancellation {
	r := d.jobs.inFlight(ref)
	if r != nil {
		<-r.submitted
		d.Cancel([]task.SubmissionID{r.id}, task.ReasonCancelled)
	}
	// The agents that keep the lock end the copies of the request at other entries.
	outcome := d.cancellations.passOn(ref, d.loop.Post, d.log)
	if r != nil {
		return task.Cancelled
	}
	return outcome
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
		if r.route == route && r.answer == nil && !r.abandoned {
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
	return ready && !d.withdrawn()
}
