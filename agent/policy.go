package agent

import "time"

// Claimant is the information about an entry that a policy uses.
type Claimant struct {
	// Waiting and Rank are the entry's demand. Waiting is zero once the demand
	// has expired.
	Waiting int
	Rank    float64
	// Credit is the credit that the entry holds and has not used.
	Credit int
	// CreditAge is the time since the credit was last reported.
	CreditAge time.Duration
	// Held is the number of the entry's tasks at the agent.
	Held int
}

// uncredited returns the number of waiting tasks without credit.
func (c Claimant) uncredited() int { return max(0, c.Waiting-c.Credit) }

// Policy decides how much credit an entry gets.
type Policy interface {
	// Name returns the policy's name in settings.
	Name() string
	// Credit returns the credit of all[who], given the number of free slots.
	// The caller sets the Credit field of all[who] to zero.
	Credit(free, who int, all []Claimant) int
}

// PolicyByName returns the policy with the given name.
func PolicyByName(name string) (Policy, bool) {
	for _, p := range []Policy{Sticky{Factor: 2}, ByRank{}, Split{}, DefaultLend} {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// Sticky gives all free slots to the entry that the next report goes to, usually
// the one whose tasks freed them, except the slots for which other waiting entries
// hold credit. It also withholds slots for the uncredited tasks of another entry if
// the first of them is more urgent by Factor or the first entry has none waiting.
type Sticky struct{ Factor float64 }

// Name returns "sticky".
func (Sticky) Name() string { return "sticky" }

// Credit implements Policy.
func (p Sticky) Credit(free, who int, all []Claimant) int {
	avail := free - reserved(who, all)
	for i, c := range all {
		if i == who || c.uncredited() == 0 {
			continue
		}
		if all[who].Waiting == 0 || c.Rank*p.Factor < all[who].Rank {
			avail -= c.uncredited()
		}
	}
	return max(0, avail)
}

// ByRank gives free slots to the most urgent entry, regardless of whose tasks
// freed them.
type ByRank struct{}

// Name returns "rank".
func (ByRank) Name() string { return "rank" }

// Credit implements Policy.
func (ByRank) Credit(free, who int, all []Claimant) int {
	avail := free - reserved(who, all)
	for i, c := range all {
		if i == who || c.uncredited() == 0 {
			continue
		}
		if all[who].Waiting == 0 || c.Rank < all[who].Rank {
			avail -= c.uncredited()
		}
	}
	return max(0, avail)
}

// Split shares free slots evenly and never gives credit for a slot twice.
type Split struct{}

// Name returns "split".
func (Split) Name() string { return "split" }

// Credit implements Policy.
func (Split) Credit(free, who int, all []Claimant) int {
	avail, sharers := free, 1
	for i, c := range all {
		if i == who {
			continue
		}
		avail -= c.Credit
		if c.Credit == 0 {
			sharers++
		}
	}
	if avail <= 0 {
		return 0
	}
	return (avail + sharers - 1) / sharers
}

// Lend shares free slots evenly, like Split. An entry with waiting tasks also
// gets the credit that idle entries hold above Keep or for longer than KeepFor.
// If several entries have waiting tasks, the most urgent one is preferred.
type Lend struct {
	// Keep is how many slots the credit of an idle entry reserves against entries
	// with waiting tasks, and the most credit that an idle entry gets while others
	// have waiting tasks without credit.
	Keep int
	// KeepFor is how long the credit of an idle entry reserves slots.
	KeepFor time.Duration
}

// DefaultLend is the policy of DefaultConfig.
var DefaultLend = Lend{Keep: 1, KeepFor: 250 * time.Millisecond}

// Name returns "lend".
func (Lend) Name() string { return "lend" }

// Credit implements Policy.
func (p Lend) Credit(free, who int, all []Claimant) int {
	me := all[who]
	avail, sharers, uncredited := free, 1, 0
	for i, c := range all {
		if i == who {
			continue
		}
		avail -= p.reservedFor(me, c)
		uncredited += c.uncredited()
		if c.Credit == 0 && (c.Waiting > 0 || me.Waiting == 0) {
			sharers++
		}
	}
	if avail <= 0 {
		return 0
	}
	share := (avail + sharers - 1) / sharers
	if me.Waiting == 0 && uncredited > 0 {
		return min(share, p.Keep)
	}
	return share
}

// reservedFor returns how many free slots are reserved for c and unavailable to
// me.
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

// reserved returns the credit of other entries with waiting tasks. Credit of
// entries without waiting tasks is left out, so it may overlap with new credit.
func reserved(who int, all []Claimant) int {
	n := 0
	for i, c := range all {
		if i != who && c.Waiting > 0 {
			n += c.Credit
		}
	}
	return n
}
