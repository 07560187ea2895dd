package agent

import "time"

// Claimant is what a policy knows of an entry.
type Claimant struct {
	// Waiting and Rank are the entry's demand; Waiting is zero once it is old.
	Waiting int
	Rank    float64
	// Credit is the credit that the entry holds and has not used.
	Credit int
	// CreditAge is how long ago that was.
	CreditAge time.Duration
	// Held counts the entry's tasks at the agent.
	Held int
}

// unmet returns how many waiting tasks have no credit.
func (c Claimant) unmet() int { return max(0, c.Waiting-c.Credit) }

// Policy decides how much credit an entry is told.
type Policy interface {
	// Name returns the policy's name in settings.
	Name() string
	// Credit returns the credit of all[who] while free slots are free. The
	// Told of all[who] is zero.
	Credit(free, who int, all []Claimant) int
}

// PolicyByName returns the policy of that name.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range []Policy{Sticky{Factor: 2}, ByRank{}, Split{}, DefaultLend} {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// Sticky lets the entry that is about to be reported to keep the slots that
// its own tasks freed, unless another's first task is more urgent by Factor.
type Sticky struct{ Factor float64 }

// Name returns "sticky".
func (Sticky) Name() string { return "sticky" }

// Credit implements Policy.
func (p Sticky) Credit(free, who int, all []Claimant) int {
	avail := free - reserved(who, all)
	for i, c := range all {
		if i == who || c.unmet() == 0 {
			continue
		}
		if all[who].Waiting == 0 || c.Rank*p.Factor < all[who].Rank {
			avail -= c.unmet()
		}
	}
	return max(0, avail)
}

// ByRank gives free slots to the most urgent entry, whoever freed them.
type ByRank struct{}

// Name returns "rank".
func (ByRank) Name() string { return "rank" }

// Credit implements Policy.
func (ByRank) Credit(free, who int, all []Claimant) int {
	avail := free - reserved(who, all)
	for i, c := range all {
		if i == who || c.unmet() == 0 {
			continue
		}
		if all[who].Waiting == 0 || c.Rank < all[who].Rank {
			avail -= c.unmet()
		}
	}
	return max(0, avail)
}

// Split never tells two entries of the same slot and shares them evenly.
type Split struct{}

// Name returns "split".
func (Split) Name() string { return "split" }

// Credit implements Policy.
func (Split) Credit(free, who int, all []Claimant) int {
	avail, idle := free, 1
	for i, c := range all {
		if i == who {
			continue
		}
		avail -= c.Credit
		if c.Credit == 0 {
			idle++
		}
	}
	if avail <= 0 {
		return 0
	}
	return (avail + idle - 1) / idle
}

// Lend shares free slots evenly, like Split, but lends to an entry with waiting
// tasks what idle entries hold above Keep or
// for longer than KeepFor, and prefers the most urgent entry
// where several have waiting tasks.
type Lend struct {
	Keep int
	// KeepFor is how long an idle entry's credit counts.
	KeepFor time.Duration
}

// DefaultLend is the policy of DefaultConfig.
var DefaultLend = Lend{Keep: 1, KeepFor: 250 * time.Millisecond}

// Name returns "lend".
func (Lend) Name() string { return "lend" }

// Credit implements Policy.
func (p Lend) Credit(free, who int, all []Claimant) int {
	me := all[who]
	avail, rivals, unmet := free, 1, 0
	for i, c := range all {
		if i == who {
			continue
		}
		avail -= p.reservedFor(me, c)
		unmet += c.unmet()
		if c.Credit == 0 && (c.Waiting > 0 || me.Waiting == 0) {
			rivals++
		}
	}
	if avail <= 0 {
		return 0
	}
	share := (avail + rivals - 1) / rivals
	if me.Waiting == 0 && unmet > 0 {
		return min(share, p.Keep)
	}
	return share
}

// reservedFor returns how many free slots me must leave to c.
func (p Lend) reservedFor(me, c Claimant) int {
	switch {
	case me.Waiting == 0:
		return c.Credit
	case c.Waiting == 0 && c.CreditAge > p.KeepFor:
		return 0
	case c.Waiting == 0:
		return min(c.Credit, p.Keep)
	case c.Credit == 0 && c.Rank < me.Rank:
		return 1
	}
	return c.Credit
}

// reserved counts the slots promised to other entries with waiting tasks. What
// entries without waiting tasks were told may overlap.
func reserved(who int, all []Claimant) int {
	n := 0
	for i, c := range all {
		if i != who && c.Waiting > 0 {
			n += c.Credit
		}
	}
	return n
}
