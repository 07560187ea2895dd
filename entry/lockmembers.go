package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// lockScore ranks the agents for the lock of a job; the highest score wins. It
// mixes the hashes of both ids with the finalizer of MurmurHash3.
func lockScore(agentHash, refHash uint64) uint64 {
	x := agentHash ^ refHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// updateLockAgent adds an agent to those that may keep locks, or removes it. They
// include agents that are listed but not connected, and exclude those that entries
// which start now do not know, so that all entries find the same members for a job. One
// that would be removed stays until the runs of jobs whose locks it may have granted are
// over, so that no agent that doesn't know these takes its place before.
func (e *Entry) updateLockAgent(a *agent) {
	domainHash := xxhash.Sum64String(a.peer.Domain)
	older := a.incarnation != 0 && a.runsEndWithin == 0
	on := e.agents[a.ID] == a && (a.listed || a.link == linkOpen) && a.announcesService && !older
	if on || older {
		a.lockMemberUntil = 0
	} else if a.keepsLocks {
		on = e.remainsLockAgent(a)
	}
	connected := a.link == linkOpen
	if on == a.keepsLocks && connected == a.lockConnected && domainHash == a.domainHash {
		return
	}
	switch {
	case on && !a.keepsLocks:
		e.lockAgents = append(e.lockAgents, a)
	case !on && a.keepsLocks:
		i := slices.Index(e.lockAgents, a)
		e.lockAgents = slices.Delete(e.lockAgents, i, i+1)
	}
	a.keepsLocks, a.lockConnected, a.domainHash = on, connected, domainHash
	e.changedLockAgents = append(e.changedLockAgents, a)
}

// remainsLockAgent reports whether an agent that is to be removed from those that keep
// locks has to stay for now.
func (e *Entry) remainsLockAgent(a *agent) bool {
	if a.lockMemberUntil == 0 {
		a.lockMemberUntil = e.now + e.orphansEndWithin
		e.arm(timer{at: a.lockMemberUntil, kind: timerLockMember, agent: a})
	}
	return e.now < a.lockMemberUntil
}

// lockMembershipDue removes an agent whose time among those that keep locks is over.
func (e *Entry) lockMembershipDue(a *agent) {
	if e.agents[a.peer.ID] == a && a.lockMemberUntil != 0 && e.now >= a.lockMemberUntil {
		e.updateLockAgent(a)
		e.removeUnused(a)
	}
}

// setMembers records the members and marks the requests to them.
func (l *jobLock) setMembers(refHash uint64, members []*agent) {
	l.refHash, l.memberCount = refHash, copy(l.members[:], members)
	for i := range l.requests {
		r := &l.requests[i]
		r.member = slices.Contains(members, r.agent)
	}
}

// isAffectedBy reports whether a change of an agent may change the members of the
// lock or which of them can be asked.
func (l *jobLock) isAffectedBy(a *agent) bool {
	members := l.members[:l.memberCount]
	if slices.Contains(members, a) {
		return true
	}
	if !a.keepsLocks {
		return false
	}
	score := lockScore(a.lockHash, l.refHash)
	distinct, isNew := len(members) == lockMembers, true
	for i, m := range members {
		if score > lockScore(m.lockHash, l.refHash) {
			return true
		}
		isNew = isNew && m.domainHash != a.domainHash
		for _, o := range members[:i] {
			distinct = distinct && o.domainHash != m.domainHash
		}
	}
	return len(members) < lockMembers || !distinct && isNew
}

// agentsListedWithin is how long after the first list all agents in reach are listed, also
// if the control hosts have restarted just before: the longest delay between two attempts of
// an agent to connect to a control host.
const agentsListedWithin = 3 * time.Second

// lockAgentsKnown reports whether the entry knows all agents that may keep a lock, so that
// it finds the same members for a job as other entries.
func (e *Entry) lockAgentsKnown() bool {
	return e.listComplete || e.listed && e.now >= e.listedSince+agentsListedWithin
}

// lockAgentsOf returns the members for the lock of a job: the agents with the
// highest scores, in different failure domains as far as possible.
func (e *Entry) lockAgentsOf(ref string) []*agent { return e.lockAgentsOfHash(xxhash.Sum64String(ref)) }

func (e *Entry) lockAgentsOfHash(refHash uint64) []*agent {
	members := e.members[:0]
	for range lockMembers {
		var best *agent
		var bestScore uint64
		bestIsNew := false
		for _, a := range e.lockAgents {
			isNew, chosen := true, false
			for _, m := range members {
				chosen = chosen || m == a
				isNew = isNew && m.domainHash != a.domainHash
			}
			if chosen || bestIsNew && !isNew {
				continue
			}
			if score := lockScore(a.lockHash, refHash); best == nil || isNew && !bestIsNew || score > bestScore {
				best, bestScore, bestIsNew = a, score, isNew
			}
		}
		if best == nil {
			break
		}
		members = append(members, best)
	}
	e.members = members
	return members
}

// domainLosses counts the agents of a failure domain that keep locks, and those of them
// that are not connected.
type domainLosses struct {
	hash         uint64
	agents, lost int
}

// unlockable returns the share of jobs whose lock this entry can't get because it is cut
// off from a majority of their members; zero if there are fewer than lockMembers agents.
func (e *Entry) unlockable() float64 {
	if len(e.lockAgents) < lockMembers {
		return 0
	}
	domains, lost := e.lossesByDomain()
	if len(domains) >= lockMembers {
		return unlockableOver(domains, len(e.lockAgents))
	}
	n := len(e.lockAgents)
	return float64(pairs(lost)*(n-lost)+triples(lost)) / float64(triples(n))
}

// lossesByDomain returns the losses of each failure domain, in a fixed order, and their
// sum.
func (e *Entry) lossesByDomain() (domains []domainLosses, lost int) {
	for _, a := range e.lockAgents {
		i, found := slices.BinarySearchFunc(domains, a.domainHash, func(d domainLosses, hash uint64) int { return cmp.Compare(d.hash, hash) })
		if !found {
			domains = slices.Insert(domains, i, domainLosses{hash: a.domainHash})
		}
		domains[i].agents++
		if a.link != linkOpen {
			domains[i].lost++
			lost++
		}
	}
	return domains, lost
}

// unlockableOver returns the probability that two of three members in different failure
// domains are lost. Each member is any of the agents in the domains that are left.
func unlockableOver(domains []domainLosses, agents int) float64 {
	sum := 0.0
	for i, x := range domains {
		for j, y := range domains {
			for k, z := range domains {
				if i == j || j == k || i == k {
					continue
				}
				left := agents - x.agents
				chosen := float64(x.agents*y.agents*z.agents) / float64(agents*left*(left-y.agents))
				sum += chosen * twoOfThree(x.share(), y.share(), z.share())
			}
		}
	}
	return sum
}

func (d domainLosses) share() float64 { return float64(d.lost) / float64(d.agents) }

// twoOfThree returns the probability of at least two of three independent events.
func twoOfThree(a, b, c float64) float64 { return a*b + a*c + b*c - 2*a*b*c }

// pairs and triples return the numbers of pairs and of triples of n things.
func pairs(n int) int   { return n * (n - 1) / 2 }
func triples(n int) int { return n * (n - 1) * (n - 2) / 6 }
