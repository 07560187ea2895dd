package entry

import (
	"math"
	"slices"
	"time"
)

const (
	// ratioWeight is the share of a new observation in the mean.
	ratioWeight = 0.2
	// serviceRatioWeight is the same for a whole service.
	serviceRatioWeight = 0.02
	// minRatioSamples is how many observations a judgement takes.
	minRatioSamples = 4
	// slowRatio is how many times longer than elsewhere tasks take at an agent
	// that counts as slow.
	slowRatio = 3.0
	// slowPaceRatio is the same for what agents say of their pace, which is of all
	// entries' tasks; sound upstreams differ by up to 1.6.
	slowPaceRatio = 2.5
	// minPaceReports is how many agents of a service have to tell their pace.
	minPaceReports = 3
	// minProbeWait and maxProbeWait bound the time between two tasks that a
	// slow agent gets to show whether it still is.
	minProbeWait = 2 * time.Second
	maxProbeWait = time.Minute
	// overdueRatio is how many times its declared run time, itself off by up
	// to declaredFactor, a task may take before it counts as overdue.
	overdueRatio = 2 * declaredErrorFactor
	// minOverdueTime is the least time after which a task counts as overdue.
	minOverdueTime = time.Second
	// pauseThreshold is the time between two reviews from which on the process
	// counts as having been paused.
	pauseThreshold = 2 * reviewInterval
)

// runTimeRatio tracks the logarithm of real over declared run times.
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

// slowerThan reports whether s is slower than the others by slowRatio.
func (s *runTimeRatio) slowerThan(others *runTimeRatio) bool {
	return s.n >= minRatioSamples && s.mean-others.mean > math.Log(slowRatio)
}

// review looks for agents that are slow, by the tasks that have ended there
// and by those that are overdue.
func (e *Entry) review() {
	e.arm(timer{at: e.now + reviewInterval, kind: timerReview})
	if e.now-e.reviewedAt > pauseThreshold {
		e.resumedAt = e.now
	}
	e.reviewedAt = e.now
	for _, s := range e.services {
		usual, known := e.medianPace(s)
		for _, p := range s.pool.Shuffled() {
			a := e.agents[p.ID]
			e.reviewAgent(a, known && a.pace != 0 && a.pace-usual > math.Log(slowPaceRatio))
		}
		if s.q.Len() > 0 {
			e.markActive(s)
		}
	}
}

// medianPace returns the median of what the agents of a service say of their
// pace.
func (e *Entry) medianPace(s *service) (usual float64, known bool) {
	var paces []float64
	for _, p := range s.pool.Shuffled() {
		if v := e.agents[p.ID].pace; v != 0 {
			paces = append(paces, v)
		}
	}
	if len(paces) < minPaceReports {
		return 0, false
	}
	slices.Sort(paces)
	return paces[len(paces)/2], true
}

// reviewAgent decides whether an agent is slow; behind says that its pace is far
// behind the others'.
func (e *Entry) reviewAgent(a *agent, behind bool) {
	overdue := e.overdue(a)
	slow := behind || a.runTimeRatio.slowerThan(&a.svc.runTimeRatio) || overdue
	switch {
	case !slow && !a.Slow:
		return
	case !slow:
		e.emitAgentChange("agent is no longer slow", a, behind, overdue)
		a.Slow, a.Probe = false, false
	case !a.Slow:
		e.emitAgentChange("agent is slow", a, behind, overdue)
		a.Slow, a.Probe = true, false
		a.probeWait = minProbeWait
		a.probeAt = e.now + a.probeWait
	case e.now >= a.probeAt:
		a.Probe = true
	}
	a.svc.pool.Changed(&a.Agent)
}

// probeSent notes that a slow agent was given a task; the next one has to wait
// longer.
func (a *agent) probeSent(now time.Duration) {
	a.Probe = false
	a.probeWait = min(2*a.probeWait, maxProbeWait)
	a.probeAt = now + a.probeWait
}

// probeEnded lets a slow agent whose task took no longer than elsewhere have
// the next one soon.
func (a *agent) probeEnded(now time.Duration, declared, ran time.Duration) {
	one := runTimeRatio{n: minRatioSamples}
	one.observeWeighted(1, declared, ran)
	if !one.slowerThan(&a.svc.runTimeRatio) {
		a.probeWait = minProbeWait
		a.probeAt = now
	}
}

// overdue reports whether half or more of the tasks at an agent are overdue. The
// time before a pause of this process does not count: reports may have come
// meanwhile.
func (e *Entry) overdue(a *agent) bool {
	n := 0
	for _, rec := range a.sent {
		if e.now-max(rec.at, e.resumedAt) > max(overdueRatio*rec.declared, minOverdueTime) {
			n++
		}
	}
	return n > 0 && 2*n >= len(a.sent)
}
