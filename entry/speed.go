package entry

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// ratioWeight is the weight of a new observation in an agent's mean.
	ratioWeight = 0.2
	// serviceRatioWeight is the weight of a new observation in a service's
	// mean.
	serviceRatioWeight = 0.02
	// minRatioSamples is the number of observations needed to judge an agent.
	minRatioSamples = 4
	// slowRatio is the factor by which run times at an agent must exceed the
	// service's mean for the agent to count as slow.
	slowRatio = 3.0
	// slowReportedRatio is the factor by which the run time ratio that an agent
	// reports must exceed the median of the service's agents for the agent to
	// count as slow. Reported ratios cover the tasks of all entries. Those of
	// healthy upstreams differ by a factor of up to 1.6.
	slowReportedRatio = 2.5
	// minReportedRatios is the number of agents of a service that must report a
	// run time ratio.
	minReportedRatios = 3
	// minProbeWait and maxProbeWait bound the time between the tasks that a
	// slow agent gets as probes of whether it is still slow.
	minProbeWait = 2 * time.Second
	maxProbeWait = time.Minute
	// overdueRatio is the multiple of its declared run time after which a task
	// is overdue. Declared run times may be wrong by declaredErrorFactor.
	overdueRatio = 2 * declaredErrorFactor
	// minOverdueTime is the shortest time after which a task is overdue.
	minOverdueTime = time.Second
	// pauseThreshold is the time between two reviews above which the process
	// counts as having been paused.
	pauseThreshold = 2 * reviewInterval
)

// runTimeRatio tracks the mean logarithm of actual over declared run times.
type runTimeRatio struct {
	mean float64
	n    int
}

func (s *runTimeRatio) observe(declared, ran time.Duration) {
	s.observeWeighted(ratioWeight, declared, ran)
}

func (s *runTimeRatio) observeWeighted(weight float64, declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	x := math.Log(ran.Seconds() / declared.Seconds())
	s.n++
	s.mean += max(weight, 1/float64(s.n)) * (x - s.mean)
}

// slowerThan reports whether s exceeds others by more than slowRatio.
func (s *runTimeRatio) slowerThan(others *runTimeRatio) bool {
	return s.n >= minRatioSamples && s.mean-others.mean > math.Log(slowRatio)
}

// reviewAgents marks agents as slow or no longer slow, based on the tasks that
// ended there, on overdue tasks and on the run time ratios that agents report. It
// also schedules a dispatch of each service with waiting tasks.
func (e *Entry) reviewAgents() {
	e.arm(timer{at: e.now + reviewInterval, kind: timerReview})
	if e.now-e.reviewedAt > pauseThreshold {
		e.resumedAt = e.now
	}
	e.reviewedAt = e.now
	for _, s := range slices.Collect(maps.Values(e.services)) {
		median, known := e.medianReportedLogRatio(s)
		for _, p := range s.pool.Shuffled() {
			a := e.agents[p.ID]
			e.reviewAgent(a, known && a.reportedLogRatio != 0 && a.reportedLogRatio-median > math.Log(slowReportedRatio))
		}
		e.estimateSpeeds(s)
		if s.base == nil {
			e.reviewConfinements(s)
		}
		if s.q.Len() > 0 {
			e.markActive(s)
		}
	}
}

// medianReportedLogRatio returns the median of the logarithmic run time ratios
// that a service's agents report; known is false if too few agents report one.
func (e *Entry) medianReportedLogRatio(s *service) (median float64, known bool) {
	var logRatios []float64
	for _, p := range s.pool.Shuffled() {
		if v := e.agents[p.ID].reportedLogRatio; v != 0 {
			logRatios = append(logRatios, v)
		}
	}
	if len(logRatios) < minReportedRatios {
		return 0, false
	}
	slices.Sort(logRatios)
	return logRatios[len(logRatios)/2], true
}

// reviewAgent updates an agent's slow state. reportedSlow reports whether the
// run time ratio that the agent reports exceeds the median by slowReportedRatio.
// When a probe of a slow agent is due, it allows one task to be sent there.
func (e *Entry) reviewAgent(a *agent, reportedSlow bool) {
	overdue := e.overdue(a)
	slow := reportedSlow || a.runTimeRatio.slowerThan(&a.svc.runTimeRatio) || overdue
	switch {
	case !slow && !a.Slow:
		return
	case !slow:
		e.emitAgentChange("agent is no longer slow", a, reportedSlow, overdue)
		a.Slow, a.Probe = false, false
	case !a.Slow:
		e.emitAgentChange("agent is slow", a, reportedSlow, overdue)
		a.Slow, a.Probe = true, false
		a.probeWait = minProbeWait
		a.probeAt = e.now + a.probeWait
	case e.now >= a.probeAt:
		a.Probe = true
	}
	a.svc.pool.Changed(&a.Agent)
}

// probeSent records that a slow agent was sent a task and doubles the wait
// until the next one.
func (a *agent) probeSent(now time.Duration) {
	a.Probe = false
	a.probeWait = min(2*a.probeWait, maxProbeWait)
	a.probeAt = now + a.probeWait
}

// probeEnded allows the next probe of a slow agent at once if its task took no
// longer than at other agents.
func (a *agent) probeEnded(now time.Duration, declared, ran time.Duration) {
	sample := runTimeRatio{n: minRatioSamples}
	sample.observeWeighted(1, declared, ran)
	if !sample.slowerThan(&a.svc.runTimeRatio) {
		a.probeWait = minProbeWait
		a.probeAt = now
	}
}

// overdue reports whether at least half of the tasks at an agent are overdue.
// Time before a pause of this process does not count, since reports may have
// arrived during the pause.
func (e *Entry) overdue(a *agent) bool {
	n := 0
	for _, rec := range a.sent {
		if e.now-max(rec.at, e.resumedAt) > max(overdueRatio*rec.declared, minOverdueTime) {
			n++
		}
	}
	return n > 0 && 2*n >= len(a.sent)
}
