package transport

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// benchUpdate returns an update with the given number of tasks of 64 bytes.
func benchUpdate(tasks int) *wire.Update {
	u := &wire.Update{Seq: 1}
	for n := range tasks {
		id := task.ID{Submission: task.NewSubmissionID(1, 2), Index: uint32(n)}
		u.Tasks = append(u.Tasks, wire.Assignment{ID: id, Team: "team", Spec: task.Spec{Payload: make([]byte, 64)}})
	}
	return u
}

// BenchmarkOneWay sends without waiting for answers; an operation is one
// message.
func BenchmarkOneWay(b *testing.B) {
	for _, tasks := range []int{1, 16} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			p := newPair(b, Options{})
			entry, agent := p.connect(b, Options{})
			m := benchUpdate(tasks)
			b.ReportAllocs()
			b.ResetTimer()
			var group errgroup.Group
			group.Go(func() error {
				for range b.N {
					for entry.Send(m) != nil {
						time.Sleep(time.Millisecond)
					}
				}
				return nil
			})
			for range b.N {
				if _, _, err := agent.Recv(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			require.NoError(b, group.Wait())
		})
	}
}

// BenchmarkRoundTrip waits for each answer before the next message.
func BenchmarkRoundTrip(b *testing.B) {
	p := newPair(b, Options{})
	entry, agent := p.connect(b, Options{})
	go func() {
		for {
			if _, _, err := agent.Recv(context.Background()); err != nil {
				return
			}
			agent.Send(&wire.Report{Seq: 1})
		}
	}()
	m := benchUpdate(1)
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, entry.Send(m))
		if _, _, err := entry.Recv(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHandshake opens and closes connections one after the other, with both ends
// in this process, and reports the processor time of both ends together.
func BenchmarkHandshake(b *testing.B) {
	p := newPair(b, Options{})
	b.ReportAllocs()
	start := processorTime(b)
	for b.Loop() {
		entry, agent := p.connect(b, Options{})
		entry.Close("measured")
		agent.Close("measured")
	}
	b.ReportMetric((processorTime(b)-start).Seconds()*1e6/float64(b.N), "cpu-µs/op")
}

// idleBenchPeriods is the duration of a BenchmarkIdle iteration, in keepalive
// periods.
const idleBenchPeriods = 3

// BenchmarkIdle keeps idle connections open, with both ends in this process, and
// reports the processor time and memory per connection, for both ends together.
// Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, keepAlive := range []time.Duration{5 * time.Second, 15 * time.Second} {
		for _, count := range []int{100, 400, 1500} {
			b.Run(fmt.Sprintf("keepalive=%v/conns=%d", keepAlive, count), func(b *testing.B) {
				benchIdle(b, count, Options{KeepAlive: keepAlive})
			})
		}
	}
}

func benchIdle(b *testing.B, count int, o Options) {
	p := newPair(b, o)
	before := memoryInUse()
	conns := make([]*Conn, 0, 2*count)
	for range count {
		entry, agent := p.connect(b, o)
		conns = append(conns, entry, agent)
	}
	memory := memoryInUse() - before
	for b.Loop() {
		start, begin := processorTime(b), time.Now()
		time.Sleep(idleBenchPeriods * o.KeepAlive)
		used, elapsed := processorTime(b)-start, time.Since(begin)
		b.ReportMetric(used.Seconds()/elapsed.Seconds()/float64(count)*1e6, "cpu-µs/s/conn")
	}
	b.ReportMetric(float64(memory)/float64(count)/1000, "kB/conn")
	for _, c := range conns {
		require.NoError(b, c.Err())
	}
	for _, c := range conns {
		c.Close("measured")
	}
}

// memoryInUse returns the bytes in use by heap and stacks.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
