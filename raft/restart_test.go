package raft_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/raft"
)

// restarted returns replica 1 of three voters, restarted at time zero with a
// saved term and vote and with the entry that a leader of that term appended.
func restarted(t require.TestingT, term, vote uint64, noop raft.Entry) *raft.Node {
	members := []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	n, err := raft.New(raft.Config{
		ID: 1, Hard: raft.HardState{Term: term, Vote: vote, Commit: 1},
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members},
		Entries:  []raft.Entry{noop},
	})
	require.NoError(t, err)
	return n
}

// noopOf returns the entry that replica 1 appended when it was elected in term 2.
func noopOf(t *testing.T) raft.Entry {
	log := electedNode(t, true).Log()
	require.Equal(t, raft.EntryNoop, log[0].Kind)
	require.Equal(t, uint64(2), log[0].Term)
	return log[0]
}

// voidTerms returns the terms up to which the vote requests among msgs declare
// leases void.
func voidTerms(msgs []raft.Message) []uint64 {
	var terms []uint64
	for _, m := range msgs {
		if m.Kind == raft.MsgPreVote || m.Kind == raft.MsgVote {
			terms = append(terms, m.Hint)
		}
	}
	return terms
}

// A leader that restarts asks for votes at once and again soon after, and says
// that the leases up to its term are void, never those of a later term.
func TestRestartedLeaderAsksAtOnce(t *testing.T) {
	n := restarted(t, 2, 1, noopOf(t))
	for range 3 {
		now := n.NextTick()
		require.Less(t, now, raft.DefaultElectionTimeout/2)
		n.Tick(now)
		require.Equal(t, []uint64{2, 2}, voidTerms(n.Ready().Messages))
	}
	now := n.NextTick()
	n.Step(now, raft.Message{Kind: raft.MsgPreVoteResp, From: 2, To: 1, Term: 3})
	drainSave(n)
	require.Equal(t, []uint64{2, 2}, voidTerms(n.Ready().Messages))
	require.GreaterOrEqual(t, n.NextTick(), now+raft.DefaultElectionTimeout, "a candidate waits for its votes")
}

func drainSave(n *raft.Node) {
	if n.Ready().Save != nil {
		n.Advance()
	}
}

// A vote for itself doesn't prove that a replica has led the term: the winner may
// be another one, which relies on the answers of a voter that voted for this one.
// Nor does an entry of the winner, of an earlier term, or one that a command
// imitates.
func TestOnlyTheLeaderDeclaresLeasesVoid(t *testing.T) {
	own := noopOf(t)
	winner, command, earlier := own, own, own
	winner.Data = append(slices.Clone(own.Data[:7]), 3)
	command.Kind = raft.EntryCommand
	cases := map[string]*raft.Node{
		"no mark":          restarted(t, 2, 1, raft.Entry{Index: 2, Term: 2}),
		"mark of winner":   restarted(t, 2, 1, winner),
		"command":          restarted(t, 2, 1, command),
		"later term":       restarted(t, 3, 0, earlier),
		"later own ballot": restarted(t, 3, 1, earlier),
	}
	for name, n := range cases {
		require.GreaterOrEqual(t, n.NextTick(), raft.DefaultElectionTimeout, name)
		require.LessOrEqual(t, n.NextTick(), raft.DefaultElectionTimeout*3/2, name)
		n.Tick(n.NextTick())
		require.Equal(t, []uint64{0, 0}, voidTerms(n.Ready().Messages), name)
	}
}

// A restarted voter waives only the wait that its restart causes, and only if the
// leases of every term are void in which it may have acknowledged a leader.
func TestRestartWaitIsWaived(t *testing.T) {
	ask := func(n *raft.Node, void uint64) bool {
		n.Step(time.Millisecond, raft.Message{Kind: raft.MsgPreVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9, Hint: void})
		return !n.Ready().Messages[0].Reject
	}
	n := restarted(t, 5, 2, raft.Entry{Index: 2, Term: 5})
	require.False(t, ask(n, 0))
	require.False(t, ask(n, 4), "a leader of term 5 may hold a lease")
	require.True(t, ask(n, 5))
	vote := raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 6, Index: 9, LogTerm: 9, Hint: 4}
	n.Step(time.Millisecond, vote)
	require.True(t, ptr(n.Ready()).Empty())
	vote.Hint = 5
	n.Step(time.Millisecond, vote)
	require.Equal(t, uint64(3), n.Ready().Save.Hard.Vote)

	n = restarted(t, 5, 2, raft.Entry{Index: 2, Term: 5})
	n.Step(time.Millisecond, raft.Message{Kind: raft.MsgAppend, From: 2, To: 1, Term: 5, Index: 2, LogTerm: 5})
	drainReady(n)
	require.False(t, ask(n, 5), "the leader has been heard since the restart")
	require.False(t, ask(n, 8))
}

// The mark that a leader led its term outlasts a snapshot that replaces it, and
// comes to rest when a snapshot is taken after each entry.
func TestLeaderMarkOutlastsSnapshot(t *testing.T) {
	n := electedNode(t, true)
	mark := noopOf(t)
	n.Step(baseTime, ack(2, 2, 2, 0))
	index, _, err := n.Propose([]byte("x"))
	require.NoError(t, err)
	drainReady(n)
	n.Step(baseTime, ack(2, 2, index, 0))
	drainReady(n)
	s, ok := n.MakeSnapshot(index, nil)
	require.True(t, ok)
	n.Compact(s)
	last := n.Log()[len(n.Log())-1]
	require.Equal(t, index+1, last.Index)
	require.Equal(t, mark.Data, last.Data)
	drainReady(n)
	n.Step(baseTime, ack(2, 2, last.Index, 0))
	drainReady(n)
	s, ok = n.MakeSnapshot(last.Index, nil)
	require.True(t, ok)
	n.Compact(s)
	require.Equal(t, last.Index, n.Log()[len(n.Log())-1].Index)
}

// After a loss of all power the old leader is elected again before the voters'
// wait is over, also if the hosts return one after the other.
func TestLeaderReturnsAfterPowerLoss(t *testing.T) {
	for seed := range uint64(20) {
		a := &driver{newSim(t, seed, 3)}
		a.advance(3 * time.Second)
		a.writeLeader()
		a.advance(100 * time.Millisecond)
		old := a.leader()
		for _, h := range a.hosts {
			h.crash()
		}
		for _, h := range a.hosts {
			a.advance(a.randomDuration(0, 30*time.Millisecond))
			h.start(nil)
		}
		a.advance(raft.DefaultElectionTimeout / 2)
		require.Same(t, old, a.leader(), "seed %d", seed)
		a.checkRecovery()
	}
}

// Restarts of all hosts, of a majority or of a few, in the middle of elections,
// with a live leader cut off, frozen or slow to be heard, elect no leader within
// another's lease and lose nothing.
func TestElectionsAroundRestarts(t *testing.T) {
	early := 0
	rapid.Check(t, func(t *rapid.T) {
		a := &driver{newSim(t, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 3, 4, 5}).Draw(t, "voters"))}
		var picks []action
		for _, act := range restartActions {
			picks = append(picks, slices.Repeat([]action{act}, act.weight)...)
		}
		a.advance(2 * time.Second)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			picks[a.rng.IntN(len(picks))].do(a)
		}
		early += a.earlyLeaders
		a.checkLogs()
		a.checkRecovery()
	})
	require.NotZero(t, early, "no leader was elected before the wait of a restarted voter was over")
}

var restartActions = []action{
	{"pass a little", 30, true, func(a *driver) { a.advance(a.randomDuration(0, 30*time.Millisecond)) }},
	{"pass", 6, true, func(a *driver) { a.advance(a.randomDuration(0, 1500*time.Millisecond)) }},
	{"write", 10, true, (*driver).writeLeader},
	{"read", 6, true, func(a *driver) { a.onRunning(a.read) }},
	{"power cut", 2, true, (*driver).powerCut},
	{"restart some", 8, true, (*driver).restartSome},
	{"restart all but the leader", 4, true, func(a *driver) { a.onLeader(a.restartOthers) }},
	{"restart", 10, true, (*driver).restart},
	{"crash", 4, true, func(a *driver) { a.onRunning((*host).crash) }},
	{"cut off leader", 5, true, func(a *driver) { a.onLeader(func(h *host) { a.partitions[h.id] = 1 }) }},
	{"cut link", 4, true, (*driver).cutLink},
	{"freeze leader", 2, true, func(a *driver) { a.onLeader(func(h *host) { h.frozen = true }) }},
	{"network", 2, true, (*driver).network},
	{"heal", 5, true, func(a *driver) { a.healNetwork() }},
	{"transfer", 2, true, (*driver).transfer},
	{"snapshot", 4, true, func(a *driver) { a.onRunning((*host).snapshot) }},
}

// restartSome crashes random hosts and starts each of them again a little later.
func (a *driver) restartSome() {
	for _, h := range a.hosts {
		if h.node != nil && a.rng.IntN(3) > 0 {
			h.crash()
		}
	}
	for _, h := range a.hosts {
		a.advance(a.randomDuration(0, 10*time.Millisecond))
		if h.node == nil {
			h.start(nil)
		}
	}
}

func (a *driver) restartOthers(leader *host) {
	for _, h := range a.hosts {
		if h != leader && h.node != nil {
			h.crash()
			h.start(nil)
		}
	}
}
