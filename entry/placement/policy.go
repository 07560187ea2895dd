package placement

import "github.com/fireflytray/fireflytray/task"

// Credits sends a task only on an agent's credit, to the less loaded of two
// open agents; without credit the task waits at the entry, where it is ordered
// with all others.
type Credits struct{}

// Late returns true.
func (Credits) Late() bool { return true }

// Pick returns the less loaded of two random open agents that fit.
func (Credits) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.free)
	if n == 0 {
		return nil
	}
	best := better(p.free[p.rng.IntN(n)], p.free[p.rng.IntN(n)], need)
	if best != nil {
		return best
	}
	for _, a := range p.free {
		best = better(best, a, need)
	}
	return best
}

// Random sends each task at once to a random agent. It is the naive baseline.
type Random struct{}

// Late returns false.
func (Random) Late() bool { return false }

// Pick returns a random agent that fits.
func (Random) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.agents)
	if n == 0 {
		return nil
	}
	return p.from(p.rng.IntN(n), need)
}

// RoundRobin sends each task at once to the next agent in turn.
type RoundRobin struct{}

// Late returns false.
func (RoundRobin) Late() bool { return false }

// Pick returns the next agent that fits.
func (RoundRobin) Pick(p *Pool, need task.Resources) *Agent {
	if len(p.agents) == 0 {
		return nil
	}
	p.next++
	return p.from(p.next, need)
}

// LeastOutstanding sends each task at once to the agent with the fewest of
// this entry's own tasks.
type LeastOutstanding struct{}

// Late returns false.
func (LeastOutstanding) Late() bool { return false }

// Pick returns the agent with the fewest outstanding tasks that fits.
func (LeastOutstanding) Pick(p *Pool, need task.Resources) *Agent {
	var best *Agent
	for _, a := range p.agents {
		if !need.Fits(a.Offered) {
			continue
		}
		if best == nil || a.Outstanding < best.Outstanding {
			best = a
		}
	}
	return best
}

// TwoChoices sends each task at once to the less loaded of two random agents,
// by the load that rode on their last reports and this entry's own count.
type TwoChoices struct{}

// Late returns false.
func (TwoChoices) Late() bool { return false }

// Pick returns the less loaded of two random agents.
func (TwoChoices) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.agents)
	if n == 0 {
		return nil
	}
	a, b := p.from(p.rng.IntN(n), need), p.from(p.rng.IntN(n), need)
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}

// from returns the first agent at or after i that could run the task.
func (p *Pool) from(i int, need task.Resources) *Agent {
	n := len(p.agents)
	for k := range n {
		if a := p.agents[(i+k)%n]; need.Fits(a.Offered) {
			return a
		}
	}
	return nil
}

// better returns the less loaded of two agents that fits the need now.
func better(a, b *Agent, need task.Resources) *Agent {
	if a == nil || !a.fits(need) {
		a = nil
	}
	if b == nil || !b.fits(need) {
		return a
	}
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}
