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

// benchHosts opens replicas with real data folders that communicate in memory.
func benchHosts(b *testing.B, count int, configure func(*Options)) (*network, []*Replica) {
	n := newNetworkWithoutCleanup()
	var indexes []int
	for i := 1; i <= count; i++ {
		indexes = append(indexes, i)
	}
	var replicas []*Replica
	for _, i := range indexes {
		h := &host{net: n, addr: addr(i), state: &listMachine{}}
		opt := Options{Dir: b.TempDir(), Addr: h.addr, Transport: h, StateMachine: h.state, FS: wal.OS{}}
		withBootstrap(indexes...)(&opt)
		if configure != nil {
			configure(&opt)
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

// waitLeader waits for a leader and returns it.
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

// BenchmarkPropose measures durable proposals of 200 bytes each. Concurrent
// proposers share syncs.
func BenchmarkPropose(b *testing.B) {
	const commandBytes = 200
	for _, replicas := range []int{1, 3} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", replicas, proposers), func(b *testing.B) {
				_, rs := benchHosts(b, replicas, nil)
				l := waitLeader(b, rs)
				propose(b, l, proposers, make([]byte, commandBytes))
				b.StopTimer()
				stopAll(rs)
			})
		}
	}
}

// propose submits b.N commands from a number of concurrent goroutines.
func propose(b *testing.B, r *Replica, proposers int, command []byte) {
	tokens := make(chan struct{}, b.N)
	for range b.N {
		tokens <- struct{}{}
	}
	close(tokens)
	b.ResetTimer()
	done := make(chan error, proposers)
	for range proposers {
		go func() {
			for range tokens {
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

// BenchmarkRestart measures the time from Open to the first read index after
// 10,000 commands, without a snapshot and with the default snapshot interval.
func BenchmarkRestart(b *testing.B) {
	const commands = 10_000
	for _, snapshotEntries := range []uint64{2 * commands, DefaultSnapshotEntries} {
		b.Run(fmt.Sprintf("snapshot=%d", snapshotEntries), func(b *testing.B) {
			dir := b.TempDir()
			withDir := func(o *Options) { o.Dir, o.SnapshotEntries = dir, snapshotEntries }
			_, rs := benchHosts(b, 1, withDir)
			proposeDistinct(b, waitLeader(b, rs), commands)
			stopAll(rs)
			for b.Loop() {
				_, rs := benchHosts(b, 1, withDir)
				index, err := rs[0].Barrier(context.Background())
				require.NoError(b, err)
				require.GreaterOrEqual(b, index, uint64(commands))
				b.StopTimer()
				stopAll(rs)
				b.StartTimer()
			}
		})
	}
}

func proposeDistinct(b *testing.B, r *Replica, commands int) {
	const proposers = 256
	done := make(chan error, proposers)
	for p := range proposers {
		go func() {
			var err error
			for i := p; i < commands && err == nil; i += proposers {
				_, _, err = r.Propose(context.Background(), fmt.Appendf(nil, "change %d", i))
			}
			done <- err
		}()
	}
	for range proposers {
		require.NoError(b, <-done)
	}
}

// BenchmarkLeaderLost measures the time from the isolation of the leader to the
// next accepted command.
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

// proposeToAny tries all replicas except the excluded one until a command is
// accepted.
func proposeToAny(b *testing.B, rs []*Replica, excluded *Replica) {
	for {
		for _, r := range rs {
			if r == excluded {
				continue
			}
			if _, _, err := r.Propose(context.Background(), []byte("next")); err == nil {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
}
