package entry

import (
	"math"
	"time"

	"github.com/fireflytray/fireflytray/entry/placement"
)

// observePace adds a complete run to the run times at an agent's upstream.
func (e *Entry) observePace(a *agent, declared, ran time.Duration) {
	if !e.opts.Speeds || declared <= 0 || ran <= 0 {
		return
	}
	a.svc.spread.Observe(a.runTimes.Observe(math.Log(ran.Seconds() / declared.Seconds())))
}

// forgetPace drops the runs of an upstream that another one has replaced. Until
// the next review the agent has the speed of the mean one.
func (e *Entry) forgetPace(a *agent) {
	a.runTimes = placement.RunTimes{}
	a.reportedLogRatio = 0
	switch {
	case a.Speed == 0:
	case a.pooled:
		a.svc.pool.SetSpeed(&a.Agent, 1)
	default:
		a.Speed = 1
	}
}

// maxLogRatio bounds the logarithm of actual over declared run times that an agent may
// report. Days over microseconds are within it, and sums over all agents stay finite.
const maxLogRatio = 50.0

// noteReportedRatio keeps the run time ratio that an agent reports, unless it is no
// possible one. An agent has none after its upstream was replaced, so one that vanishes
// shows a replacement.
func (e *Entry) noteReportedRatio(a *agent, ratio float64) {
	if !(math.Abs(ratio) <= maxLogRatio) { // NaN is not
		e.emit(Decision{Message: "run time ratio ignored", At: e.now, Incomplete: true, Inputs: []any{
			"agent", a.ID, "log-ratio", ratio, "kept", a.reportedLogRatio,
		}})
		return
	}
	if ratio == 0 && a.reportedLogRatio != 0 {
		e.forgetPace(a)
	}
	a.reportedLogRatio = ratio
}

// estimateSpeeds sets the speeds of a service's agents from their runs.
func (e *Entry) estimateSpeeds(s *service) {
	if !e.opts.Speeds {
		return
	}
	agents := s.pool.Agents()
	upstreams := make([]placement.Upstream, len(agents))
	for i, p := range agents {
		a := e.agents[p.ID]
		upstreams[i] = placement.Upstream{Kind: p.Offered, Runs: a.runTimes.With(a.reportedLogRatio), Exceptional: p.Slow}
	}
	for i, v := range placement.Speeds(upstreams, s.spread.Variance()) {
		s.pool.SetSpeed(agents[i], v)
	}
}

// pick returns the agent for task i of a submission, or nil if it has to wait.
func (e *Entry) pick(s *service, sub *submission, i uint32) (*placement.Agent, forecastEnd) {
	need := sub.sub.Tasks[i].Need
	if !e.opts.Speeds {
		return e.opts.Policy.Pick(s.pool, need), forecastEnd{}
	}
	r := placement.Request{
		Need:          need,
		RunTime:       sub.sub.Tasks[i].DeclaredRunTime,
		Objective:     sub.sub.Objective,
		Left:          sub.arrived + sub.sub.Objective - e.now,
		UntilDeadline: sub.deadline - e.now,
		First:         len(sub.ready) == len(sub.tasks) && !sub.held,
		Tasks:         len(sub.tasks),
	}
	a, verdict := s.inTime.Pick(e.now, s.pool, r)
	end := forecastEnd{verdict: verdict, left: r.Left}
	if a != nil {
		end.in = r.EndsIn(a)
		s.inTime.Placed(e.now, a)
	}
	return a, end
}

// forecastEnd is the predicted end of a task that is being placed.
type forecastEnd struct {
	verdict placement.Verdict
	// in is the time until the predicted end, left the time until the latest end
	// that meets the job's objective.
	in, left time.Duration
}

// hold takes a job out of the queue until the end of the dispatch, because credit
// of a fast enough upstream is expected in time.
func (e *Entry) hold(s *service, sub *submission, i uint32, end forecastEnd) {
	s.held = append(s.held, &sub.job)
	s.q.Remove(&sub.job)
	if !sub.held {
		sub.held = true
		e.trace(sub, "waits for a faster upstream", "task", i, "left", end.left, "available", s.pool.Available())
	}
	if !s.holdArmed {
		s.holdArmed = true
		e.arm(timer{at: e.now + holdInterval, kind: timerHold, svc: s})
	}
}

// holdInterval is how often a service with held jobs is dispatched at least.
const holdInterval = 10 * time.Millisecond

// requeueHeld returns the held jobs to the queue.
func (s *service) requeueHeld() {
	s.forecast.setAside = 0
	for _, j := range s.held {
		n := deferredTasks(j)
		s.forecast.setAside += float64(n) * j.TaskRunTime().Seconds()
		s.q.Add(j, n)
	}
	s.held = s.held[:0]
}

// holdDue dispatches a service again that holds jobs.
func (e *Entry) holdDue(s *service) {
	s.holdArmed = false
	e.markActive(s)
}

// countPlacement counts a placement whose end is predicted after the objective,
// and one of a job that has waited for a faster upstream.
func (e *Entry) countPlacement(s *submission, end forecastEnd) {
	if end.verdict == placement.TooSlow {
		e.stats.PlacedTooSlow++
	}
	if s.held && end.verdict == placement.EndsInTime {
		e.stats.WaitedForFaster++
	}
}
