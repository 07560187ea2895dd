package replica

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
)

// After a loss of all power the old leader leads again before the voters' wait for
// an earlier leader's lease is over, also right after it has taken a snapshot, and
// all accepted commands are there. Without it the others wait.
func TestAllReplicasLosePower(t *testing.T) {
	for _, leaderReturns := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader returns=%v", leaderReturns), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const snapshotEntries = 5
				configure := func(o *Options) {
					withBootstrap(1, 2, 3)(o)
					o.SnapshotEntries = snapshotEntries
				}
				n := newNetwork(t)
				var hosts []*host
				for i := 1; i <= 3; i++ {
					hosts = append(hosts, n.start(t, i, configure))
				}
				old := waitForLeader(t, hosts...)
				for i := range 4 * snapshotEntries {
					_, _, err := old.replica.Propose(callContext(t), fmt.Appendf(nil, "%d", i))
					require.NoError(t, err)
				}
				time.Sleep(raft.DefaultElectionTimeout)
				for _, h := range hosts {
					h.crash(t)
				}
				for _, h := range hosts {
					if h != old || leaderReturns {
						h.open(t, configure)
					}
				}
				time.Sleep(raft.DefaultElectionTimeout / 2)
				for _, h := range hosts {
					leads := h.replica.Status().Role == raft.Leader
					require.Equal(t, leaderReturns && h == old, leads, h.addr)
				}
				l := waitForLeader(t, hosts...)
				_, err := l.replica.Barrier(callContext(t))
				require.NoError(t, err)
				require.Len(t, l.state.commands(), 4*snapshotEntries)
			})
		})
	}
}

// BenchmarkPowerReturn measures the time from the start of three replicas that have
// all lost power to the next accepted command, with the time-out of deploy/control.ini.
func BenchmarkPowerReturn(b *testing.B) {
	dirs := []string{b.TempDir(), b.TempDir(), b.TempDir()}
	open := func() (*network, []*Replica) {
		next := 0
		return benchHosts(b, len(dirs), func(o *Options) {
			o.Dir, o.ElectionTimeout = dirs[next], 200*time.Millisecond
			next++
		})
	}
	n, rs := open()
	l := waitLeader(b, rs)
	for b.Loop() {
		b.StopTimer()
		_, _, err := l.Propose(context.Background(), []byte("before"))
		require.NoError(b, err)
		for i := range rs {
			n.setIsolated(addr(i+1), true)
		}
		stopAll(rs)
		b.StartTimer()
		n, rs = open()
		proposeToAny(b, rs, nil)
		b.StopTimer()
		l = waitLeader(b, rs)
		b.StartTimer()
	}
	stopAll(rs)
}
