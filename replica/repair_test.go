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

// write proposes n changes and returns them.
func write(t *testing.T, h *host, prefix string, n int) []string {
	var items []string
	for i := range n {
		item := fmt.Sprintf("%s%d", prefix, i)
		_, _, err := h.replica.Propose(timeout(t), []byte(item))
		require.NoError(t, err)
		items = append(items, item)
	}
	return items
}

// crash ends a host's process without a farewell and loses unsynced writes.
func (h *host) crash(t *testing.T) {
	h.net.setCut(h.addr, true)
	h.fs.Crash()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.replica.Stop(ctx)
	h.net.setCut(h.addr, false)
}

// wipe replaces the host's disk by an empty one.
func (h *host) wipe(seed uint64) { h.fs = waltest.New(seed) }

// eventually waits by the virtual clock.
func eventually(t *testing.T, what string, ok func() bool) {
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(t, "not within 20 s of virtual time: "+what)
}

func others(hosts []*host, gone ...*host) []*host {
	var rest []*host
	for _, h := range hosts {
		keep := true
		for _, g := range gone {
			keep = keep && h != g
		}
		if keep {
			rest = append(rest, h)
		}
	}
	return rest
}

// admin repeats a membership change at whoever leads until it is done.
func admin(t *testing.T, hosts []*host, change func(*Replica) error) {
	var err error
	eventually(t, "membership change", func() bool {
		err = change(leader(t, hosts...).replica)
		if err != nil {
			t.Log(err)
		}
		return err == nil
	})
}

// replace follows the operators' way: remove the lost replica, add the new one
// as a learner, promote it.
func replace(t *testing.T, live []*host, lost uint64, fresh *host) {
	id := fresh.replica.Status().ID
	admin(t, live, func(r *Replica) error { return r.Remove(timeout(t), lost) })
	admin(t, live, func(r *Replica) error { return r.AddLearner(timeout(t), id, fresh.addr) })
	admin(t, live, func(r *Replica) error { return r.Promote(timeout(t), id) })
}

// A host whose disk is lost comes back under its old address and settings as
// a new replica: it forms no cluster and votes under no old id. After the
// repair a second host is lost at once, and nothing accepted is missing.
func TestLostDiskThenSecondHostLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		items := write(t, l, "a", 10)
		lost := others(hosts, l)[0]
		old := lost.replica.Status().ID
		lost.crash(t)
		items = append(items, write(t, leader(t, others(hosts, lost)...), "b", 10)...)

		lost.wipe(9)
		lost.open(t, first(1, 2, 3))
		eventually(t, "the new replica waits", func() bool { return lost.replica.Status().Phase == wal.PhaseWaiting })
		require.NotEqual(t, old, lost.replica.Status().ID)
		_, _, err := lost.replica.Propose(timeout(t), nil)
		require.ErrorIs(t, err, ErrNotMember)

		replace(t, others(hosts, lost), old, lost)
		second := leader(t, hosts...)
		second.crash(t)
		l = leader(t, others(hosts, second)...)
		items = append(items, write(t, l, "c", 5)...)
		for _, h := range others(hosts, second) {
			_, err := h.replica.Barrier(timeout(t))
			require.NoError(t, err)
			require.Equal(t, items, h.state.list())
		}
	})
}

// A learner that can't be reached is never promoted, and a change that costs
// the quorum is refused.
func TestPromotionNeedsCaughtUpLearner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		write(t, l, "a", 3)
		d := n.start(t, 4, join)
		id := d.replica.Status().ID
		require.ErrorIs(t, l.replica.Promote(timeout(t), id), raft.ErrUnknownMember)
		n.setCut(d.addr, true)
		require.NoError(t, l.replica.AddLearner(timeout(t), id, d.addr))
		for range 20 {
			require.ErrorIs(t, l.replica.Promote(timeout(t), id), raft.ErrNotCaughtUp)
			time.Sleep(100 * time.Millisecond)
		}
		n.setCut(d.addr, false)
		admin(t, hosts, func(r *Replica) error { return r.Promote(timeout(t), id) })
		eventually(t, "the voter catches up", func() bool { return len(d.state.list()) == 3 })
	})
}

func TestPromotionWaitsForDeadVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		d := n.start(t, 4, join)
		id := d.replica.Status().ID
		require.NoError(t, l.replica.AddLearner(timeout(t), id, d.addr))
		eventually(t, "the learner joins", func() bool { return d.replica.Status().Phase == wal.PhaseMember })
		dead := others(hosts, l)[0]
		dead.crash(t)
		time.Sleep(time.Second)
		require.ErrorIs(t, l.replica.Promote(timeout(t), id), raft.ErrVoterDown)
		left := others(hosts, l, dead)[0]
		require.ErrorIs(t, l.replica.Remove(timeout(t), left.replica.Status().ID), raft.ErrQuorumLost)
	})
}

// A leader that is lost is replaced and changes are accepted again in time.
func TestLeaderLost(t *testing.T) {
	const target = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		items := write(t, l, "a", 5)
		l.crash(t)
		lost := time.Now()
		var next *host
		eventually(t, "a change is accepted", func() bool {
			for _, h := range others(hosts, l) {
				if _, _, err := h.replica.Propose(timeout(t), []byte("b")); err == nil {
					next = h
					return true
				}
			}
			return false
		})
		took := time.Since(lost)
		t.Logf("accepted again after %v of virtual time", took)
		require.Less(t, took, target)
		require.Equal(t, append(items, "b"), next.state.list())
		l.open(t, first(1, 2, 3))
		eventually(t, "the old leader follows", func() bool { return len(l.state.list()) == 6 })
	})
}

// A host that is cut off knows that it is not fresh and accepts nothing; when
// it comes back it disturbs no leader.
func TestCutOffHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		n.setCut(l.addr, true)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, _, err := l.replica.Propose(ctx, []byte("cut off"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		time.Sleep(time.Minute)
		require.False(t, l.replica.Status().Fresh)
		require.NotEqual(t, raft.Leader, l.replica.Status().Role)
		short, cancel2 := context.WithTimeout(context.Background(), time.Second)
		defer cancel2()
		_, err = l.replica.Barrier(short)
		require.Error(t, err)
		_, _, err = l.replica.Propose(timeout(t), nil)
		require.ErrorAs(t, err, new(ErrNotLeader))

		next := leader(t, others(hosts, l)...)
		items := write(t, next, "b", 3)
		term := next.replica.Status().Term
		n.setCut(l.addr, false)
		eventually(t, "the host is fresh again", func() bool { return l.replica.Status().Fresh })
		time.Sleep(10 * time.Second)
		require.Equal(t, term, next.replica.Status().Term, "the returning host forced an election")
		require.Equal(t, items, l.state.list())
	})
}

// A leader that is asked to remove itself hands over first.
func TestRemoveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		id := l.replica.Status().ID
		var moved ErrNotLeader
		require.ErrorAs(t, l.replica.Remove(timeout(t), id), &moved)
		require.NotEqual(t, id, moved.LeaderID)
		admin(t, hosts, func(r *Replica) error { return r.Remove(timeout(t), id) })
		require.Len(t, leader(t, others(hosts, l)...).replica.Status().Members, 2)
	})
}

// A graceful stop hands leadership over, so that the next leader takes changes
// well before an election timeout has passed.
func TestStopHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		hosts := three(t, n)
		l := leader(t, hosts...)
		require.NoError(t, l.replica.Stop(timeout(t)))
		stopped := time.Now()
		leader(t, others(hosts, l)...)
		require.Less(t, time.Since(stopped), raft.DefaultElectionTimeout)
	})
}

// A replica that lags behind the compacted log gets the snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		small := func(o *Options) {
			first(1, 2, 3)(o)
			o.SnapshotEntries = 500
		}
		var hosts []*host
		for i := 1; i <= 3; i++ {
			hosts = append(hosts, n.start(t, i, small))
		}
		l := leader(t, hosts...)
		late := others(hosts, l)[0]
		late.crash(t)
		items := write(t, leader(t, others(hosts, late)...), "a", 3000)
		late.open(t, small)
		eventually(t, "the late replica has all", func() bool { return len(late.state.list()) == len(items) })
		require.Equal(t, items, late.state.list())
		require.Less(t, late.state.applies(), len(items), "the snapshot stands for most changes")
	})
}

// A full disk stops the replica with a clear error; after a restart with room
// all that was accepted is there.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		h := n.start(t, 1, first(1))
		leader(t, h)
		h.fs.SetFreeSpace(2000)
		var items []string
		var err error
		for i := 0; err == nil; i++ {
			item := fmt.Sprint(i)
			if _, _, err = h.replica.Propose(timeout(t), []byte(item)); err == nil {
				items = append(items, item)
			}
		}
		require.NotEmpty(t, items)
		require.ErrorIs(t, err, ErrUnknownOutcome)
		<-h.replica.Done()
		require.ErrorIs(t, h.replica.Err(), wal.ErrDiskFull)
		h.fs.SetFreeSpace(-1)
		h.fs.Crash()
		h.open(t, first(1))
		leader(t, h)
		_, err = h.replica.Barrier(timeout(t))
		require.NoError(t, err)
		require.Equal(t, items, h.state.list()[:len(items)])
	})
}
