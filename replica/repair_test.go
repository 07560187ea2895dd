package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
	"github.com/fireflytray/fireflytray/wal/waltest"
)

// proposeMany proposes n commands and returns them.
func proposeMany(t *testing.T, h *host, prefix string, n int) []string {
	var items []string
	for i := range n {
		item := fmt.Sprintf("%s%d", prefix, i)
		_, _, err := h.replica.Propose(callContext(t), []byte(item))
		require.NoError(t, err)
		items = append(items, item)
	}
	return items
}

// crash stops a host's replica without a transfer of leadership and discards
// unsynced writes.
func (h *host) crash(t *testing.T) {
	h.net.setIsolated(h.addr, true)
	h.fs.Crash()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.replica.Stop(ctx)
	h.net.setIsolated(h.addr, false)
}

// wipe replaces the host's disk by an empty one.
func (h *host) wipe(seed uint64) { h.fs = waltest.New(seed) }

// eventually polls ok for up to 20 s of virtual time.
func eventually(t *testing.T, what string, ok func() bool) {
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "condition not met within 20 s of virtual time: "+what)
}

func without(hosts []*host, excluded ...*host) []*host {
	var rest []*host
	for _, h := range hosts {
		keep := true
		for _, g := range excluded {
			keep = keep && h != g
		}
		if keep {
			rest = append(rest, h)
		}
	}
	return rest
}

// changeMembership retries a membership change at the current leader until it
// succeeds.
func changeMembership(t *testing.T, hosts []*host, change func(*Replica) error) {
	var err error
	eventually(t, "membership change", func() bool {
		err = change(waitForLeader(t, hosts...).replica)
		if err != nil {
			t.Log(err)
		}
		return err == nil
	})
}

// replaceMember follows the operators' procedure: it removes the lost replica,
// adds the new one as a learner and promotes it.
func replaceMember(t *testing.T, live []*host, lost uint64, replacement *host) {
	id := replacement.replica.Status().ID
	changeMembership(t, live, func(r *Replica) error { return r.Remove(callContext(t), lost) })
	changeMembership(t, live, func(r *Replica) error { return r.AddLearner(callContext(t), id, replacement.addr) })
	changeMembership(t, live, func(r *Replica) error { return r.Promote(callContext(t), id) })
}

// A host that has lost its disk returns with its old address and settings as a
// new replica: it forms no cluster and doesn't vote under its old id. A second
// host is lost immediately after the repair, and no accepted command is missing.
func TestLostDiskThenSecondHostLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		items := proposeMany(t, l, "a", 10)
		lost := without(hosts, l)[0]
		old := lost.replica.Status().ID
		lost.crash(t)
		items = append(items, proposeMany(t, waitForLeader(t, without(hosts, lost)...), "b", 10)...)

		lost.wipe(9)
		lost.open(t, withBootstrap(1, 2, 3))
		eventually(t, "the new replica waits to be added", func() bool { return lost.replica.Status().Phase == wal.PhaseWaiting })
		require.NotEqual(t, old, lost.replica.Status().ID)
		_, _, err := lost.replica.Propose(callContext(t), nil)
		require.ErrorIs(t, err, ErrNotMember)

		replaceMember(t, without(hosts, lost), old, lost)
		second := waitForLeader(t, hosts...)
		second.crash(t)
		l = waitForLeader(t, without(hosts, second)...)
		items = append(items, proposeMany(t, l, "c", 5)...)
		for _, h := range without(hosts, second) {
			_, err := h.replica.Barrier(callContext(t))
			require.NoError(t, err)
			require.Equal(t, items, h.state.commands())
		}
	})
}

// An unreachable learner is never promoted, because it has not caught up.
func TestPromotionNeedsCaughtUpLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		proposeMany(t, l, "a", 3)
		learner := n.start(t, 4, withJoin)
		id := learner.replica.Status().ID
		require.ErrorIs(t, l.replica.Promote(callContext(t), id), raft.ErrUnknownMember)
		n.setIsolated(learner.addr, true)
		require.NoError(t, l.replica.AddLearner(callContext(t), id, learner.addr))
		for range 20 {
			require.ErrorIs(t, l.replica.Promote(callContext(t), id), raft.ErrNotCaughtUp)
			time.Sleep(100 * time.Millisecond)
		}
		n.setIsolated(learner.addr, false)
		changeMembership(t, hosts, func(r *Replica) error { return r.Promote(callContext(t), id) })
		eventually(t, "the voter catches up", func() bool { return len(learner.state.commands()) == 3 })
	})
}

// A promotion is rejected while a voter is down, and so is a removal that would
// leave no live quorum.
func TestPromotionIsRejectedWhileVoterIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		learner := n.start(t, 4, withJoin)
		id := learner.replica.Status().ID
		require.NoError(t, l.replica.AddLearner(callContext(t), id, learner.addr))
		eventually(t, "the learner joins", func() bool { return learner.replica.Status().Phase == wal.PhaseMember })
		dead := without(hosts, l)[0]
		dead.crash(t)
		time.Sleep(time.Second)
		require.ErrorIs(t, l.replica.Promote(callContext(t), id), raft.ErrVoterDown)
		survivor := without(hosts, l, dead)[0]
		require.ErrorIs(t, l.replica.Remove(callContext(t), survivor.replica.Status().ID), raft.ErrQuorumLost)
	})
}

// After the loss of a leader, commands are accepted again within the target
// time.
func TestLeaderLost(t *testing.T) {
	const target = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		items := proposeMany(t, l, "a", 5)
		l.crash(t)
		lost := time.Now()
		var newLeader *host
		eventually(t, "a command is accepted", func() bool {
			for _, h := range without(hosts, l) {
				if _, _, err := h.replica.Propose(callContext(t), []byte("b")); err == nil {
					newLeader = h
					return true
				}
			}
			return false
		})
		elapsed := time.Since(lost)
		t.Logf("accepted again after %v of virtual time", elapsed)
		require.Less(t, elapsed, target)
		require.Equal(t, append(items, "b"), newLeader.state.commands())
		l.open(t, withBootstrap(1, 2, 3))
		eventually(t, "the old leader catches up", func() bool { return len(l.state.commands()) == 6 })
	})
}

// An isolated leader steps down, reports that it is not fresh and accepts no
// commands. Its return doesn't force an election.
func TestIsolatedHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		n.setIsolated(l.addr, true)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, _, err := l.replica.Propose(ctx, []byte("cut off"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		time.Sleep(time.Minute)
		require.False(t, l.replica.Status().Fresh)
		require.NotEqual(t, raft.Leader, l.replica.Status().Role)
		shortCtx, cancel2 := context.WithTimeout(context.Background(), time.Second)
		defer cancel2()
		_, err = l.replica.Barrier(shortCtx)
		require.Error(t, err)
		_, _, err = l.replica.Propose(callContext(t), nil)
		require.ErrorAs(t, err, new(NotLeaderError))

		newLeader := waitForLeader(t, without(hosts, l)...)
		items := proposeMany(t, newLeader, "b", 3)
		term := newLeader.replica.Status().Term
		n.setIsolated(l.addr, false)
		eventually(t, "the host is fresh again", func() bool { return l.replica.Status().Fresh })
		time.Sleep(10 * time.Second)
		require.Equal(t, term, newLeader.replica.Status().Term, "the returning host forced an election")
		require.Equal(t, items, l.state.commands())
	})
}

// A leader that is asked to remove itself transfers leadership first.
func TestRemoveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		id := l.replica.Status().ID
		var notLeader NotLeaderError
		require.ErrorAs(t, l.replica.Remove(callContext(t), id), &notLeader)
		require.NotEqual(t, id, notLeader.LeaderID)
		changeMembership(t, hosts, func(r *Replica) error { return r.Remove(callContext(t), id) })
		require.Len(t, waitForLeader(t, without(hosts, l)...).replica.Status().Members, 2)
	})
}

// A graceful stop transfers leadership, so that a new leader is ready before an
// election timeout has passed.
func TestStopTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := startThree(t, n)
		l := waitForLeader(t, hosts...)
		require.NoError(t, l.replica.Stop(callContext(t)))
		stopped := time.Now()
		waitForLeader(t, without(hosts, l)...)
		require.Less(t, time.Since(stopped), raft.DefaultElectionTimeout)
	})
}

// A replica that lags behind the compacted log receives the snapshot.
func TestLaggingReplicaRestoresSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		withSmallSnapshots := func(o *Options) {
			withBootstrap(1, 2, 3)(o)
			o.SnapshotEntries = 500
		}
		var hosts []*host
		for i := 1; i <= 3; i++ {
			hosts = append(hosts, n.start(t, i, withSmallSnapshots))
		}
		l := waitForLeader(t, hosts...)
		lagging := without(hosts, l)[0]
		lagging.crash(t)
		items := proposeMany(t, waitForLeader(t, without(hosts, lagging)...), "a", 3000)
		lagging.open(t, withSmallSnapshots)
		eventually(t, "the lagging replica has applied all commands", func() bool { return len(lagging.state.commands()) == len(items) })
		require.Equal(t, items, lagging.state.commands())
		require.Less(t, lagging.state.applyCount(), len(items), "the snapshot should replace individual commands")
	})
}

// A full disk stops the replica with wal.ErrDiskFull. After a restart with free
// space, every accepted command is present.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		h := n.start(t, 1, withBootstrap(1))
		waitForLeader(t, h)
		h.fs.SetFreeSpace(2000)
		var items []string
		var err error
		for i := 0; err == nil; i++ {
			item := fmt.Sprint(i)
			if _, _, err = h.replica.Propose(callContext(t), []byte(item)); err == nil {
				items = append(items, item)
			}
		}
		require.NotEmpty(t, items)
		require.ErrorIs(t, err, ErrUnknownOutcome)
		<-h.replica.Done()
		require.ErrorIs(t, h.replica.Err(), wal.ErrDiskFull)
		h.fs.SetFreeSpace(-1)
		h.fs.Crash()
		h.open(t, withBootstrap(1))
		waitForLeader(t, h)
		_, err = h.replica.Barrier(callContext(t))
		require.NoError(t, err)
		require.Equal(t, items, h.state.commands()[:len(items)])
	})
}
