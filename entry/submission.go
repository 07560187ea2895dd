package entry

import (
	"sort"
	"time"

	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// taskState is the state of a task of a submission.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskSent
	taskDone
)

// taskRecord is the state of one task of a submission.
type taskRecord struct {
	state   taskState
	attempt uint32
	// failures counts runs that failed with an upstream error.
	failures uint32
	agent    *agent // agent that holds the task while it is sent
	outcome  task.Outcome
}

// submission is the state of a submission from admission to answer.
type submission struct {
	id        task.SubmissionID
	sub       task.Submission // as received from the caller; without its tasks once answered
	svc       *service
	job       queue.Job
	tasks     []taskRecord
	ready     []uint32 // indices of waiting tasks; the last one is next
	remaining int      // number of tasks that are not done
	arrived   time.Duration
	// unread is Submit.Unread.
	unread     time.Duration
	deadline   time.Duration
	mayHaveRun bool // an attempt ended with an outcome other than not run
	inFlight   int  // number of tasks sent and not ended
	// runsUntil is when the runs with an unknown outcome have ended.
	runsUntil time.Duration
	lock      jobLock
	// displaced is set once a task came back because its failure domain is evacuated.
	displaced    bool
	answered     bool
	claimStage   claimStage
	claimRequest uint64
	messages     uint32
	wasted       uint32
	longestRun   time.Duration
	placed       uint32        // number of tasks placed at least once
	queueTime    time.Duration // time from arrival until every task had been placed
	// held is set once a task of the job has waited for a faster upstream.
	held  bool
	trace []Decision
	// bytes is what the submission takes of Options.MaxBytes.
	bytes int
}

// taskID returns the ID of the current attempt at task i.
func (s *submission) taskID(i uint32) task.ID {
	return task.ID{Submission: s.id, Index: i, Attempt: s.tasks[i].attempt}
}

// newSubmission returns the state of a new submission. Its longest declared
// tasks are dispatched first, since they determine when the job ends.
func (e *Entry) newSubmission(ev Submit, svc *service, deadline time.Duration) *submission {
	n := len(ev.Sub.Tasks)
	s := &submission{
		id:        ev.ID,
		sub:       ev.Sub,
		svc:       svc,
		tasks:     make([]taskRecord, n),
		ready:     make([]uint32, n),
		remaining: n,
		arrived:   e.now,
		unread:    ev.Unread,
		deadline:  e.now + deadline,
	}
	for i := range s.ready {
		s.ready[i] = uint32(n - 1 - i)
	}
	specs := s.sub.Tasks
	sort.SliceStable(s.ready, func(a, b int) bool {
		return specs[s.ready[a]].DeclaredRunTime < specs[s.ready[b]].DeclaredRunTime
	})
	s.job = queue.Job{
		Team:            s.sub.Team,
		Arrived:         e.now,
		LongestDeclared: specs[s.ready[n-1]].DeclaredRunTime,

		Priority: s.sub.Priority,
		StartBy:  s.deadline,
		Owner:    s,
	}
	if s.sub.Objective > 0 {
		run := svc.inTime.ShortestRun(e.now, svc.pool, s.job.LongestDeclared)
		s.job.StartBy = e.now + s.sub.Objective - run
	}
	return s
}

// start sets the timers of an admitted submission and queues its tasks, if it has
// a caller's id once no other submission of the job can have runs.
func (e *Entry) start(s *submission) {
	e.trace(s, "admitted", "service", s.sub.Service, "route", s.sub.Route, "priority", s.sub.Priority,
		"tasks", len(s.tasks), "objective", s.sub.Objective, "deadline", s.deadline-e.now,
		"waiting", s.svc.q.Len(), "agents", s.svc.pool.Len(), "config", e.cfg.Index)
	e.arm(timer{at: s.deadline, kind: timerDeadline, sub: s})
	if at := s.deadline - s.job.LongestDeclared/declaredErrorFactor; s.job.LongestDeclared > 0 && at > e.now {
		e.arm(timer{at: at, kind: timerInfeasible, sub: s})
	}
	if s.sub.Objective > 0 {
		e.arm(timer{at: s.arrived + s.sub.Objective/forecastCheckDivisor, kind: timerForecastCheck, sub: s})
		e.arm(timer{at: s.job.StartBy, kind: timerLatestStart, sub: s})
	}
	if s.sub.Ref != "" {
		e.awaitLock(s)
		return
	}
	e.enqueue(s)
}

// enqueue queues the submission's tasks for placement.
func (e *Entry) enqueue(s *submission) {
	s.svc.q.Add(&s.job, uint32(len(s.ready)))
	e.markActive(s.svc)
}

// requeue puts a task back in the queue as its next attempt.
func (e *Entry) requeue(s *submission, i uint32) {
	s.tasks[i].state = taskWaiting
	s.tasks[i].attempt++
	s.ready = append(s.ready, i)
	s.svc.q.Add(&s.job, 1)
	e.markActive(s.svc)
}

// finish records the outcome of a task. It answers the submission if this was
// the last task or if the submission can no longer complete.
func (e *Entry) finish(s *submission, i uint32, o task.Outcome) {
	s.tasks[i].state = taskDone
	s.tasks[i].outcome = o
	e.occupy(s, len(o.Body))
	s.remaining--
	s.longestRun = max(s.longestRun, o.Ran)
	if o.State != task.Complete {
		e.answerFailed(s, o)
		return
	}
	if s.remaining == 0 {
		e.answerComplete(s)
	}
}

func (e *Entry) answerComplete(s *submission) {
	outs := make([]task.Outcome, len(s.tasks))
	for i := range s.tasks {
		outs[i] = s.tasks[i].outcome
	}
	e.answer(s, task.Answer{State: task.Complete, Outcomes: outs})
}

// answerFailed answers a submission after a task that did not complete. If any
// task may have started, "not run" becomes "failed". A job also fails if the
// outcome of a task is unknown. Otherwise the answer has the state of the task.
func (e *Entry) answerFailed(s *submission, o task.Outcome) {
	state := o.State
	switch {
	case state == task.NotRun && s.mayHaveStarted():
		state = task.Failed
	case s.sub.Job && state == task.Unknown:
		state = task.Failed
	}
	e.answer(s, task.Answer{
		State:      state,
		Reason:     o.Reason,
		Detail:     describe(o),
		RetryAfter: e.retryAfter(s, o.Reason),
	})
}

// mayHaveStarted reports whether any task may have started.
func (s *submission) mayHaveStarted() bool { return s.mayHaveRun || s.inFlight > 0 }

// answer gives the final answer and discards the submission: waiting tasks
// leave the queue, and sent tasks are cancelled at their agents.
func (e *Entry) answer(s *submission, a task.Answer) {
	if s.answered {
		return
	}
	s.answered = true
	a.ID = s.id
	a.MaxRunTime = s.longestRun
	a.QueueTime = s.queueTime
	a.Messages = s.messages
	a.Wasted = s.wasted
	delete(e.subs, s.id)
	e.release(s)
	s.svc.q.Remove(&s.job)
	s.svc.removeDeferred(&s.job)
	s.svc.inSystem -= len(s.tasks)
	if a.State == task.NotRun {
		e.returnQuota(s)
	}
	if s.inFlight > 0 {
		e.cancelSent(s)
	}
	e.observeUnanswered(s)
	e.resolveClaim(s, a)
	e.emitTrace(s, &a)
	e.stats.answered(a)
	e.emit(Answer{a})
	s.sub.Tasks = nil
	s.tasks = nil
	s.ready = nil
	e.checkOver(s)
}

// cancelSent cancels the submission's tasks at each agent that holds one, with
// one message per agent.
func (e *Entry) cancelSent(s *submission) {
	for i := range s.tasks {
		if s.tasks[i].state != taskSent {
			continue
		}
		a := s.tasks[i].agent
		a.toCancel = append(a.toCancel, s.taskID(uint32(i)))
		e.markDirty(a)
	}
}

// cancel ends submissions at the request of their callers, or because these have
// left.
func (e *Entry) cancel(ev Cancel) {
	reason := ev.Reason
	if reason == task.ReasonNone {
		reason = task.ReasonCancelled
	}
	for _, id := range ev.IDs {
		s := e.subs[id]
		if s == nil {
			continue
		}
		e.trace(s, "cancelled", "submission", s.id, "reason", reason, "age", e.now-s.arrived,
			"tasks_sent", s.inFlight, "tasks_waiting", len(s.ready))
		e.answerAbandoned(s, reason)
	}
}

// answerAbandoned immediately answers a submission that is given up. The state
// is "not run" if no task can have started.
func (e *Entry) answerAbandoned(s *submission, reason task.Reason) {
	state := task.NotRun
	if s.mayHaveStarted() {
		state = task.Failed
		if !s.sub.Job {
			state = task.Unknown
		}
	}
	e.answer(s, task.Answer{
		State:      state,
		Reason:     reason,
		Detail:     describe(task.Outcome{State: state, Reason: reason}),
		RetryAfter: e.retryAfter(s, reason),
	})
}

// deadlinePassed gives up a submission at its deadline. Only waiting tasks
// count as late for the limiter, since a running task may simply take longer
// than its deadline allows. Nor does a wait for a job lock show load.
func (e *Entry) deadlinePassed(s *submission) {
	if s.answered {
		return
	}
	if !s.lock.waiting() {
		for range s.ready {
			s.svc.limit.RecordLate(e.now)
		}
	}
	e.answerAbandoned(s, task.ReasonDeadline)
}

// dropInfeasible gives up a submission with waiting tasks if the remaining time
// is too short for the longest of them, even if its declared run time is too
// high by declaredErrorFactor.
func (e *Entry) dropInfeasible(s *submission) {
	if s.answered || len(s.ready) == 0 {
		return
	}
	var longest time.Duration
	for _, i := range s.ready {
		longest = max(longest, s.sub.Tasks[i].DeclaredRunTime)
	}
	if e.now+longest/declaredErrorFactor >= s.deadline {
		e.answerAbandoned(s, task.ReasonDeadline)
	}
}

// forecastCheckDivisor gives the time from arrival to the forecast check as a
// fraction of the objective. The platform charges for refusals that come later.
const forecastCheckDivisor = 5

// dropByForecast gives up a submission of which no task was sent if the forecast
// shows that it can't start in time, so that the caller learns this early.
func (e *Entry) dropByForecast(s *submission) {
	if s.answered || s.mayHaveStarted() || len(s.ready) < len(s.tasks) {
		return
	}
	wait, ok := s.svc.forecast.wait(e.now, s.svc.q.WorkBefore(&s.job))
	if s.job.Late() || ok && e.now+wait > s.job.StartBy {
		e.answerAbandoned(s, task.ReasonOverload)
	}
}

// dropAtLatestStart gives up a submission of which no task was sent and that
// can no longer meet its objective.
func (e *Entry) dropAtLatestStart(s *submission) {
	if s.answered || s.mayHaveStarted() || len(s.ready) < len(s.tasks) {
		return
	}
	e.answerAbandoned(s, task.ReasonOverload)
}

// shouldResend reports whether another attempt follows an attempt with the given
// outcome. No attempt follows the answer or the deadline. An attempt that did not
// run is otherwise followed by another unless it was cancelled or fits no agent; one
// that has refused it for good speaks for itself only. For attempts that may have run,
// shouldRestart and shouldRetry decide.
func (e *Entry) shouldResend(s *submission, i uint32, o task.Outcome) bool {
	if s.answered || e.now >= s.deadline {
		return false
	}
	switch {
	case o.State == task.NotRun:
		if o.Reason == task.ReasonNeverFits {
			return !e.neverFits(s.svc, s.sub.Tasks[i].Need)
		}
		return o.Reason != task.ReasonCancelled
	case o.State == task.Failed && s.sub.Restart:
		return e.shouldRestart(s, i, o)
	case o.State == task.Failed, o.State == task.Unknown:
		return e.shouldRetry(s, i, o)
	}
	return false
}

// shouldRetry reports whether a request that may have run is sent again. If so,
// it takes the retry from the budget.
func (e *Entry) shouldRetry(s *submission, i uint32, o task.Outcome) bool {
	return !s.sub.Job && s.sub.Idempotent && s.sub.IdempotencyKey == "" &&
		retryable(o.Reason) &&
		s.tasks[i].attempt+1 < e.cfg.Retry.MaxAttempts &&
		s.svc.retries.Take(e.now)
}

// shouldRestart reports whether a failed task of a job is run again. It counts
// upstream errors; only these count towards MaxAttempts.
func (e *Entry) shouldRestart(s *submission, i uint32, o task.Outcome) bool {
	if o.Reason == task.ReasonCutOff || o.Reason == task.ReasonStalled {
		return true
	}
	if o.Reason != task.ReasonUpstreamError {
		return false
	}
	s.tasks[i].failures++
	return s.tasks[i].failures < s.sub.MaxAttempts
}

// retryable reports whether a request that ended for the given reason may be
// sent again if it is idempotent.
func retryable(r task.Reason) bool {
	switch r {
	case task.ReasonUpstreamError, task.ReasonUpstreamGone, task.ReasonAgentGone, task.ReasonAgentRestarted:
		return true
	}
	return false
}

// assignment returns task i of the submission in the form that is sent to its
// agent.
func (e *Entry) assignment(s *submission, i uint32, rank float64) wire.Assignment {
	remaining := s.deadline - e.now
	a := wire.Assignment{
		ID:          s.taskID(i),
		Team:        s.sub.Team,
		Spec:        s.sub.Tasks[i],
		Rank:        rank,
		StartWithin: max(remaining-returnMargin, 0),
		RunWithin:   remaining,
		Kind:        s.sub.Route,
	}
	e.isolate(s, i, &a)
	return a
}
