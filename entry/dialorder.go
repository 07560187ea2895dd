package entry

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// dialSlotTime is how long a dial counts against Options.Dials. A dial that takes
// longer waits for its agent and not for this host's processor.
const dialSlotTime = 150 * time.Millisecond

// dialQueue orders the dials of an entry and bounds those in flight.
//
// The load pattern that it answers: an entry on a small host starts, or returns
// after a loss of all power, while jobs wait. A handshake takes some milliseconds of
// a core. With all agents dialled at once the handshakes share the core, so that no
// session is open before nearly all are, and no job starts before that.
type dialQueue struct {
	limit   int // zero means no limit
	waiting []*agent
	// slots holds when each dial in flight ends to count against the limit.
	slots map[*agent]time.Duration
	// selfHash spreads the dials of entries that start together over the agents.
	selfHash uint64
}

func newDialQueue(o *Options) dialQueue {
	return dialQueue{limit: o.Dials, slots: make(map[*agent]time.Duration), selfHash: xxhash.Sum64String(o.Self.ID)}
}

// requestDial dials an agent at the end of the step or, if too many dials are in
// flight, later.
func (e *Entry) requestDial(a *agent) {
	if e.dials.limit == 0 {
		e.dial(a)
		return
	}
	if !slices.Contains(e.dials.waiting, a) {
		e.dials.waiting = append(e.dials.waiting, a)
	}
}

// startDials dials the agents that are needed most, as far as the limit allows.
func (e *Entry) startDials() {
	q := &e.dials
	if len(q.waiting) == 0 {
		return
	}
	for a, until := range q.slots {
		if a.link != linkDialing || e.now >= until {
			delete(q.slots, a)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(a *agent) bool {
		return a.link != linkIdle || e.agents[a.peer.ID] != a
	})
	for len(q.waiting) > 0 && len(q.slots) < q.limit {
		i := e.nextDial()
		a := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		e.dial(a)
		q.slots[a] = e.now + dialSlotTime
		e.arm(timer{at: e.now + dialSlotTime, kind: timerDialSlot})
	}
}

// dialRank is the rank of a dial; the lowest one is next.
type dialRank struct {
	class dialClass
	// inDomain is the number of sessions and dials in the agent's failure domain.
	inDomain int
	score    uint64
}

// dialClass is the use of a session to the tasks and jobs in progress.
type dialClass uint8

const (
	dialHoldsTasks dialClass = iota // callers wait for the outcomes that the agent keeps
	dialKeepsLock                   // the most urgent job without a lock needs it
	dialOffers                      // may offer slots
	dialFailed                      // did not answer the last dial
)

func (r dialRank) before(o dialRank) bool {
	switch {
	case r.class != o.class:
		return r.class < o.class
	case r.inDomain != o.inDomain:
		return r.inDomain < o.inDomain
	}
	return r.score > o.score
}

// nextDial returns the index of the waiting agent to dial next.
func (e *Entry) nextDial() int {
	q := &e.dials
	keepers := e.neededLockMembers()
	inDomain := map[string]int{}
	for _, a := range e.agents {
		if a.link != linkIdle {
			inDomain[a.peer.Domain]++
		}
	}
	best, bestRank := 0, dialRank{}
	for i, a := range q.waiting {
		r := dialRank{class: dialOffers, inDomain: inDomain[a.peer.Domain], score: lockScore(a.lockHash, q.selfHash)}
		switch {
		case len(a.sent) > 0:
			r.class = dialHoldsTasks
		case slices.Contains(keepers, a):
			r.class = dialKeepsLock
		case a.redialDelay > minRedialDelay:
			r.class = dialFailed
		}
		if i == 0 || r.before(bestRank) {
			best, bestRank = i, r
		}
	}
	return best
}

// neededLockMembers returns the members without a session or a dial in flight that
// the job with the earliest deadline needs for its lock. Jobs whose lock is under
// way are passed over.
func (e *Entry) neededLockMembers() []*agent {
	var first *submission
	for _, s := range e.subs {
		if !e.lacksLockMembers(s) {
			continue
		}
		if first == nil || s.deadline < first.deadline || s.deadline == first.deadline && bytes.Compare(s.id[:], first.id[:]) < 0 {
			first = s
		}
	}
	if first == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(first.lock.members[:first.lock.memberCount]), e.reachable)
}

// lacksLockMembers reports whether a submission waits for its lock and too few of
// the members are reachable for a majority.
func (e *Entry) lacksLockMembers(s *submission) bool {
	if s.answered || s.lock.stage != lockRequested {
		return false
	}
	reachable := 0
	for _, a := range s.lock.members[:s.lock.memberCount] {
		if e.reachable(a) {
			reachable++
		}
	}
	return reachable < s.lock.majority
}

// reachable reports whether an agent has a session or a dial in flight that is not
// overdue.
func (e *Entry) reachable(a *agent) bool {
	return a.link == linkOpen || a.link == linkDialing && e.now < e.dials.slots[a]
}
