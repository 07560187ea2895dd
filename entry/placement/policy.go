package placement

import "github.com/fireflytray/fireflytray/task"

// Credits sends a task only to an agent that has granted credit, choosing the
// less loaded of two. Without credit the task waits at the entry, where it is
// ordered with all other tasks.
type Credits struct{}

// LateBinding returns true.
func (Credits) LateBinding() bool { return true }

// Pick returns the less loaded of two random available agents that fit. If
// neither fits, it returns the least loaded available agent that does.
func (Credits) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.available)
	if n == 0 {
		return nil
	}
	best := lessLoaded(p.available[p.rng.IntN(n)], p.available[p.rng.IntN(n)], need)
	if best != nil {
		return best
	}
	for _, a := range p.available {
		best = lessLoaded(best, a, need)
	}
	return best
}

// Random sends each task immediately to a random agent. It serves as the
// baseline.
type Random struct{}

// LateBinding returns false.
func (Random) LateBinding() bool { return false }

// Pick returns a random agent that fits.
func (Random) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.agents)
	if n == 0 {
		return nil
	}
	return p.firstFit(p.rng.IntN(n), need)
}

// RoundRobin sends each task immediately to the next agent in turn.
type RoundRobin struct{}

// LateBinding returns false.
func (RoundRobin) LateBinding() bool { return false }

// Pick returns the next agent that fits.
func (RoundRobin) Pick(p *Pool, need task.Resources) *Agent {
	if len(p.agents) == 0 {
		return nil
	}
	p.nextIndex++
	return p.firstFit(p.nextIndex, need)
}

// LeastOutstanding sends each task immediately to the agent with the fewest
// outstanding tasks of this entry.
type LeastOutstanding struct{}

// LateBinding returns false.
func (LeastOutstanding) LateBinding() bool { return false }

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

// TwoChoices sends each task immediately to the less loaded of two random
// agents. The load comes from the agents' last reports and this entry's own
// count of outstanding tasks.
type TwoChoices struct{}

// LateBinding returns false.
func (TwoChoices) LateBinding() bool { return false }

// Pick returns the less loaded of two random agents.
func (TwoChoices) Pick(p *Pool, need task.Resources) *Agent {
	n := len(p.agents)
	if n == 0 {
		return nil
	}
	a, b := p.firstFit(p.rng.IntN(n), need), p.firstFit(p.rng.IntN(n), need)
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}

// firstFit returns the first agent, from index i on and wrapping around, that
// could run the task when idle.
func (p *Pool) firstFit(i int, need task.Resources) *Agent {
	n := len(p.agents)
	for k := range n {
		if a := p.agents[(i+k)%n]; need.Fits(a.Offered) {
			return a
		}
	}
	return nil
}

// lessLoaded returns the less loaded of the two agents that fit the need now,
// or nil if neither does.
func lessLoaded(a, b *Agent, need task.Resources) *Agent {
	if a == nil || !a.fitsNow(need) {
		a = nil
	}
	if b == nil || !b.fitsNow(need) {
		return a
	}
	if a == nil || b.load() < a.load() {
		return b
	}
	return a
}
