package raft

import "slices"

// membership is the history of memberships that may still be rolled back. A
// membership is in force from the moment its entry is in the log.
type membership struct {
	history []membersAt
}

type membersAt struct {
	index   uint64
	members []Member
}

func (c *membership) current() []Member {
	if len(c.history) == 0 {
		return nil
	}
	return c.history[len(c.history)-1].members
}

// index returns the position of the entry that brought the current membership.
func (c *membership) index() uint64 {
	if len(c.history) == 0 {
		return 0
	}
	return c.history[len(c.history)-1].index
}

// at returns the membership in force at a position of the log.
func (c *membership) at(index uint64) []Member {
	for _, m := range slices.Backward(c.history) {
		if m.index <= index {
			return m.members
		}
	}
	return nil
}

func (c *membership) add(index uint64, members []Member) {
	c.history = append(c.history, membersAt{index: index, members: members})
}

func (c *membership) truncate(index uint64) {
	for len(c.history) > 0 && c.history[len(c.history)-1].index >= index {
		c.history = c.history[:len(c.history)-1]
	}
}

// compact drops memberships that are older than the one in force at index.
func (c *membership) compact(index uint64) {
	for len(c.history) > 1 && c.history[1].index <= index {
		c.history = c.history[1:]
	}
}

func (c *membership) reset(s Snapshot) {
	c.history = []membersAt{{index: s.Index, members: s.Members}}
}

func findMember(members []Member, id uint64) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func isVoter(members []Member, id uint64) bool {
	m, ok := findMember(members, id)
	return ok && m.Voter
}

func countVoters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

// quorum is the smallest number of voters that is a majority.
func quorum(members []Member) int { return countVoters(members)/2 + 1 }
