package raft

import (
	"encoding/binary"
	"slices"
	"time"
)

// restart is what a replica knows at its start about the leases of earlier
// terms. It doesn't change afterwards.
//
// A replica that restarts may have acknowledged a leader just before it
// stopped, so it grants no vote until that leader's lease is over. Nobody
// relies on such a lease if the leader of the highest term of all voters that
// are asked has restarted itself: a lease is kept in memory only, a replica
// never leads a term again after a restart, and the leases of earlier terms
// were over when that term was elected.
type restart struct {
	term      uint64        // the saved term
	waitUntil time.Duration // no vote is granted before this time, unless the leases up to term are void
	ledTerm   uint64        // term, if this replica has led it; 0 otherwise
}

// restartAttempts is the number of elections that a restarted leader attempts
// during one election timeout after its start.
const restartAttempts = 8

func (n *Node) loadRestart() {
	n.restart = restart{term: n.term, waitUntil: n.now + n.cfg.ElectionTimeout}
	if n.vote == n.id && n.hasLed(n.term) {
		n.restart.ledTerm = n.term
	}
}

// hasLed reports whether the log proves that this replica has led a term. A
// vote for itself proves nothing: another replica may have won that election.
func (n *Node) hasLed(term uint64) bool {
	return slices.ContainsFunc(n.log.ents, func(e Entry) bool {
		return e.Kind == EntryNoop && e.Term == term && slices.Equal(e.Data, leaderMark(n.id))
	})
}

// leaderMark is the data of the empty entry that a leader appends. Only the
// leader of a term creates entries of that term.
func leaderMark(id uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, id)
}

func (n *Node) appendMark() {
	n.markIndex, _ = n.appendAsLeader(Entry{Kind: EntryNoop, Data: leaderMark(n.id)})
}

// keepMark appends the leader's mark again once a snapshot has replaced it.
// There is no need to if the mark is the last entry of the snapshot: a cluster
// that takes a snapshot after each entry would never come to rest.
func (n *Node) keepMark(snapshotIndex uint64) {
	if n.role == Leader && n.transferee == None && n.markIndex < snapshotIndex {
		n.appendMark()
	}
}

// retriesSoon reports whether this replica has led the current term before it
// restarted, so that it can be elected before the other voters' wait is over.
func (n *Node) retriesSoon() bool {
	r := &n.restart
	return r.ledTerm != 0 && n.term == r.ledTerm && n.now < r.waitUntil
}

// startElectionTimer starts the first election timer: soon after the wait for
// the lease of an earlier leader is over, or at once if there is no such lease.
func (n *Node) startElectionTimer() {
	if n.isSoleVoter() || n.retriesSoon() {
		n.electionAt = n.now
		return
	}
	n.electionAt = n.restart.waitUntil + time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout)/2+1))
}

// waits reports whether a leader from before the restart may still rely on its
// lease, given that no leader up to term void does. A void of zero says nothing.
func (r *restart) waits(now time.Duration, void uint64) bool {
	return now < r.waitUntil && (void == 0 || void < r.term)
}
