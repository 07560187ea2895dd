package placement

import (
	"math"

	"github.com/fireflytray/fireflytray/task"
)

const (
	// tiers is the number of groups of upstreams of about the same speed.
	tiers = 21
	// tierWidth is the difference of the logarithms of speeds between adjacent
	// tiers. Declared run times are less exact.
	tierWidth = 0.1
	// exceptionShare is the reciprocal of the share of upstreams at either end that
	// extremes leaves out.
	exceptionShare = 16
)

// tier groups the agents of a pool whose upstreams are about equally fast.
type tier struct {
	// members counts its agents, without those marked Slow.
	members int
	// available are its agents of Pool.available, and credit is the sum of theirs.
	available []*Agent
	credit    int
}

// tierOf returns the tier of a speed relative to the mean one; zero counts as 1.
func tierOf(speed float64) int {
	if speed <= 0 {
		return tiers / 2
	}
	i := math.Round(math.Log(speed)/tierWidth) + tiers/2
	return int(min(max(i, 0), tiers-1))
}

// tierSpeed returns the speed that the agents of a tier are taken to have.
func tierSpeed(i int) float64 { return tierSpeeds[i] }

var tierSpeeds = func() (speeds [tiers]float64) {
	for i := range speeds {
		speeds[i] = math.Exp(float64(i-tiers/2) * tierWidth)
	}
	return speeds
}()

// SetSpeed sets the speed of an agent's upstream relative to the mean one.
func (p *Pool) SetSpeed(a *Agent, speed float64) {
	a.Speed = speed
	if i := tierOf(speed); i != a.tier {
		p.leaveTier(a)
		p.joinTier(a, i)
	}
}

func (p *Pool) joinTier(a *Agent, i int) {
	a.tier = i
	p.setMember(a, !a.Slow)
	if a.availablePos >= 0 {
		p.addToTier(a)
	}
}

func (p *Pool) leaveTier(a *Agent) {
	p.setMember(a, false)
	if a.availablePos >= 0 {
		p.removeFromTier(a)
	}
}

// setMember sets whether the agent counts among the members of its tier.
func (p *Pool) setMember(a *Agent, member bool) {
	switch {
	case member == a.tierMember:
		return
	case member:
		p.tiers[a.tier].members++
	default:
		p.tiers[a.tier].members--
	}
	a.tierMember, p.extremesKnown = member, false
}

func (p *Pool) addToTier(a *Agent) {
	t := &p.tiers[a.tier]
	a.tierPos = len(t.available)
	t.available = append(t.available, a)
	a.tierCredit = a.Credit
	t.credit += a.tierCredit
}

func (p *Pool) removeFromTier(a *Agent) {
	t := &p.tiers[a.tier]
	last := len(t.available) - 1
	t.available[a.tierPos] = t.available[last]
	t.available[a.tierPos].tierPos = a.tierPos
	t.available = t.available[:last]
	t.credit -= a.tierCredit
}

// creditChanged updates the credit of the agent's tier.
func (p *Pool) creditChanged(a *Agent) {
	p.tiers[a.tier].credit += a.Credit - a.tierCredit
	a.tierCredit = a.Credit
}

// extremes returns the tiers of the slowest and the fastest upstreams, without one
// in exceptionShare at each end: a few that are slow by a fault of theirs are the
// concern of Agent.Slow.
func (p *Pool) extremes() (slowest, fastest int) {
	if p.extremesKnown {
		return p.slowest, p.fastest
	}
	except := len(p.agents) / exceptionShare
	for n := p.tiers[0].members; n <= except && slowest < tiers-1; n += p.tiers[slowest].members {
		slowest++
	}
	fastest = tiers - 1
	for n := p.tiers[fastest].members; n <= except && fastest > slowest; n += p.tiers[fastest].members {
		fastest--
	}
	p.extremesKnown, p.slowest, p.fastest = true, slowest, fastest
	return slowest, fastest
}

// creditFrom returns the credit of the available agents from a tier on.
func (p *Pool) creditFrom(from int) int {
	n := 0
	for i := from; i < tiers; i++ {
		n += p.tiers[i].credit
	}
	return n
}

// pickFrom returns the less loaded of two random available agents in tiers
// [from, to) that fit, or the least loaded one that does if neither fits.
func (p *Pool) pickFrom(from, to int, need task.Resources) *Agent {
	n := 0
	for i := from; i < to; i++ {
		n += len(p.tiers[i].available)
	}
	if n == 0 {
		return nil
	}
	best := lessLoaded(p.nth(from, p.rng.IntN(n)), p.nth(from, p.rng.IntN(n)), need)
	if best != nil {
		return best
	}
	for i := from; i < to; i++ {
		for _, a := range p.tiers[i].available {
			best = lessLoaded(best, a, need)
		}
	}
	return best
}

// nth returns the nth available agent counted from the given tier on.
func (p *Pool) nth(from, n int) *Agent {
	for n >= len(p.tiers[from].available) {
		n -= len(p.tiers[from].available)
		from++
	}
	return p.tiers[from].available[n]
}
