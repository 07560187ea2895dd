package entry

import (
	"fmt"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

const (
	// declaredErrorFactor is the factor by which declared run times may be too
	// high or too low.
	declaredErrorFactor = 4
	// notReadyRetryAfter, noUpstreamRetryAfter, lostTaskRetryAfter and
	// claimRetryAfter are the retry delays of refusals for which no completion
	// rate gives an estimate. notReadyRetryAfter applies while the entry drains
	// or has no configuration yet.
	notReadyRetryAfter   = time.Second
	noUpstreamRetryAfter = 2 * time.Second
	lostTaskRetryAfter   = time.Second
	claimRetryAfter      = time.Second
	// defaultDeadline applies if neither the caller nor the service sets a
	// deadline.
	defaultDeadline = 30 * time.Second
)

// refusal is the reason why a submission is not admitted.
type refusal struct {
	reason     task.Reason
	detail     string
	retryAfter time.Duration
}

// submit admits a submission or immediately answers that it was not run, with
// the reason.
func (e *Entry) submit(ev Submit) {
	e.stats.Submitted++
	if _, dup := e.subs[ev.ID]; dup {
		return
	}
	svc, r := e.admit(ev)
	if r != nil {
		e.emitRefusal(&ev, svc, r)
		a := task.Answer{ID: ev.ID, State: task.NotRun, Reason: r.reason, Detail: r.detail, RetryAfter: r.retryAfter}
		e.stats.answered(a)
		e.emit(Answer{a})
		return
	}
	s := e.newSubmission(ev, svc, e.deadlineFor(svc, ev.Sub.Deadline))
	e.subs[s.id] = s
	e.occupy(s, submissionSize(&s.sub))
	svc.inSystem += len(s.tasks)
	if s.sub.IdempotencyKey != "" {
		e.requestClaim(s)
		return
	}
	e.start(s)
}

// admit checks a submission against the configuration, the announced workers,
// the load and the team's quota.
func (e *Entry) admit(ev Submit) (*service, *refusal) {
	sub := &ev.Sub
	if e.draining {
		return nil, &refusal{task.ReasonDraining, "this entry is shutting down", notReadyRetryAfter}
	}
	if e.cfg == nil {
		return nil, &refusal{task.ReasonBusy, "this entry has no configuration yet", notReadyRetryAfter}
	}
	sc, ok := e.cfg.Services[sub.Service]
	if !ok {
		return nil, &refusal{reason: task.ReasonUnknownService, detail: fmt.Sprintf("service %q is not configured", sub.Service)}
	}
	svc := e.service(sub.Service).laneFor(sub.Route)
	if r := e.checkTeam(sub); r != nil {
		return svc, r
	}
	if r := checkSize(sub, sc.MaxTasks, sc.MaxBody); r != nil {
		return svc, r
	}
	if r := e.checkRoom(sub); r != nil {
		return svc, r
	}
	if r := e.checkGuilt(svc, sub); r != nil {
		return svc, r
	}
	if r := e.checkLane(svc); r != nil {
		return svc, r
	}
	if r := e.checkEvacuation(svc, sub); r != nil {
		return svc, r
	}
	if r := e.checkFit(svc, sub); r != nil {
		return svc, r
	}
	if r := e.checkLoad(svc, sub); r != nil {
		return svc, r
	}
	if r := e.checkTurnaround(svc, sub); r != nil {
		return svc, r
	}
	if r := e.checkObjective(svc, sub); r != nil {
		return svc, r
	}
	return svc, e.checkQuota(sub)
}

func checkSize(sub *task.Submission, maxTasks, maxBody uint32) *refusal {
	switch n := len(sub.Tasks); {
	case n == 0:
		return &refusal{reason: task.ReasonTooLarge, detail: "a submission needs at least one task"}
	case !sub.Job && n != 1:
		return &refusal{reason: task.ReasonTooLarge, detail: fmt.Sprintf("a request has one task, this one has %d", n)}
	case maxTasks > 0 && n > int(maxTasks):
		return &refusal{reason: task.ReasonTooLarge, detail: fmt.Sprintf("%d tasks, at most %d are allowed", n, maxTasks)}
	}
	for i := range sub.Tasks {
		if n := len(sub.Tasks[i].Payload); maxBody > 0 && n > int(maxBody) {
			return &refusal{reason: task.ReasonTooLarge, detail: fmt.Sprintf("payload of task %d has %d bytes, at most %d are allowed", i, n, maxBody)}
		}
	}
	return nil
}

// checkLoad rejects a submission that would exceed the service's limit on tasks
// in the system and estimates when the limit will admit it.
func (e *Entry) checkLoad(svc *service, sub *task.Submission) *refusal {
	svc.limit.SetBounds(e.limitBounds(svc))
	ok, after := svc.limit.Admit(e.now, svc.inSystem, len(sub.Tasks))
	if ok {
		return nil
	}
	return &refusal{
		reason:     task.ReasonOverload,
		detail:     fmt.Sprintf("%d tasks are in the system for service %q, its limit is %d now", svc.inSystem, svc.name, svc.limit.Limit(e.now)),
		retryAfter: after,
	}
}

// checkTurnaround rejects a submission that can't start in time because this entry
// is short of processor or link.
func (e *Entry) checkTurnaround(svc *service, sub *task.Submission) *refusal {
	if e.opts.ShedAbove == 0 || e.turnaround.median(e.now) <= e.opts.ShedAbove || sub.Objective <= 0 || sub.Ref == "" || e.runsEndWithin == 0 {
		return nil
	}
	slack := sub.Objective - longestDeclared(sub)
	ok, needs := e.turnaround.admit(e.now, slack)
	if ok {
		return nil
	}
	e.stats.Shed++
	return &refusal{
		reason:     task.ReasonOverload,
		detail:     fmt.Sprintf("agents answer this entry so late that a start takes %s, %s are left", needs.Round(time.Millisecond), slack.Round(time.Millisecond)),
		retryAfter: minOverloadRetryAfter,
	}
}

// checkObjective rejects a submission that would wait beyond the latest start
// that meets its objective.
func (e *Entry) checkObjective(svc *service, sub *task.Submission) *refusal {
	if sub.Objective <= 0 || svc.q.Len() == 0 {
		return nil
	}
	wait, ok := svc.forecast.wait(e.now, svc.q.WorkAhead(sub.Priority))
	slack := sub.Objective - longestDeclared(sub)
	if !ok || wait <= slack {
		return nil
	}
	return &refusal{
		reason:     task.ReasonOverload,
		detail:     fmt.Sprintf("would wait %s, its objective leaves %s", wait.Round(time.Millisecond), slack),
		retryAfter: max(wait-slack, minOverloadRetryAfter),
	}
}

// minOverloadRetryAfter is the shortest retry delay after a refusal by
// checkObjective. Bursts last seconds, so an earlier retry would be refused
// again.
const minOverloadRetryAfter = time.Second

func longestDeclared(sub *task.Submission) time.Duration {
	longest := time.Duration(0)
	for i := range sub.Tasks {
		longest = max(longest, sub.Tasks[i].DeclaredRunTime)
	}
	return longest
}

// limitBounds returns the bounds of the number of tasks of a service in the
// system. The lower bound keeps slots from being idle because of the limit.
func (e *Entry) limitBounds(svc *service) (low, high int) {
	slots := svc.pool.Slots()
	waiting := int(svc.cfg.MaxWaiting)
	if waiting == 0 {
		waiting = defaultMaxWaiting
	}
	return 2 * slots, 2*slots + waiting
}

// deadlineFor returns the time allowed for a submission.
func (e *Entry) deadlineFor(svc *service, requested time.Duration) time.Duration {
	d := requested
	if d <= 0 {
		d = svc.cfg.Deadline
	}
	if d <= 0 {
		d = defaultDeadline
	}
	if m := svc.cfg.MaxDeadline; m > 0 {
		d = min(d, m)
	}
	return d
}
