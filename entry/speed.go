package entry

import (
	"math"
	"slices"
	"time"
)

const (
	// speedWeight is the share of a new observation in the mean.
	speedWeight = 0.2
	// serviceSpeedWeight is the same for a whole service.
	serviceSpeedWeight = 0.02
	// speedSamples is how many observations a judgement takes.
	speedSamples = 4
	// slowRatio is how many times longer than elsewhere tasks take at an agent
	// that counts as slow.
	slowRatio = 3.0
	// slowPace is the same for what agents say of their pace, which is of all
	// entries' tasks; sound upstreams differ by up to 1.6.
	slowPace = 2.5
	// minPaces is how many agents of a service have to tell their pace.
	minPaces = 3
	// minProbeWait and maxProbeWait bound the time between two tasks that a
	// slow agent gets to show whether it still is.
	minProbeWait = 2 * time.Second
	maxProbeWait = time.Minute
	// overdueRatio is how many times its declared run time, itself off by up
	// to declaredFactor, a task may take before it counts as overdue.
	overdueRatio = 2 * declaredFactor
	// overdueLeast is the least time after which a task counts as overdue.
	overdueLeast = time.Second
	// pausedAfter is the time between two reviews from which on the process
	// counts as having been paused.
	pausedAfter = 2 * reviewEvery
)

// speed tracks the logarithm of real over declared run times.
type speed struct {
	mean float64
	n    int
}

func (s *speed) observe(declared, ran time.Duration) { s.observeBy(speedWeight, declared, ran) }

func (s *speed) observeBy(weight float64, declared, ran time.Duration) {
	if declared <= 0 || ran <= 0 {
		return
	}
	x := math.Log(ran.Seconds() / declared.Seconds())
	s.n++
	s.mean += max(weight, 1/float64(s.n)) * (x - s.mean)
}

// slower reports whether s is slower than the others by slowRatio.
func (s *speed) slower(others *speed) bool {
	return s.n >= speedSamples && s.mean-others.mean > math.Log(slowRatio)
}

// review looks for agents that are slow, by the tasks that have ended there
// and by those that are overdue.
func (e *Entry) review() {
	e.arm(timer{at: e.now + reviewEvery, kind: timerReview})
	if e.now-e.reviewedAt > pausedAfter {
		e.resumedAt = e.now
	}
	e.reviewedAt = e.now
	for _, s := range e.services {
		usual, known := e.usualPace(s)
		for _, p := range s.pool.Shuffled() {
			a := e.agents[p.ID]
			e.reviewAgent(a, known && a.pace != 0 && a.pace-usual > math.Log(slowPace))
		}
		if s.q.Len() > 0 {
			e.touch(s)
		}
	}
}

// usualPace returns the median of what the agents of a service say of their
// pace.
func (e *Entry) usualPace(s *service) (usual float64, known bool) {
	var paces []float64
	for _, p := range s.pool.Shuffled() {
		if v := e.agents[p.ID].pace; v != 0 {
			paces = append(paces, v)
		}
	}
	if len(paces) < minPaces {
		return 0, false
	}
	slices.Sort(paces)
	return paces[len(paces)/2], true
}

// reviewAgent decides whether an agent is slow; behind says that its pace is far
// behind the others'.
func (e *Entry) reviewAgent(a *agent, behind bool) {
	overdue := e.overdue(a)
	slow := behind || a.speed.slower(&a.svc.speed) || overdue
	switch {
	case !slow && !a.Slow:
		return
	case !slow:
		e.note("agent is no longer slow", a, behind, overdue)
		a.Slow, a.Probe = false, false
	case !a.Slow:
		e.note("agent is slow", a, behind, overdue)
		a.Slow, a.Probe = true, false
		a.probeWait = minProbeWait
		a.probeAt = e.now + a.probeWait
	case e.now >= a.probeAt:
		a.Probe = true
	}
	a.svc.pool.Changed(&a.Agent)
}

// probed notes that a slow agent was given a task; the next one has to wait
// longer.
func (a *agent) probed(now time.Duration) {
	a.Probe = false
	a.probeWait = min(2*a.probeWait, maxProbeWait)
	a.probeAt = now + a.probeWait
}

// probeEnded lets a slow agent whose task took no longer than elsewhere have
// the next one soon.
func (a *agent) probeEnded(now time.Duration, declared, ran time.Duration) {
	one := speed{n: speedSamples}
	one.observeBy(1, declared, ran)
	if !one.slower(&a.svc.speed) {
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
		if e.now-max(rec.at, e.resumedAt) > max(overdueRatio*rec.declared, overdueLeast) {
			n++
		}
	}
	return n > 0 && 2*n >= len(a.sent)
}
