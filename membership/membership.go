// Package membership decides, without I/O, how the leader of the replicated log
// changes the control hosts: an odd number of voters, the rest stand by as
// learners; a host whose disk was replaced or that is gone for good gives way
// to one that has caught up.
package membership

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// Config tunes Decide. Zero fields take the values of DefaultConfig.
type Config struct {
	// Tolerance is how many hosts may lose their disks at the same time without
	// the loss of an accepted change.
	Tolerance int
	// MaxVoters bounds the voters where Tolerance needs no more.
	MaxVoters int
	// DeadAfter is how long a voter may be silent before a host that stands by
	// takes its place.
	DeadAfter time.Duration
	// RemoveLearnerAfter is how long a learner may be silent before it is removed.
	RemoveLearnerAfter time.Duration
}

// DefaultConfig returns the configuration that applies to unset fields.
func DefaultConfig() Config {
	return Config{
		Tolerance:          1,
		MaxVoters:          5,
		DeadAfter:          3 * time.Second,
		RemoveLearnerAfter: 10 * time.Second,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	if c.Tolerance == 0 {
		c.Tolerance = d.Tolerance
	}
	if c.MaxVoters == 0 {
		c.MaxVoters = d.MaxVoters
	}
	c.MaxVoters = max(c.MaxVoters, c.minVoters())
	if c.DeadAfter == 0 {
		c.DeadAfter = d.DeadAfter
	}
	if c.RemoveLearnerAfter == 0 {
		c.RemoveLearnerAfter = d.RemoveLearnerAfter
	}
	return c
}

// minVoters is how many voters keep an accepted change through the losses to be
// borne.
func (c Config) minVoters() int { return 2*c.Tolerance + 1 }

// Member is a replica that belongs to the cluster.
type Member struct {
	ID    uint64
	Addr  string
	Voter bool
	// Self marks the leader.
	Self bool
	// SilentFor is how long it has not answered the leader.
	SilentFor time.Duration
	// CaughtUp says that it holds all that is committed.
	CaughtUp bool
}

// Candidate is a replica that waits to be added.
type Candidate struct {
	ID   uint64
	Addr string
}

// View is what the leader knows.
type View struct {
	Members    []Member
	Candidates []Candidate
}

// Decide returns the next change, nil if there is none to make. Changes go one
// at a time.
func Decide(c Config, v View) *wire.MemberChange {
	c = c.withDefaults()
	for _, rule := range []func(Config, View) *wire.MemberChange{removeReplaced, addCandidate, removeDeadVoter, promoteLearner, removeDeadLearner} {
		if change := rule(c, v); change != nil {
			return change
		}
	}
	return nil
}

// removeReplaced removes a member whose host has come back with another data
// folder: what it knew is gone.
func removeReplaced(_ Config, v View) *wire.MemberChange {
	for _, m := range v.Members {
		newer := func(o Candidate) bool { return o.Addr == m.Addr && o.ID != m.ID }
		if !m.Self && m.SilentFor > 0 && slices.ContainsFunc(v.Candidates, newer) {
			return &wire.MemberChange{Action: wire.MemberRemove, ID: m.ID}
		}
	}
	return nil
}

// addCandidate takes in a host that waits, as a learner.
func addCandidate(_ Config, v View) *wire.MemberChange {
	for _, c := range v.Candidates {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == c.ID }) {
			return &wire.MemberChange{Action: wire.MemberAdd, ID: c.ID, Addr: c.Addr}
		}
	}
	return nil
}

// removeDeadVoter removes a voter that has long been silent, if a learner can take
// its place or if it only raises the quorum. It never leaves too few voters for
// the losses to be borne: a host that is only cut off still has its disk.
func removeDeadVoter(c Config, v View) *wire.MemberChange {
	voters := v.voters()
	for _, m := range v.Members {
		if !m.Voter || m.Self || m.SilentFor < c.DeadAfter {
			continue
		}
		surplus := len(voters)%2 == 0 && len(voters) > c.minVoters()
		if surplus || len(voters)%2 == 1 && v.readyLearner() != nil {
			return &wire.MemberChange{Action: wire.MemberRemove, ID: m.ID}
		}
	}
	return nil
}

// promoteLearner makes a learner a voter where that leaves an odd number, or where two
// learners can follow one another.
func promoteLearner(c Config, v View) *wire.MemberChange {
	voters := v.voters()
	odd := len(voters)%2 == 1
	silent := slices.ContainsFunc(voters, func(m Member) bool { return m.SilentFor > 0 && !m.Self })
	m := v.readyLearner()
	if m == nil || len(voters) >= c.MaxVoters || odd && (silent || v.readyLearners() < 2) {
		return nil
	}
	return &wire.MemberChange{Action: wire.MemberPromote, ID: m.ID}
}

// removeDeadLearner removes a learner that has long been silent.
func removeDeadLearner(c Config, v View) *wire.MemberChange {
	for _, m := range v.Members {
		if !m.Voter && m.SilentFor >= c.RemoveLearnerAfter {
			return &wire.MemberChange{Action: wire.MemberRemove, ID: m.ID}
		}
	}
	return nil
}

func (v View) voters() []Member {
	var out []Member
	for _, m := range v.Members {
		if m.Voter {
			out = append(out, m)
		}
	}
	return out
}

// readyLearner returns a learner that has caught up, nil if there is none.
func (v View) readyLearner() *Member {
	for i := range v.Members {
		if m := &v.Members[i]; !m.Voter && m.SilentFor == 0 && m.CaughtUp {
			return m
		}
	}
	return nil
}

func (v View) readyLearners() int {
	n := 0
	for _, m := range v.Members {
		if !m.Voter && m.SilentFor == 0 && m.CaughtUp {
			n++
		}
	}
	return n
}
