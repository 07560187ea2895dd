package agentd

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Calls never wait for each other, however many are in progress, and at most
// maxIdleCallers goroutines stay. None does after close, which later calls survive.
func TestCallersNeverWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCallers()
		for range 3 {
			var finished sync.WaitGroup
			release := make(chan struct{})
			for range 4 * maxIdleCallers {
				finished.Add(1)
				c.run(func() { <-release; finished.Done() })
			}
			synctest.Wait()
			require.Equal(t, 4*maxIdleCallers, workers())
			close(release)
			finished.Wait()
			synctest.Wait()
			require.Equal(t, maxIdleCallers, workers())
		}
		c.close()
		synctest.Wait()
		require.Zero(t, workers())
		late := make(chan struct{})
		c.run(func() { close(late) })
		<-late
		synctest.Wait()
		require.Zero(t, workers())
	})
}

// workers returns the number of goroutines of callers in the test's bubble. Goroutines
// of earlier tests end at any time, so that those of the process can't be counted.
func workers() int {
	buf := make([]byte, 1<<20)
	n := 0
	for _, stack := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(stack, "synctest bubble") && strings.Contains(stack, "(*callers).work(") {
			n++
		}
	}
	return n
}

// useStack takes about as much stack as a call of the HTTP client.
//
//go:noinline
func useStack(n int) int {
	var buf [512]byte
	buf[n] = byte(n)
	if n == 0 {
		return int(buf[0])
	}
	return useStack(n-1) + int(buf[n])
}

// stackDepth is the depth of useStack at which it takes about 6 kB.
const stackDepth = 10

func BenchmarkCallers(b *testing.B) {
	c := newCallers()
	defer c.close()
	for name, run := range map[string]func(func()){"new": func(call func()) { go call() }, "reused": c.run} {
		b.Run(name, func(b *testing.B) {
			done := make(chan int, 1)
			call := func() { done <- useStack(stackDepth) }
			for b.Loop() {
				run(call)
				<-done
			}
		})
	}
}
