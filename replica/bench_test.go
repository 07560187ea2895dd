package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/raft"
	"github.com/fireflytray/fireflytray/wal"
)

// benchHosts opens replicas on real folders that talk in memory.
func benchHosts(b *testing.B, count int, change func(*Options)) (*network, []*Replica) {
	n := newNetworkWithoutCleanup()
	var hosts []int
	for i := 1; i <= count; i++ {
		hosts = append(hosts, i)
	}
	var replicas []*Replica
	for _, i := range hosts {
		h := &host{net: n, addr: addr(i), state: &listMachine{}}
		opt := Options{Dir: b.TempDir(), Addr: h.addr, Transport: h, StateMachine: h.state, FS: wal.OS{}}
		withBootstrap(hosts...)(&opt)
		if change != nil {
			change(&opt)
		}
		r, err := Open(opt)
		require.NoError(b, err)
		n.mu.Lock()
		h.replica = r
		n.hosts[h.addr] = h
		n.mu.Unlock()
		replicas = append(replicas, r)
	}
	return n, replicas
}

// waitLeader returns the replica that leads.
func waitLeader(b *testing.B, replicas []*Replica) *Replica {
	for range 1000 {
		for _, r := range replicas {
			if s := r.Status(); s.Role == raft.Leader && s.Fresh {
				return r
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(b, "no leader")
	return nil
}

// BenchmarkPropose measures durable changes with many proposers, which share
// syncs. The changes are of 200 bytes.
func BenchmarkPropose(b *testing.B) {
	const changeBytes = 200
	for _, replicas := range []int{1, 3} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", replicas, proposers), func(b *testing.B) {
				_, rs := benchHosts(b, replicas, nil)
				l := waitLeader(b, rs)
				propose(b, l, proposers, make([]byte, changeBytes))
				b.StopTimer()
				stopAll(rs)
			})
		}
	}
}

// propose hands in b.N changes from a number of goroutines.
func propose(b *testing.B, r *Replica, proposers int, command []byte) {
	left := make(chan struct{}, b.N)
	for range b.N {
		left <- struct{}{}
	}
	close(left)
	b.ResetTimer()
	done := make(chan error, proposers)
	for range proposers {
		go func() {
			for range left {
				if _, _, err := r.Propose(context.Background(), command); err != nil {
					done <- err
					return
				}
			}
			done <- nil
		}()
	}
	for range proposers {
		require.NoError(b, <-done)
	}
}

func stopAll(rs []*Replica) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, r := range rs {
		r.Stop(ctx)
	}
}

// BenchmarkRestart measures from Open to the first read point after 10,000
// changes, without a snapshot and with the default ones.
func BenchmarkRestart(b *testing.B) {
	const changes = 10_000
	for _, every := range []uint64{2 * changes, DefaultSnapshotEntries} {
		b.Run(fmt.Sprintf("snapshot=%d", every), func(b *testing.B) {
			dir := b.TempDir()
			same := func(o *Options) { o.Dir, o.SnapshotEntries = dir, every }
			_, rs := benchHosts(b, 1, same)
			proposeDistinct(b, waitLeader(b, rs), changes)
			stopAll(rs)
			for b.Loop() {
				_, rs := benchHosts(b, 1, same)
				index, err := rs[0].Barrier(context.Background())
				require.NoError(b, err)
				require.GreaterOrEqual(b, index, uint64(changes))
				b.StopTimer()
				stopAll(rs)
				b.StartTimer()
			}
		})
	}
}

func proposeDistinct(b *testing.B, r *Replica, changes int) {
	const proposers = 256
	done := make(chan error, proposers)
	for p := range proposers {
		go func() {
			var err error
			for i := p; i < changes && err == nil; i += proposers {
				_, _, err = r.Propose(context.Background(), fmt.Appendf(nil, "change %d", i))
			}
			done <- err
		}()
	}
	for range proposers {
		require.NoError(b, <-done)
	}
}

// BenchmarkLeaderLost measures from the moment at which the leader is cut off
// to the next accepted change.
func BenchmarkLeaderLost(b *testing.B) {
	n, rs := benchHosts(b, 3, nil)
	for b.Loop() {
		b.StopTimer()
		l := waitLeader(b, rs)
		waitFresh(b, rs)
		addr := l.Status().LeaderAddr
		b.StartTimer()
		n.setIsolated(addr, true)
		proposeToAny(b, rs, l)
		b.StopTimer()
		n.setIsolated(addr, false)
		b.StartTimer()
	}
	stopAll(rs)
}

func waitFresh(b *testing.B, rs []*Replica) {
	for _, r := range rs {
		for !r.Status().Fresh {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// proposeToAny tries every replica but one until a change is accepted.
func proposeToAny(b *testing.B, rs []*Replica, lost *Replica) {
	for {
		for _, r := range rs {
			if r == lost {
				continue
			}
			if _, _, err := r.Propose(context.Background(), []byte("next")); err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
