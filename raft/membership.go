package raft

import "slices"

// membership is the history of memberships that may still be rolled back. A
// membership is in force from the moment its entry is in the log.
type membership struct {
	hist []membersAt
}

type membersAt struct {
	index   uint64
	members []Member
}

func (c *membership) current() []Member {
	if len(c.hist) == 0 {
		return nil
	}
	return c.hist[len(c.hist)-1].members
}

// index returns the position of the entry that brought the current membership.
func (c *membership) index() uint64 {
	if len(c.hist) == 0 {
		return 0
	}
	return c.hist[len(c.hist)-1].index
}

// at returns the membership in force at a position of the log.
func (c *membership) at(index uint64) []Member {
	for _, m := range slices.Backward(c.hist) {
		if m.index <= index {
			return m.members
		}
	}
	return nil
}

func (c *membership) add(index uint64, members []Member) {
	c.hist = append(c.hist, membersAt{index: index, members: members})
}

func (c *membership) truncate(index uint64) {
	for len(c.hist) > 0 && c.hist[len(c.hist)-1].index >= index {
		c.hist = c.hist[:len(c.hist)-1]
	}
}

// forget drops memberships that are older than the one in force at index.
func (c *membership) forget(index uint64) {
	for len(c.hist) > 1 && c.hist[1].index <= index {
		c.hist = c.hist[1:]
	}
}

func (c *membership) reset(s Snapshot) {
	c.hist = []membersAt{{index: s.Index, members: s.Members}}
}

func find(members []Member, id uint64) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func isVoter(members []Member, id uint64) bool {
	m, ok := find(members, id)
	return ok && m.Voter
}

func voters(members []Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}

// quorum is the smallest number of voters that is a majority.
func quorum(members []Member) int { return voters(members)/2 + 1 }
