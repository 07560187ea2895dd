// Package placement chooses the agent that runs a task. A Pool holds the state
// of the connected agents of one service as one entry knows it; a Policy picks
// from the pool.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fireflytray/fireflytray/task"
)

// Agent is the state of one agent as the entry knows it. After a change of
// Credit, Slots, Outstanding, Slow or Probe of an agent in a pool, call
// Pool.Changed.
type Agent struct {
	ID string
	// Credit is the number of further tasks that the agent accepts. It is
	// negative if more tasks were sent than the agent accepts.
	Credit int
	// Outstanding counts the tasks that this entry has sent to the agent and
	// that have not ended.
	Outstanding int
	// Slots is the number of tasks that the agent runs concurrently.
	Slots int
	// Others counts the tasks of other entries at the agent, as last reported.
	Others int
	// Slow marks an agent whose tasks take far longer than at other agents. The
	// policy Credits sends it a task only while Probe is set, one at a time.
	Slow  bool
	Probe bool
	// Speed is that of its upstream relative to the service's mean one, zero if
	// unknown; see Pool.SetSpeed.
	Speed   float64
	Offered task.Resources
	// Largest holds the most of each resource that its upstream has offered.
	Largest task.Resources
	// Used is the sum of the resources declared by this entry's tasks at the
	// agent.
	Used task.Resources

	pos          int
	availablePos int
	// contribution is the part of the pool's totals that comes from this agent.
	contribution totals
	tier         int
	tierPos      int
	tierCredit   int
	tierMember   bool
}

// totals are sums over the agents of a pool.
type totals struct{ slots, outstanding int }

// fitsNow reports whether the resources that this entry's tasks leave free at the
// agent suffice.
func (a *Agent) fitsNow(need task.Resources) bool {
	return need.Fits(a.Offered.Sub(a.Used))
}

// load returns the number of tasks known to be at the agent per slot.
func (a *Agent) load() float64 {
	return float64(a.Outstanding+a.Others) / float64(max(1, a.Slots))
}

// available reports whether a task may be sent to the agent on its credit.
func (a *Agent) available() bool {
	return a.Credit > 0 && (!a.Slow || a.Probe && a.Outstanding == 0)
}

// Pool is the set of connected agents of one service.
type Pool struct {
	agents    []*Agent
	available []*Agent // agents for which Agent.available holds
	rng       *rand.Rand
	nextIndex int
	total     totals
	tiers     [tiers]tier
	// slowest and fastest are the result of extremes while extremesKnown is set.
	extremesKnown    bool
	slowest, fastest int
}

// NewPool returns an empty pool whose random choices are determined by the
// seed.
func NewPool(seed uint64) *Pool {
	return &Pool{rng: rand.New(rand.NewPCG(seed, seed))}
}

// Len returns the number of agents.
func (p *Pool) Len() int { return len(p.agents) }

// Slots returns the sum of the agents' slots.
func (p *Pool) Slots() int { return p.total.slots }

// Outstanding returns the number of this entry's tasks at all agents.
func (p *Pool) Outstanding() int { return p.total.outstanding }

// Available returns the number of agents that may be sent a task on their
// credit.
func (p *Pool) Available() int { return len(p.available) }

// Add adds an agent that is not in the pool yet.
func (p *Pool) Add(a *Agent) {
	a.pos = len(p.agents)
	a.availablePos = -1
	p.joinTier(a, tierOf(a.Speed))
	p.agents = append(p.agents, a)
	p.Changed(a)
}

// Remove removes an agent that is in the pool.
func (p *Pool) Remove(a *Agent) {
	last := len(p.agents) - 1
	p.agents[a.pos] = p.agents[last]
	p.agents[a.pos].pos = a.pos
	p.agents = p.agents[:last]
	p.updateTotals(a, totals{})
	p.setAvailable(a, false)
	p.leaveTier(a)
}

// Changed updates the pool's totals and available agents. It must be called
// after Credit, Slots, Outstanding, Slow or Probe of an agent in the pool has
// changed.
func (p *Pool) Changed(a *Agent) {
	p.updateTotals(a, totals{a.Slots, a.Outstanding})
	p.setMember(a, !a.Slow)
	p.setAvailable(a, a.available())
}

func (p *Pool) updateTotals(a *Agent, current totals) {
	p.total.slots += current.slots - a.contribution.slots
	p.total.outstanding += current.outstanding - a.contribution.outstanding
	a.contribution = current
}

func (p *Pool) setAvailable(a *Agent, available bool) {
	if available == (a.availablePos >= 0) {
		if available {
			p.creditChanged(a)
		}
		return
	}
	if available {
		a.availablePos = len(p.available)
		p.available = append(p.available, a)
		p.addToTier(a)
		return
	}
	p.removeFromTier(a)
	last := len(p.available) - 1
	p.available[a.availablePos] = p.available[last]
	p.available[a.availablePos].availablePos = a.availablePos
	p.available = p.available[:last]
	a.availablePos = -1
}

// Agents returns the agents; the slice is the pool's own.
func (p *Pool) Agents() []*Agent { return p.agents }

// Shuffled returns the agents in random order.
func (p *Pool) Shuffled() []*Agent {
	s := slices.Clone(p.agents)
	p.rng.Shuffle(len(s), func(i, k int) { s[i], s[k] = s[k], s[i] })
	return s
}

// EverFits reports whether any agent in the pool could run the task when idle, now or
// once its capacity has grown again.
func (p *Pool) EverFits(need task.Resources) bool {
	for _, a := range p.agents {
		if need.Fits(a.Largest) {
			return true
		}
	}
	return false
}

// Policy picks the agent for a task that needs the given resources, or nil if
// the task should wait at the entry.
type Policy interface {
	Pick(p *Pool, need task.Resources) *Agent
	// LateBinding reports whether the policy assigns a task only to an agent
	// that has granted credit.
	LateBinding() bool
}

// Parse returns the policy with the given name in settings.
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
