package quarantine

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// evidenceWindow is the time within which crashes count as evidence against a
	// kind.
	evidenceWindow = 3 * time.Second
	// crashesToConfine is the number of crashes that one kind explains, and no other
	// as well, from which it is confined. Upstreams that crash for other causes have
	// tasks of any kind that have just started.
	crashesToConfine = 3
	// simultaneous is the time within which crashes count as one, because a common
	// cause is likelier than tasks.
	simultaneous = 5 * time.Millisecond
	// calmTime is how long no task of a confined kind may have crashed an upstream
	// before the kind is released. It is doubled if the confinement follows the last
	// one within relapseTime.
	calmTime    = 2 * time.Second
	relapseTime = 10 * time.Second
	// runsToRelease is the number of runs of the kind that must have ended meanwhile,
	// since a kind of which nothing runs crashes nothing.
	runsToRelease = 20
	// idleRelease is the time after which a kind is released in any case.
	idleRelease = 30 * time.Second
	// maxConfinedShare bounds the share of the agents that all confined kinds have
	// together.
	maxConfinedShare = 0.5
)

// confinement is the state of a kind that has crashed upstreams.
type confinement struct {
	active bool
	// agents are those to which the kind is confined, in order of their ids.
	agents []string
	since  time.Duration
	// lastCrash is the time of the last crash that the kind explains, survived the
	// number of its runs that have ended since.
	lastCrash time.Duration
	survived  int
	calm      time.Duration
	endedAt   time.Duration
	// guiltyTask is set if a task of the kind is guilty and the kind not yet confined.
	guiltyTask bool
}

// Confinement describes a confined kind.
type Confinement struct {
	Kind   string
	Agents []string
	Since  time.Duration
}

// noteGuiltyTask records that a task of a kind is guilty.
func (r *Registry) noteGuiltyTask(now time.Duration, kind string) {
	k := r.kind(kind)
	k.guiltyTask = !k.active
	k.lastCrash, k.survived = now, 0
}

func (r *Registry) kind(name string) *confinement {
	k := r.kinds[name]
	if k == nil {
		k = &confinement{}
		r.kinds[name] = k
	}
	return k
}

// Review confines kinds that crash upstreams, given the agents that may be chosen, and
// releases those that no longer do. It reports whether anything has changed. Entries
// that know the same crashes and agents confine a kind to the same agents.
func (r *Registry) Review(now time.Duration, agents []string) (changed bool) {
	r.noteCrashes()
	for _, k := range r.kinds {
		if k.active && k.isCalm(now) {
			k.active, k.endedAt = false, now
			changed = true
		}
	}
	for r.cfg.Share > 0 {
		kind, evidence := r.kindToConfine(now)
		if kind == "" {
			break
		}
		k := r.kind(kind)
		k.guiltyTask = false
		k.agents = r.chooseAgents(kind, evidence, agents)
		if len(k.agents) == 0 {
			break
		}
		k.begin(now)
		changed = true
	}
	return changed
}

// begin starts a confinement.
func (k *confinement) begin(now time.Duration) {
	k.calm = calmTime
	if k.endedAt > 0 && now-k.endedAt < relapseTime {
		k.calm = 2 * calmTime
	}
	k.active, k.since, k.lastCrash, k.survived = true, now, now, 0
}

func (k *confinement) isCalm(now time.Duration) bool {
	calm := now - k.lastCrash
	return calm >= k.calm && k.survived >= runsToRelease || calm >= idleRelease
}

// noteCrashes notes the last crash that each confined kind explains.
func (r *Registry) noteCrashes() {
	for _, c := range r.crashes {
		for _, kind := range c.fresh {
			k := r.kinds[kind]
			if k != nil && k.active && !c.withdrawn() && c.at > k.lastCrash {
				k.lastCrash, k.survived = c.at, 0
			}
		}
	}
}

// Survived records that a run of a kind has ended without a crash.
func (r *Registry) Survived(kind string) {
	if k := r.kinds[kind]; k != nil {
		k.survived++
	}
}

// kindToConfine returns a kind to confine, with the crashes that it explains, or none. Such a
// kind has a guilty task, or explains enough crashes, and more than any other.
func (r *Registry) kindToConfine(now time.Duration) (string, []*crash) {
	byKind := make(map[string][]*crash)
	for _, c := range r.unexplained(now) {
		for _, kind := range c.fresh {
			list := byKind[kind]
			if n := len(list); n > 0 && c.at-list[n-1].at < simultaneous {
				continue
			}
			byKind[kind] = append(list, c)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
		if r.kinds[kind].guiltyTask {
			return kind, byKind[kind]
		}
	}
	best, most, tied := "", 0, false
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		n := len(byKind[kind])
		if n == most {
			tied = true
		}
		if n > most {
			best, most, tied = kind, n, false
		}
	}
	if tied || most < r.crashesNeeded(now, best) {
		return "", nil
	}
	return best, byKind[best]
}

// crashesNeeded returns the number of crashes from which a kind is confined: one if it
// was released a short time ago.
func (r *Registry) crashesNeeded(now time.Duration, kind string) int {
	if k := r.kinds[kind]; k != nil && k.endedAt > 0 && now-k.endedAt < relapseTime {
		return 1
	}
	return crashesToConfine
}

// unexplained returns the recent crashes that no confined kind explains. A crash before
// the end of a kind's last confinement is not held against it again.
func (r *Registry) unexplained(now time.Duration) []*crash {
	var out []*crash
	for _, c := range r.crashes {
		if c.withdrawn() || c.lostStarts || now-c.at >= evidenceWindow {
			continue
		}
		explained := slices.ContainsFunc(c.fresh, func(kind string) bool {
			k := r.kinds[kind]
			return k != nil && (k.active || k.endedAt > c.at)
		})
		if !explained {
			out = append(out, c)
		}
	}
	return out
}

// chooseAgents returns the agents to which a kind is confined. Those whose upstreams it
// has crashed come first, since these are down for a while in any case.
func (r *Registry) chooseAgents(kind string, evidence []*crash, agents []string) []string {
	taken := make(map[string]bool)
	for _, k := range r.kinds {
		if k.active {
			for _, id := range k.agents {
				taken[id] = true
			}
		}
	}
	room := int(maxConfinedShare*float64(len(agents))) - len(taken)
	n := min(max(1, int(math.Round(r.cfg.Share*float64(len(agents))))), room)
	free := slices.DeleteFunc(slices.Clone(agents), func(id string) bool { return taken[id] })
	rank := make(map[string]int, len(evidence))
	for i, c := range evidence {
		if _, ok := rank[c.id.agent]; !ok {
			rank[c.id.agent] = i
		}
	}
	slices.SortFunc(free, func(a, b string) int {
		rankA, crashedA := rank[a]
		rankB, crashedB := rank[b]
		switch {
		case crashedA && crashedB:
			return cmp.Compare(rankA, rankB)
		case crashedA:
			return -1
		case crashedB:
			return 1
		}
		return cmp.Or(cmp.Compare(xxhash.Sum64String(kind+a), xxhash.Sum64String(kind+b)), cmp.Compare(a, b))
	})
	chosen := free[:min(max(n, 0), len(free))]
	slices.Sort(chosen)
	return chosen
}

// Confined returns the confined kinds, in order of their names.
func (r *Registry) Confined() []Confinement {
	var out []Confinement
	for _, kind := range slices.Sorted(maps.Keys(r.kinds)) {
		if k := r.kinds[kind]; k.active {
			out = append(out, Confinement{Kind: kind, Agents: k.agents, Since: k.since})
		}
	}
	return out
}
