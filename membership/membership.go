// Package membership decides, without I/O, which membership change the leader
// of the replicated log makes next. It aims for an odd number of voters and
// keeps the remaining control hosts as learners. A host that lost its disk or
// has failed for good is replaced by a learner that has caught up.
package membership

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/wire"
)

// Config configures Decide. Zero fields take the values of DefaultConfig.
type Config struct {
	// Tolerance is the number of hosts that may lose their disks at the same
	// time without the loss of an accepted change.
	Tolerance int
	// MaxVoters bounds the number of voters unless Tolerance requires more.
	MaxVoters int
	// DeadAfter is how long a voter may be silent before it is considered dead.
	// A dead voter is removed if a learner can replace it or if it is surplus.
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

// minVoters is the number of voters needed to keep every accepted change when
// Tolerance of them lose their disks.
func (c Config) minVoters() int { return 2*c.Tolerance + 1 }

// Member is a replica in the current membership of the cluster.
type Member struct {
	ID    uint64
	Addr  string
	Voter bool
	// Self is set for the leader, which makes the decision.
	Self bool
	// SilentFor is how long the leader has known that the replica does not answer;
	// zero means that it answers.
	SilentFor time.Duration
	// CaughtUp reports whether the replica is known to hold all committed entries
	// durably.
	CaughtUp bool
}

// Candidate is a replica that is waiting to be added to the cluster.
type Candidate struct {
	ID   uint64
	Addr string
}

// View is the leader's view of the cluster.
type View struct {
	Members    []Member
	Candidates []Candidate
}

// Decide returns the next membership change, or nil if none is needed. It tries the
// rules in order and returns the first change that one of them yields. Changes are
// made one at a time.
func Decide(c Config, v View) *wire.MemberChange {
	c = c.withDefaults()
	for _, rule := range []func(Config, View) *wire.MemberChange{removeSupersededReplica, addCandidate, removeDeadVoter, promoteLearner, removeDeadLearner} {
		if change := rule(c, v); change != nil {
			return change
		}
	}
	return nil
}

// removeSupersededReplica removes a silent member, voter or learner, whose address
// now announces a waiting replica with another ID: the host restarted with a new data
// folder, and the member's log is lost. It does not wait for DeadAfter.
func removeSupersededReplica(_ Config, v View) *wire.MemberChange {
	for _, m := range v.Members {
		supersedes := func(cand Candidate) bool { return cand.Addr == m.Addr && cand.ID != m.ID }
		if !m.Self && m.SilentFor > 0 && slices.ContainsFunc(v.Candidates, supersedes) {
			return &wire.MemberChange{Action: wire.MemberRemove, ID: m.ID}
		}
	}
	return nil
}

// addCandidate adds a waiting replica as a learner.
func addCandidate(_ Config, v View) *wire.MemberChange {
	for _, c := range v.Candidates {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == c.ID }) {
			return &wire.MemberChange{Action: wire.MemberAdd, ID: c.ID, Addr: c.Addr}
		}
	}
	return nil
}

// removeDeadVoter removes a voter that has been silent for DeadAfter, if a
// learner is ready to replace it or if an even number of voters makes it surplus.
// Without a replacement it never goes below minVoters: a host that is only
// partitioned still has its disk, and its copy counts towards the tolerated
// losses.
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

// promoteLearner makes a ready learner a voter while there are fewer than
// MaxVoters. From an even number of voters it needs nothing more. From an odd
// number it does so only if no voter is silent and a second learner is ready,
// whose promotion then makes the number odd again.
func promoteLearner(c Config, v View) *wire.MemberChange {
	voters := v.voters()
	odd := len(voters)%2 == 1
	silent := slices.ContainsFunc(voters, func(m Member) bool { return m.SilentFor > 0 && !m.Self })
	m := v.readyLearner()
	if m == nil || len(voters) >= c.MaxVoters || odd && (silent || v.countReadyLearners() < 2) {
		return nil
	}
	return &wire.MemberChange{Action: wire.MemberPromote, ID: m.ID}
}

// removeDeadLearner removes a learner that has been silent for
// RemoveLearnerAfter.
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

// readyLearner returns a learner that answers and has caught up, or nil if there
// is none.
func (v View) readyLearner() *Member {
	for i := range v.Members {
		if m := &v.Members[i]; !m.Voter && m.SilentFor == 0 && m.CaughtUp {
			return m
		}
	}
	return nil
}

// countReadyLearners returns the number of learners that answer and have caught up.
func (v View) countReadyLearners() int {
	n := 0
	for _, m := range v.Members {
		if !m.Voter && m.SilentFor == 0 && m.CaughtUp {
			n++
		}
	}
	return n
}
