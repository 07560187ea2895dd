// Package placement chooses the agent for a task. A Pool holds what an entry
// knows of the agents of one service; a Policy picks from it.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fireflytray/fireflytray/task"
)

// Agent is what an entry knows of one agent. Credit, Slots, Slow and Probe change
// through the Pool only.
type Agent struct {
	ID string
	// Credit is how many more tasks the agent said it would take.
	Credit int
	// Outstanding counts this entry's tasks at the agent.
	Outstanding int
	// Slots is how many tasks run there at a time.
	Slots int
	// Others counts the tasks of other entries there, as last reported.
	Others int
	// Slow marks an agent whose tasks take far longer than elsewhere. It gets a
	// task only while Probe is set, one at a time.
	Slow    bool
	Probe   bool
	Offered task.Resources
	// Used is what this entry's tasks at the agent declared.
	Used task.Resources

	pos          int
	availablePos int
	// contribution is what of the agent is in the pool's sums.
	contribution totals
}

// totals are totals over the agents of a pool.
type totals struct{ slots, outstanding int }

func (a *Agent) fitsNow(need task.Resources) bool {
	return need.Fits(a.Offered.Sub(a.Used))
}

// load is the share of the agent's slots that is spoken for.
func (a *Agent) load() float64 {
	return float64(a.Outstanding+a.Others) / float64(max(1, a.Slots))
}

// available reports whether the agent may be sent a task on its credit.
func (a *Agent) available() bool {
	return a.Credit > 0 && (!a.Slow || a.Probe && a.Outstanding == 0)
}

// Pool is the set of agents of one service that are connected.
type Pool struct {
	agents    []*Agent
	available []*Agent // agents that are open
	rng       *rand.Rand
	nextIndex int
	total     totals
}

// NewPool returns an empty pool whose random choices follow the seed.
func NewPool(seed uint64) *Pool {
	return &Pool{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Len returns the number of agents.
func (p *Pool) Len() int { return len(p.agents) }

// Slots returns the sum of the agents' slots.
func (p *Pool) Slots() int { return p.total.slots }

// Outstanding returns the sum of this entry's tasks at the agents.
func (p *Pool) Outstanding() int { return p.total.outstanding }

// Available returns the number of agents with credit.
func (p *Pool) Available() int { return len(p.available) }

// Add adds an agent.
func (p *Pool) Add(a *Agent) {
	a.pos = len(p.agents)
	a.availablePos = -1
	p.agents = append(p.agents, a)
	p.Changed(a)
}

// Remove removes an agent.
func (p *Pool) Remove(a *Agent) {
	last := len(p.agents) - 1
	p.agents[a.pos] = p.agents[last]
	p.agents[a.pos].pos = a.pos
	p.agents = p.agents[:last]
	p.updateTotals(a, totals{})
	p.setAvailable(a, false)
}

// Changed must be called after Credit, Slots, Outstanding, Slow or Probe of
// an agent in the pool has changed.
func (p *Pool) Changed(a *Agent) {
	p.updateTotals(a, totals{a.Slots, a.Outstanding})
	p.setAvailable(a, a.available())
}

func (p *Pool) updateTotals(a *Agent, now totals) {
	p.total.slots += now.slots - a.contribution.slots
	p.total.outstanding += now.outstanding - a.contribution.outstanding
	a.contribution = now
}

func (p *Pool) setAvailable(a *Agent, free bool) {
	if free == (a.availablePos >= 0) {
		return
	}
	if free {
		a.availablePos = len(p.available)
		p.available = append(p.available, a)
		return
	}
	last := len(p.available) - 1
	p.available[a.availablePos] = p.available[last]
	p.available[a.availablePos].availablePos = a.availablePos
	p.available = p.available[:last]
	a.availablePos = -1
}

// Shuffled returns the agents in a random order.
func (p *Pool) Shuffled() []*Agent {
	s := slices.Clone(p.agents)
	p.rng.Shuffle(len(s), func(i, k int) { s[i], s[k] = s[k], s[i] })
	return s
}

// EverFits reports whether any agent in the pool could run the task when idle.
func (p *Pool) EverFits(need task.Resources) bool {
	for _, a := range p.agents {
		if need.Fits(a.Offered) {
			return true
		}
	}
	return false
}

// Policy picks the agent for a task that needs some resources, or nil if the
// task should wait at the entry.
type Policy interface {
	Pick(p *Pool, need task.Resources) *Agent
	// LateBinding reports whether the policy binds tasks only on credit.
	LateBinding() bool
}

// Parse returns the policy that a setting names.
func Parse(name string) (Policy, error) {
	switch name {
	case "credits":
		return Credits{}, nil
	case "random":
		return Random{}, nil
	case "round-robin":
		return RoundRobin{}, nil
	case "least-outstanding":
		return LeastOutstanding{}, nil
	case "two-choices":
		return TwoChoices{}, nil
	}
	return nil, fmt.Errorf("placement policy %q: valid are credits, random, round-robin, least-outstanding, two-choices", name)
}
