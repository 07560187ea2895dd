package raft_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// baseTime is the time at which electedNode returns. At this time every
// election timeout from the node's start has passed.
const baseTime = 2 * time.Second

// kinds returns the kind of each message.
func kinds(msgs []raft.Message) []raft.MessageKind {
	var ks []raft.MessageKind
	for _, m := range msgs {
		ks = append(ks, m.Kind)
	}
	return ks
}

// ack returns a follower's acknowledgement that it holds the leader's log up to
// an index.
func ack(from, term, index uint64, round uint64) raft.Message {
	return raft.Message{
		Kind: raft.MsgAppendResp, From: from, To: 1, Term: term, Index: index,
		SentAt: baseTime, Round: round,
	}
}

// A vote or an acknowledgement is sent only after the save it depends on is
// durable.
func TestVotesAndAcksWaitForDurableSave(t *testing.T) {
	cases := map[raft.MessageKind]raft.Message{
		raft.MsgVoteResp:   {Kind: raft.MsgVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4, Force: true},
		raft.MsgAppendResp: {Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{{Index: 2, Term: 2}}},
	}
	for want, m := range cases {
		n := electedNode(t, false)
		n.Step(baseTime, m)
		rd := n.Ready()
		require.NotNil(t, rd.Save)
		require.Empty(t, rd.Messages)
		if want == raft.MsgVoteResp {
			require.Equal(t, uint64(3), rd.Save.Hard.Vote)
		}
		rd = n.Ready()
		require.Empty(t, rd.Messages, "released before the save is durable")
		n.Advance()
		require.Equal(t, []raft.MessageKind{want}, kinds(n.Ready().Messages))
	}
}

// A vote has to be saved even if the term itself is already saved, and is not
// granted to a second candidate.
func TestOneVotePerTerm(t *testing.T) {
	n := electedNode(t, false)
	n.Step(baseTime, raft.Message{Kind: raft.MsgAppendResp, From: 3, To: 1, Term: 5})
	drainReady(n)
	vote := raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 4, Force: true}
	n.Step(baseTime, vote)
	rd := n.Ready()
	require.NotNil(t, rd.Save, "the vote has to be saved")
	require.Equal(t, uint64(3), rd.Save.Hard.Vote)
	n.Advance()
	require.False(t, n.Ready().Messages[0].Reject)
	vote.From = 2
	n.Step(baseTime, vote)
	require.True(t, n.Ready().Messages[0].Reject)
}

// A replica grants no vote to a candidate whose log is less complete than its
// own.
func TestVoteRejectedForOutdatedLog(t *testing.T) {
	n := electedNode(t, false)
	n.Step(baseTime, raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1,
		Entries: []raft.Entry{{Index: 2, Term: 2}},
	})
	drainReady(n)
	n.Step(baseTime, raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 5, Index: 9, LogTerm: 1, Force: true})
	n.Ready()
	n.Advance()
	msgs := n.Ready().Messages
	require.Equal(t, []raft.MessageKind{raft.MsgVoteResp}, kinds(msgs))
	require.True(t, msgs[0].Reject)
}

// A leader's own copy of an entry counts toward the quorum only once it is
// durable.
func TestLeaderEntryCountsOnceDurable(t *testing.T) {
	n := electedNode(t, true)
	index, term, err := n.Propose([]byte("x"))
	require.NoError(t, err)
	require.NotNil(t, n.Ready().Save)
	n.Step(baseTime, ack(2, term, index, 0))
	require.Less(t, n.Status(baseTime).Commit, index)
	n.Advance()
	require.Equal(t, index, n.Status(baseTime).Commit)
}

// An entry of an earlier term that a quorum holds is committed only together
// with an entry of the leader's own term. Until then another leader may replace
// it.
func TestEarlierTermIsNotCommittedByCounting(t *testing.T) {
	members := []raft.Member{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
	n, err := raft.New(raft.Config{
		ID: 1, Hard: raft.HardState{Term: 3, Commit: 1},
		Snapshot: raft.Snapshot{Index: 1, Term: 1, Members: members},
		Entries:  []raft.Entry{{Index: 2, Term: 2, Kind: raft.EntryCommand}},
	})
	require.NoError(t, err)
	n.Tick(baseTime)
	drainReady(n)
	n.Step(baseTime, raft.Message{Kind: raft.MsgPreVoteResp, From: 2, To: 1, Term: 4})
	drainReady(n)
	n.Step(baseTime, raft.Message{Kind: raft.MsgVoteResp, From: 2, To: 1, Term: 4})
	drainReady(n)
	require.Equal(t, raft.Leader, n.Status(baseTime).Role)
	n.Step(baseTime, ack(2, 4, 2, 0))
	require.Equal(t, uint64(1), n.Status(baseTime).Commit)
	n.Step(baseTime, ack(2, 4, 3, 0))
	require.Equal(t, uint64(3), n.Status(baseTime).Commit)
}

// A read is answered only after a quorum has acknowledged the leader in a round
// that started after the read.
func TestReadWaitsForHeartbeatRound(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	drainReady(n)
	require.NoError(t, n.Read(7))
	require.Empty(t, n.Ready().Reads)
	n.Step(baseTime, ack(3, 2, 2, 0))
	require.Empty(t, n.Ready().Reads, "a response to an earlier round must not count")
	n.Step(baseTime, ack(3, 2, 2, 1))
	require.Equal(t, []raft.ReadState{{ID: 7, Index: 2}}, n.Ready().Reads)
}

// A membership change is rejected while another is not committed, and before
// the leader's first entry is committed.
func TestOneMembershipChangeAtATime(t *testing.T) {
	n := electedNode(t, true)
	add := raft.Change{Kind: raft.AddLearner, ID: 4}
	_, _, err := n.ProposeChange(add)
	require.ErrorIs(t, err, raft.ErrChangePending)
	n.Step(baseTime, ack(2, 2, 2, 0))
	_, _, err = n.ProposeChange(add)
	require.NoError(t, err)
	drainReady(n)
	_, _, err = n.ProposeChange(raft.Change{Kind: raft.AddLearner, ID: 5})
	require.ErrorIs(t, err, raft.ErrChangePending)
	n.Step(baseTime, ack(2, 2, 3, 0))
	_, _, err = n.ProposeChange(raft.Change{Kind: raft.AddLearner, ID: 5})
	require.NoError(t, err)
}

// A replica that has just started or has just received a message from a leader
// ignores a vote request and changes neither term nor vote. It handles a
// request with Force, which a leadership transfer causes.
func TestNoVoteWithinTheLease(t *testing.T) {
	vote := raft.Message{Kind: raft.MsgVote, From: 3, To: 1, Term: 9, Index: 9, LogTerm: 9}
	pre := vote
	pre.Kind = raft.MsgPreVote
	n := electedNode(t, false)
	n.Step(baseTime, vote)
	require.True(t, ptr(n.Ready()).Empty())
	n.Step(baseTime, pre)
	require.True(t, n.Ready().Messages[0].Reject)
	vote.Force = true
	n.Step(baseTime, vote)
	require.NotNil(t, n.Ready().Save)

	fresh, err := raft.New(raft.Config{ID: 1, Hard: raft.HardState{Term: 1}})
	require.NoError(t, err)
	vote.Force = false
	fresh.Step(time.Millisecond, vote)
	require.True(t, ptr(fresh.Ready()).Empty())
	fresh.Step(baseTime, vote)
	require.NotNil(t, fresh.Ready().Save)
}

func ptr(rd raft.Ready) *raft.Ready { return &rd }

// A leader that gets no answers from a quorum steps down, and its lease expires
// before that.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	require.True(t, n.Status(baseTime).Fresh)
	n.Tick(baseTime + raft.DefaultElectionTimeout*95/100)
	s := n.Status(baseTime + raft.DefaultElectionTimeout*95/100)
	require.False(t, s.Fresh)
	require.Equal(t, raft.Leader, s.Role)
	n.Tick(baseTime + raft.DefaultElectionTimeout)
	require.Equal(t, raft.Follower, n.Status(baseTime).Role)
}

// Commands may be far larger than a batch, so that MaxInflight alone let a leader send
// tens of megabytes to a follower that doesn't answer. Acknowledgements free their bytes.
func TestUnacknowledgedMessagesAreBoundedInBytes(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	drainReady(n)
	const size = 900 << 10
	propose := func() (sent int) {
		_, _, err := n.Propose(make([]byte, size))
		require.NoError(t, err)
		for _, m := range n.Ready().Messages {
			if m.To == 2 && len(m.Entries) > 0 {
				sent++
			}
		}
		return sent
	}
	sent := 0
	for range 8 {
		sent += propose()
	}
	require.Equal(t, raft.DefaultMaxInflightBytes/size+1, sent)
}

// MaxInflight bounds the unacknowledged messages to one follower. MaxCommand and
// MaxUncommitted bound the commands that a caller can queue.
func TestFlowControl(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	drainReady(n)
	_, _, err := n.Propose(make([]byte, raft.DefaultMaxCommand+1))
	require.ErrorIs(t, err, raft.ErrTooLarge)
	sent := 0
	for range 200 {
		_, _, err = n.Propose(make([]byte, raft.DefaultMaxBatchBytes))
		if err != nil {
			break
		}
		for _, m := range n.Ready().Messages {
			if m.To == 2 && len(m.Entries) > 0 {
				sent++
			}
		}
	}
	require.ErrorIs(t, err, raft.ErrBusy)
	require.Equal(t, raft.DefaultMaxInflight, sent)
}

// When an entry with a membership is replaced, the previous membership takes
// effect again.
func TestReplacedMembershipIsRolledBack(t *testing.T) {
	n := electedNode(t, false)
	before := n.Members()
	grown := append(append([]raft.Member(nil), before...), raft.Member{ID: 4})
	n.Step(baseTime, raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1,
		Entries: []raft.Entry{{Index: 2, Term: 2, Kind: raft.EntryMembers, Members: grown}},
	})
	require.Len(t, n.Members(), 4)
	n.Step(baseTime, raft.Message{
		Kind: raft.MsgAppend, From: 3, To: 1, Term: 3, Index: 1, LogTerm: 1,
		Entries: []raft.Entry{{Index: 2, Term: 3}},
	})
	require.Equal(t, before, n.Members())
}

// A leader steps down when a leadership transfer times out. The transferee may
// still receive MsgTimeoutNow and start an election that ignores the lease.
func TestTimedOutTransferEndsLeadership(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	require.NoError(t, n.Transfer(2))
	require.False(t, n.Status(baseTime).Fresh)
	_, _, err := n.Propose(nil)
	require.ErrorIs(t, err, raft.ErrNotLeader)
	end := baseTime + raft.DefaultElectionTimeout
	alive := ack(2, 2, 2, 0)
	alive.SentAt = end
	n.Step(end, alive)
	n.Tick(end)
	require.Equal(t, raft.Follower, n.Status(end).Role)
}

// A live learner that lacks a committed entry can't be promoted. Once it holds
// all committed entries, it can.
func TestPromotionNeedsEveryCommittedEntry(t *testing.T) {
	n := electedNode(t, true)
	n.Step(baseTime, ack(2, 2, 2, 0))
	n.Step(baseTime, ack(3, 2, 2, 0))
	_, _, err := n.ProposeChange(raft.Change{Kind: raft.AddLearner, ID: 4})
	require.NoError(t, err)
	drainReady(n)
	n.Step(baseTime, ack(2, 2, 3, 0))
	require.Equal(t, uint64(3), n.Status(baseTime).Commit)
	promote := raft.Change{Kind: raft.Promote, ID: 4}
	n.Step(baseTime, ack(4, 2, 2, 0))
	_, _, err = n.ProposeChange(promote)
	require.ErrorIs(t, err, raft.ErrNotCaughtUp)
	n.Step(baseTime, ack(4, 2, 3, 0))
	_, _, err = n.ProposeChange(promote)
	require.NoError(t, err)
}

// A snapshot from the leader is restored and acknowledged only once it is
// durable.
func TestSnapshotIsDurableBeforeRestore(t *testing.T) {
	n := electedNode(t, false)
	members := append([]raft.Member{{ID: 8}}, n.Members()...)
	n.Step(baseTime, raft.Message{
		Kind: raft.MsgSnapshot, From: 2, To: 1, Term: 2,
		Chunk: &raft.Chunk{Index: 9, Term: 2, Members: members, Data: []byte("state"), Last: true},
	})
	rd := n.Ready()
	require.NotNil(t, rd.Save)
	require.Equal(t, uint64(9), rd.Save.Snapshot.Index)
	require.Nil(t, rd.Restore)
	require.Empty(t, rd.Messages)
	n.Advance()
	rd = n.Ready()
	require.Equal(t, "state", string(rd.Restore.Data))
	require.Equal(t, members, n.Members())
	require.Equal(t, []raft.MessageKind{raft.MsgAppendResp}, kinds(rd.Messages))
}

// Chunks of a snapshot from one leader are not combined with chunks from
// another leader.
func TestSnapshotChunksFromOneLeaderOnly(t *testing.T) {
	n := electedNode(t, false)
	chunk := raft.Chunk{Index: 9, Term: 2, Members: n.Members(), Data: []byte("first half, ")}
	n.Step(baseTime, raft.Message{Kind: raft.MsgSnapshot, From: 2, To: 1, Term: 2, Chunk: &chunk})
	drainReady(n)
	other := chunk
	other.Offset, other.Data, other.Last = uint64(len(chunk.Data)), []byte("other half"), true
	n.Step(baseTime, raft.Message{Kind: raft.MsgSnapshot, From: 3, To: 1, Term: 3, Chunk: &other})
	rd := n.Ready()
	require.Nil(t, rd.Save.Snapshot)
	n.Advance()
	answer := n.Ready().Messages[0]
	require.Equal(t, raft.MsgSnapshotResp, answer.Kind)
	require.Zero(t, answer.Offset)
}

// A follower applies an entry that the leader has committed only once the entry
// is durable on the follower too.
func TestOnlyDurableEntriesAreApplied(t *testing.T) {
	n := electedNode(t, false)
	n.Step(baseTime, raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 2,
		Entries: []raft.Entry{{Index: 2, Term: 2}},
	})
	require.Empty(t, n.Ready().Committed)
	n.Advance()
	require.Len(t, n.Ready().Committed, 1)
}

// Entries that differ from committed ones are ignored, whichever replica sends
// them.
func TestCommittedEntriesAreNotOverwritten(t *testing.T) {
	n := electedNode(t, false)
	m := raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 2,
		Entries: []raft.Entry{{Index: 2, Term: 2, Data: []byte("kept")}},
	}
	n.Step(baseTime, m)
	drainReady(n)
	m.From, m.Term = 3, 3
	m.Entries = []raft.Entry{{Index: 2, Term: 3, Data: []byte("other")}}
	n.Step(baseTime, m)
	require.Equal(t, "kept", string(n.Log()[0].Data))
}

// An entry that replaces one whose save is in progress is saved afterwards.
func TestEntryReplacedDuringSaveIsSavedAgain(t *testing.T) {
	n := electedNode(t, false)
	m := raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1,
		Entries: []raft.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
	}
	n.Step(baseTime, m)
	require.Len(t, n.Ready().Save.Entries, 2)
	m.From, m.Term = 3, 3
	m.Entries = []raft.Entry{{Index: 2, Term: 3}}
	n.Step(baseTime, m)
	n.Advance()
	save := n.Ready().Save
	require.Len(t, save.Entries, 1)
	require.Equal(t, uint64(3), save.Entries[0].Term)
}

// A follower advances its commit index only up to the last entry that the
// leader's message proves to match.
func TestCommitLimitedToMatchedIndex(t *testing.T) {
	n := electedNode(t, false)
	m := raft.Message{
		Kind: raft.MsgAppend, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1,
		Entries: []raft.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}},
	}
	n.Step(baseTime, m)
	drainReady(n)
	m.From, m.Term, m.Entries, m.Commit = 3, 3, nil, 3
	n.Step(baseTime, m)
	require.Equal(t, uint64(1), n.Status(baseTime).Commit)
}
