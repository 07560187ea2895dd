package replica

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// A read is answered once its index is applied here.
func TestReadWaitsForItsIndex(t *testing.T) {
	q := &request{kind: reqRead, ctx: context.Background(), reply: make(chan result, 1)}
	l := &loop{applied: 5, pendingReads: map[uint64]*request{1: q}}
	l.handleReadStates([]raft.ReadState{{ID: 1, Index: 7}})
	require.Empty(t, q.reply)
	l.applied = 7
	l.handleReadStates(nil)
	require.Equal(t, uint64(7), (<-q.reply).index)
}

// A change that waits when leadership is lost ends then, not at its caller's
// deadline.
func TestLeadershipLossFailsPendingProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		l := waitForLeader(t, startThree(t, n)...)
		n.setIsolated(l.addr, true)
		_, _, err := l.replica.Propose(callContext(t), nil)
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.NotErrorIs(t, err, context.DeadlineExceeded)
	})
}

// A message of another cluster changes nothing, not even the term.
func TestMessagesOfOtherClustersAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		h := n.start(t, 1, withBootstrap(1))
		waitForLeader(t, h)
		s := h.replica.Status()
		stray := raft.Message{Kind: raft.MsgAppend, From: 9, To: s.ID, Term: s.Term + 5}
		for _, cluster := range []uint64{s.Cluster + 1, 0} {
			e := envelope{Cluster: cluster, From: 9, FromAddr: addr(9), Raft: &stray}
			body, err := e.encode()
			require.NoError(t, err)
			h.replica.Receive(body)
		}
		synctest.Wait()
		require.Equal(t, s.Term, h.replica.Status().Term)
		require.Equal(t, raft.Leader, h.replica.Status().Role)
	})
}

// A change whose place in the log another leader's entry has taken is not
// reported as accepted.
func TestOverwrittenEntryHasUnknownOutcome(t *testing.T) {
	w := waiter{term: 2}
	require.ErrorIs(t, proposalResult(w, raft.Entry{Index: 5, Term: 3}, nil).err, ErrUnknownOutcome)
	require.NoError(t, proposalResult(w, raft.Entry{Index: 5, Term: 2}, nil).err)
}
