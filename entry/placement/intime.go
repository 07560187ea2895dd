package placement

import (
	"math"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

const (
	// deliveryMargin is subtracted from the time that is left for a task; it is
	// the time for its assignment, its start and the report of its end.
	deliveryMargin = 10 * time.Millisecond
	// safety is the factor by which run times are assumed to exceed the predicted ones
	// as long as an upstream that is fast enough for that has credit. Speeds are known
	// to about a fifth.
	safety = 1.25
	// strictFor is how long upstreams are told apart after a job that only some of
	// them serve in time.
	strictFor = 5 * time.Second
	// jobWeight is the weight of a job in the means over such jobs.
	jobWeight = 0.1
	// jobsReserved is the number of such jobs of mean width for which credit of
	// fast upstreams is kept.
	jobsReserved = 2
	// returnWindow is the time constant of the rate at which credit of fast
	// upstreams comes back.
	returnWindow = 500 * time.Millisecond
)

// Request describes a task to place.
type Request struct {
	Need task.Resources
	// RunTime is declared.
	RunTime time.Duration
	// Objective is the time from the job's arrival to its latest end; zero if it
	// has none.
	Objective time.Duration
	// Left is the time until the latest end, and UntilDeadline until the job is
	// given up.
	Left, UntilDeadline time.Duration
	// First marks the first task of a new job, which has Tasks of them.
	First bool
	Tasks int
}

// Verdict is why a task goes where it goes.
type Verdict uint8

const (
	// Indifferent means that the speeds of the upstreams did not matter.
	Indifferent Verdict = iota
	// EndsInTime means that the task is predicted to end in time where it goes.
	EndsInTime
	// Spared means that the task goes to a slower upstream that serves it in time,
	// which leaves a faster one for a task that needs it.
	Spared
	// TooSlow means that the task goes to an upstream that is predicted to be too
	// slow, because a faster one would not end it in time either.
	TooSlow
	// Wait means that the task is not placed now, since credit of a fast enough
	// upstream is expected in time.
	Wait
)

var verdictNames = [...]string{"indifferent", "in-time", "spared", "too-slow", "wait"}

// String returns the verdict as it appears in logs.
func (v Verdict) String() string { return verdictNames[v] }

// InTime places the tasks of one service by the predicted end of each: its
// declared run time over the speed of the upstream. It answers the load pattern
// "uneven upstreams": upstreams differ by more than the objectives of the jobs
// absorb, so that a job which any upstream would serve in time takes the place of
// one that needs a fast upstream. It has no effect on a service all of whose jobs
// would end in time on its slowest upstream if they started at once.
type InTime struct {
	// strictUntil is when the service was last seen to have a job that only some
	// upstreams serve in time, plus strictFor. strictFrom is the mean of the slowest
	// tiers that serve these safely.
	strictUntil time.Duration
	strictFrom  float64
	// width is the mean number of tasks of these jobs.
	width   float64
	returns rate
	// waiting counts the tasks told to wait in this dispatch.
	waiting int
}

// Begin starts a dispatch.
func (t *InTime) Begin() { t.waiting = 0 }

// Pick returns the agent for a task, or nil if it should wait or fits no
// available agent.
func (t *InTime) Pick(now time.Duration, p *Pool, r Request) (*Agent, Verdict) {
	slowest, fastest := p.extremes()
	t.observe(now, r, slowest, fastest)
	if now >= t.strictUntil || r.Objective <= 0 {
		return Credits{}.Pick(p, r.Need), Indifferent
	}
	left := r.Left
	if r.endsIn(fastest) > left {
		left = r.UntilDeadline
	}
	from, safe := r.slowestInTime(left, slowest, fastest)
	switch {
	case from > fastest:
		return Credits{}.Pick(p, r.Need), Indifferent
	case safe <= slowest:
		return t.pickSparing(p, r.Need)
	}
	for _, least := range []int{safe, from} {
		if a := p.pickFrom(least, tiers, r.Need); a != nil {
			return a, EndsInTime
		}
	}
	if t.worthWaiting(now, left-r.endsIn(fastest)) {
		t.waiting++
		return nil, Wait
	}
	return Credits{}.Pick(p, r.Need), TooSlow
}

// pickSparing places a task that every upstream serves in time. It keeps credit of
// fast upstreams for the next jobs that need it, unless slower ones have none.
func (t *InTime) pickSparing(p *Pool, need task.Resources) (*Agent, Verdict) {
	fast := t.fastFrom()
	if float64(p.creditFrom(fast)) > jobsReserved*t.width {
		if a := p.pickFrom(fast, tiers, need); a != nil {
			return a, EndsInTime
		}
	}
	if a := p.pickFrom(0, fast, need); a != nil {
		return a, Spared
	}
	return Credits{}.Pick(p, need), EndsInTime
}

// observe notes a job that would end in time on the fastest upstream and not on
// the slowest if it started at once.
func (t *InTime) observe(now time.Duration, r Request, slowest, fastest int) {
	if r.Objective <= 0 || slowest == fastest || r.endsIn(slowest) <= r.Objective || r.endsIn(fastest) > r.Objective {
		return
	}
	t.strictUntil = now + strictFor
	if !r.First {
		return
	}
	_, safe := r.slowestInTime(r.Objective, slowest, fastest)
	if t.width == 0 {
		t.width, t.strictFrom = float64(r.Tasks), float64(safe)
	}
	t.width += jobWeight * (float64(r.Tasks) - t.width)
	t.strictFrom += jobWeight * (float64(safe) - t.strictFrom)
}

// fastFrom returns the slowest tier that counts as fast.
func (t *InTime) fastFrom() int { return int(math.Round(t.strictFrom)) }

// Placed records that a task was sent to an agent.
func (t *InTime) Placed(now time.Duration, a *Agent) {
	if a.tier >= t.fastFrom() {
		t.returns.add(now)
	}
}

// ShortestRun returns the predicted run time of a task on the fastest upstreams, or
// the declared one if the speeds of upstreams do not matter.
func (t *InTime) ShortestRun(now time.Duration, p *Pool, declared time.Duration) time.Duration {
	if now >= t.strictUntil {
		return declared
	}
	_, fastest := p.extremes()
	return min(declared, time.Duration(float64(declared)/tierSpeed(fastest)))
}

// worthWaiting reports whether credit of a fast upstream for one more waiting task
// is expected within slack.
func (t *InTime) worthWaiting(now, slack time.Duration) bool {
	perSecond := t.returns.perSecond(now)
	return perSecond > 0 && float64(t.waiting+1)/perSecond <= slack.Seconds()
}

// endsIn returns the predicted time from a start on the given tier until the end
// of the task is known.
func (r Request) endsIn(tier int) time.Duration {
	return time.Duration(float64(r.RunTime)/tierSpeed(tier)) + deliveryMargin
}

// slowestInTime returns the slowest tier on which the task ends within left, or
// fastest+1 if there is none, and the slowest on which it does so safely, or the
// fastest.
func (r Request) slowestInTime(left time.Duration, slowest, fastest int) (from, safe int) {
	from = slowest
	for from <= fastest && r.endsIn(from) > left {
		from++
	}
	safe = from
	for safe < fastest && time.Duration(safety*float64(r.endsIn(safe))) > left {
		safe++
	}
	return from, safe
}

// EndsIn returns the predicted time until the end of a task is known that is sent
// to an agent now.
func (r Request) EndsIn(a *Agent) time.Duration { return r.endsIn(a.tier) }

// rate is a decaying count of events.
type rate struct {
	count float64
	at    time.Duration
}

func (r *rate) add(now time.Duration) { r.count = r.decayed(now) + 1; r.at = now }

func (r *rate) decayed(now time.Duration) float64 {
	return r.count * math.Exp(-(now-r.at).Seconds()/returnWindow.Seconds())
}

func (r *rate) perSecond(now time.Duration) float64 {
	return r.decayed(now) / returnWindow.Seconds()
}
