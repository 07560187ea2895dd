package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/task"
)

// Late service answers the load pattern of a burst, or of a loss of hosts, during
// which more work arrives than there is room for, for a few seconds. A job that
// can't meet its objective any more is still of use to its caller for a while. It
// waits behind all jobs that can be in time, and is refused as soon as the forecast
// says that no room is left for it, so that nobody is held and then refused.

const (
	// lateCheckInterval is the time between two looks at whether a late job can
	// still be of use.
	lateCheckInterval = 50 * time.Millisecond
	// lateSmoothing is the weight of a new window in the rate of late work, which
	// starts at the whole rate: a burst that has just begun says nothing yet about
	// when it ends, and one that lasts shows that no room is left.
	lateSmoothing = 0.05
	// lateMargin is the factor by which the time left must exceed the forecast: the
	// room that urgent work leaves varies.
	lateMargin = 2
)

// lateService reports whether jobs that can't meet their objective may wait.
func (e *Entry) lateService() bool {
	return e.opts.LateLimit > 1 && e.opts.Order == queue.Urgent
}

// latestUsefulStart returns the latest start of a submission that arrives now after
// which the answer is of use, or zero if a late answer never is.
func (e *Entry) latestUsefulStart(sub *task.Submission, longest, deadline time.Duration) time.Duration {
	if !e.lateService() || sub.Objective <= 0 {
		return 0
	}
	useful := min(time.Duration(e.opts.LateLimit*float64(sub.Objective)), deadline-returnMargin)
	if useful <= sub.Objective {
		return 0
	}
	return e.now + useful - longest
}

// usefulLate reports whether the forecast allows a new submission to start late and
// still be of use.
func (e *Entry) usefulLate(svc *service, sub *task.Submission) bool {
	run := svc.inTime.ShortestRun(e.now, svc.pool, longestDeclared(sub))
	latest := e.latestUsefulStart(sub, run, e.deadlineFor(svc, sub.Deadline))
	inTime, late := svc.q.WorkAheadLate(sub.Priority)
	return latest > 0 && e.now+lateMargin*svc.lateWait(e.now, inTime, late) <= latest
}

// armLateChecks sets the timers of a submission that may be served late.
func (e *Entry) armLateChecks(s *submission) {
	if s.latestUseful == 0 {
		return
	}
	e.arm(timer{at: s.latestUseful, kind: timerLatestUseful, sub: s})
	e.arm(timer{at: s.job.StartBy + lateCheckInterval, kind: timerLateCheck, sub: s})
}

// demoteIfLate ranks a submission that is about to be queued with the late ones if
// it can't start in time. It would otherwise delay others beyond their objectives.
func (e *Entry) demoteIfLate(s *submission) {
	if s.latestUseful == 0 || s.mayHaveStarted() {
		return
	}
	wait, ok := s.svc.forecast.wait(e.now, s.svc.q.WorkAhead(s.sub.Priority))
	if e.now > s.job.StartBy || ok && s.svc.q.Len() > 0 && e.now+wait > s.job.StartBy {
		e.demote(s, wait)
	}
}

func (e *Entry) demote(s *submission, wait time.Duration) {
	inTime, late := s.svc.q.WorkBeforeLate(&s.job)
	e.trace(s, "goes on late", "wait", wait, "late-wait", s.svc.lateWait(e.now, inTime, late), "latest", s.latestUseful-e.now,
		"work-in-time", inTime, "work-late", late, "rate", s.svc.forecast.rate, "late-rate", s.svc.lateForecast.rate,
		"late-rate-age", e.now-s.svc.lateForecast.measuredAt)
	s.svc.q.Demote(&s.job)
	e.stats.Demoted++
}

// continueLate decides on a submission that can't meet its objective: it goes on as
// a late one if it can still be of use, and is given up otherwise.
func (e *Entry) continueLate(s *submission) {
	if s.latestUseful == 0 || !e.canStartUseful(s) {
		e.answerAbandoned(s, task.ReasonOverload)
		return
	}
	if !s.job.Late() {
		e.demote(s, 0)
	}
}

// canStartUseful reports whether the forecast allows a submission to start while its
// answer is of use.
func (e *Entry) canStartUseful(s *submission) bool {
	inTime, late := s.svc.q.WorkBeforeLate(&s.job)
	return e.now+lateMargin*s.svc.lateWait(e.now, inTime, late) <= s.latestUseful
}

// dropIfUseless gives up a late submission of which no task was sent once the
// forecast shows that its answer won't be of use.
func (e *Entry) dropIfUseless(s *submission) {
	if s.waitsLate() && !e.canStartUseful(s) {
		e.answerAbandoned(s, task.ReasonOverload)
	}
}

// checkLate repeats dropIfUseless while a submission waits.
func (e *Entry) checkLate(s *submission) {
	e.dropIfUseless(s)
	if s.waitsLate() {
		e.arm(timer{at: e.now + lateCheckInterval, kind: timerLateCheck, sub: s})
	}
}

// dropUseless gives up a submission of which no task was sent when its answer can
// no longer be of use.
func (e *Entry) dropUseless(s *submission) {
	if s.waitsLate() {
		e.answerAbandoned(s, task.ReasonOverload)
	}
}

// waitsLate reports whether a submission is late and none of its tasks was sent.
func (s *submission) waitsLate() bool {
	return !s.answered && s.job.Late() && !s.mayHaveStarted() && len(s.ready) == len(s.tasks)
}

// lateWait returns how long a late job waits until the given work, in seconds, that
// can be in time and the late work before it are placed at the rates measured.
// Without them it is zero.
func (s *service) lateWait(now time.Duration, inTime, late float64) time.Duration {
	wait, ok := s.forecast.wait(now, inTime)
	if !ok {
		return 0
	}
	if !s.lateForecast.known(now) {
		return wait + s.forecast.placementTime(late)
	}
	return wait + s.lateForecast.placementTime(late)
}

// observeForecasts records in both forecasts whether work waits for placement now.
func (s *service) observeForecasts(now time.Duration, waiting bool) {
	s.forecast.observe(now, waiting)
	lateWaits := waiting && s.q.LateLen() > 0
	s.lateForecast.observe(now, lateWaits)
	if lateWaits && s.lateForecast.stale(now) && s.forecast.known(now) {
		// Most bursts end soon.
		s.lateForecast.assume(now, s.forecast.rate)
	}
}

// addPlacedWork adds a task of a job that was sent to an agent to the forecasts.
func (s *service) addPlacedWork(j *queue.Job) {
	work := j.TaskRunTime().Seconds()
	s.forecast.addPlacedWork(work)
	if j.Late() {
		s.lateForecast.addPlacedWork(work)
	}
}
