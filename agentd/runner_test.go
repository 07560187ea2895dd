package agentd

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/agent"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// rawUpstream is an upstream that answers requests with raw HTTP text.
type rawUpstream struct {
	ln       net.Listener
	requests atomic.Int32
	dials    atomic.Int32
}

// newRawUpstream starts an upstream that calls respond for each request with the
// number of requests so far. respond returns the text to write and whether to
// close the connection afterwards.
func newRawUpstream(t *testing.T, respond func(n int32) (text string, closeConn bool)) *rawUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	u := &rawUpstream{ln: ln}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			u.dials.Add(1)
			go u.serve(c, respond)
		}
	}()
	return u
}

func (u *rawUpstream) serve(c net.Conn, respond func(int32) (string, bool)) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		text, closeConn := respond(u.requests.Add(1))
		if _, err := c.Write([]byte(text)); err != nil || closeConn {
			return
		}
	}
}

// runnerFixture is a runner that delivers its events to a channel.
type runnerFixture struct {
	*runner
	t      *testing.T
	events chan agent.Event
	start  time.Time
	last   agent.RunID
}

func newRunnerFixture(t *testing.T, addr string, connections uint32) *runnerFixture {
	b := &runnerFixture{t: t, events: make(chan agent.Event, 16), start: time.Now()}
	b.runner = newRunner(func(ev agent.Event) bool { b.events <- ev; return true }, b.now)
	b.setUpstream(agent.Upstream{Addr: addr, Connections: connections})
	t.Cleanup(b.close)
	return b
}

func (b *runnerFixture) now() time.Duration { return time.Since(b.start) }

func (b *runnerFixture) run(startBy time.Duration) agent.End {
	b.last++
	b.runner.start(agent.StartRun{Run: b.last, ID: taskID(uint64(b.last)), StartBy: startBy, RunBy: testTimeout})
	end := await(b.t, b.events).(agent.RunEnded)
	require.Equal(b.t, b.last, end.Run)
	return end.End
}

func TestRunPastStartDeadlineIsNotSent(t *testing.T) {
	u := newRawUpstream(t, func(int32) (string, bool) { return okResponse, false })
	b := newRunnerFixture(t, u.ln.Addr().String(), 2)
	require.Equal(t, agent.EndExpired, b.run(0))
	require.Zero(t, u.requests.Load())
	require.Equal(t, agent.EndComplete, b.run(testTimeout))
	require.EqualValues(t, 1, u.dials.Load(), "the connection is kept")
}

// A request that was written must not be sent again, however the connection ends.
func TestLostRunIsNotResent(t *testing.T) {
	u := newRawUpstream(t, func(n int32) (string, bool) {
		if n == 1 {
			return okResponse, false
		}
		return "", true
	})
	b := newRunnerFixture(t, u.ln.Addr().String(), 2)
	require.Equal(t, agent.EndComplete, b.run(testTimeout))
	require.Equal(t, agent.EndLost, b.run(testTimeout))
	require.EqualValues(t, 2, u.requests.Load())
}

// A run succeeds although the upstream has closed the idle connection in the pool:
// the connection is replaced and its place in the pool is freed.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	u := newRawUpstream(t, func(int32) (string, bool) { return okResponse, true })
	b := newRunnerFixture(t, u.ln.Addr().String(), 2)
	for range 5 {
		require.Equal(t, agent.EndComplete, b.run(testTimeout))
		require.Eventually(t, func() bool {
			b.pool.mu.Lock()
			defer b.pool.mu.Unlock()
			return !b.pool.idle[0].usable()
		}, testTimeout, time.Millisecond)
	}
	open, _ := b.connections()
	require.Equal(t, 1, open)
}

func TestUnreachableUpstreamRefusesRun(t *testing.T) {
	u := newRawUpstream(t, func(int32) (string, bool) { return okResponse, false })
	u.ln.Close()
	b := newRunnerFixture(t, u.ln.Addr().String(), 2)
	require.Equal(t, agent.EndRefused, b.run(testTimeout))
	open, _ := b.connections()
	require.Zero(t, open)
}

// Abandoned runs must free their connections. Otherwise a silent upstream exhausts
// the pool, and later probes and runs get no connection.
func TestAbandonedRunsFreeTheirConnections(t *testing.T) {
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	u := newRawUpstream(t, func(n int32) (string, bool) {
		if n <= 2 {
			<-block
		}
		return okResponse, false
	})
	b := newRunnerFixture(t, u.ln.Addr().String(), 2)
	for id := agent.RunID(1); id <= 2; id++ {
		b.runner.start(agent.StartRun{Run: id, ID: taskID(uint64(id)), StartBy: testTimeout, RunBy: testTimeout})
	}
	require.Eventually(t, func() bool { return u.requests.Load() == 2 }, testTimeout, time.Millisecond)
	b.probe(agent.ProbeUpstream{})
	require.Equal(t, agent.Probed{}, await(t, b.events), "the pool has no connection left for a probe")
	for id := agent.RunID(1); id <= 2; id++ {
		b.abandon(agent.AbandonRun{Run: id, ID: taskID(uint64(id))})
		require.Equal(t, agent.EndLost, await(t, b.events).(agent.RunEnded).End)
	}
	require.Equal(t, agent.EndComplete, b.runWithID(3))
}

func (b *runnerFixture) runWithID(id agent.RunID) agent.End {
	b.last = id - 1
	return b.run(testTimeout)
}
