package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// electedNode returns replica 1 of three after an election, as its leader or as
// a follower of replica 2.
func electedNode(t require.TestingT, lead bool) *raft.Node {
	members := []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	n, err := raft.New(raft.Config{
		ID: 1, Hard: raft.HardState{Term: 1, Commit: 1},
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members},
	})
	require.NoError(t, err)
	now := 2 * time.Second
	if lead {
		n.Tick(now)
		drainReady(n)
		n.Step(now, raft.Message{Kind: raft.MsgPreVoteResp, From: 2, To: 1, Term: 2})
		drainReady(n)
		n.Step(now, raft.Message{Kind: raft.MsgVoteResp, From: 2, To: 1, Term: 2})
	} else {
		n.Step(now, raft.Message{Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1})
	}
	drainReady(n)
	return n
}

func drainReady(n *raft.Node) {
	for {
		rd := n.Ready()
		if rd.Empty() {
			return
		}
		if rd.Save != nil {
			n.Advance()
		}
	}
}

// No bytes from a peer bring a replica down or make it take back what it has
// committed.
func FuzzDecodeMessage(f *testing.F) {
	for kind := raft.MsgPreVote; kind <= raft.MsgTimeoutNow; kind++ {
		m := raft.Message{Kind: kind, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
		m.Entries = []raft.Entry{{Index: 2, Term: 2}}
		m.Chunk = &raft.Chunk{Index: 5, Term: 2, Last: true, Data: []byte("state")}
		body, err := m.MarshalMsg(nil)
		require.NoError(f, err)
		f.Add(body, true)
		f.Add(body, false)
	}
	f.Fuzz(func(t *testing.T, body []byte, lead bool) {
		var m raft.Message
		if _, err := m.UnmarshalMsg(body); err != nil {
			return
		}
		n := electedNode(t, lead)
		before := n.Status(0)
		for range 2 {
			n.Step(2*time.Second, m)
			drainReady(n)
			n.Propose([]byte("x"))
			n.Tick(3 * time.Second)
			drainReady(n)
		}
		after := n.Status(0)
		require.GreaterOrEqual(t, after.Commit, before.Commit)
		require.GreaterOrEqual(t, after.Term, before.Term)
	})
}
