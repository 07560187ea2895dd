package httpserve

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// watchServer returns a server whose handler waits until its client has gone.
func watchServer(t *testing.T) (s *Server, entered, gone chan struct{}) {
	entered, gone = make(chan struct{}, 1), make(chan struct{}, 1)
	var first atomic.Bool
	first.Store(true)
	s = newTestServer(t, func(c *fasthttp.RequestCtx) {
		left := make(chan struct{})
		stop := Watch(c.Conn(), func() { close(left) })
		defer stop()
		if first.Swap(false) && Disconnected(c.Conn()) {
			t.Error("the client is connected")
		}
		entered <- struct{}{}
		<-left
		if !Disconnected(c.Conn()) {
			t.Error("the client has gone")
		}
		gone <- struct{}{}
	})
	return s, entered, gone
}

// A client that closes or resets its connection while its request is handled is
// noticed, also behind unread bytes, which hide the end of the input from a read.
func TestLeavingClientIsNoticed(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": func(c *net.TCPConn) error { return c.Close() },
		"reset": func(c *net.TCPConn) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
		"close behind unread bytes": func(c *net.TCPConn) error {
			if _, err := c.Write([]byte(request)); err != nil {
				return err
			}
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, entered, gone := watchServer(t)
			stop, ended := run(s, testTimeout)
			conn, err := net.Dial("tcp", s.addr.String())
			require.NoError(t, err)
			_, err = conn.Write([]byte(request))
			require.NoError(t, err)
			<-entered
			require.NoError(t, leave(conn.(*net.TCPConn)))
			awaitSignal(t, gone)
			if name == "close behind unread bytes" {
				awaitSignal(t, entered) // the second request is handled, too
				awaitSignal(t, gone)
			}
			stop()
			require.NoError(t, <-ended)
		})
	}
}

func awaitSignal(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out")
	}
}

// A connection that is no longer watched is not reported, and the others still are.
func TestWatchEndsWithStop(t *testing.T) {
	w := &watcher{}
	reported := make(chan int, 5)
	var watches []*watch
	var far []net.Conn
	for i := range 5 {
		c, peer := tcpPair(t)
		far = append(far, peer)
		x := &watch{gone: func() { reported <- i }}
		w.add(x, descriptor(t, c))
		watches = append(watches, x)
	}
	w.remove(watches[1])
	w.remove(watches[1])
	for _, i := range []int{0, 1, 4} {
		require.NoError(t, far[i].Close())
	}
	require.ElementsMatch(t, []int{0, 4}, []int{<-reported, <-reported})
	w.mu.Lock()
	defer w.mu.Unlock()
	require.ElementsMatch(t, []*watch{watches[2], watches[3]}, w.watches)
	require.Empty(t, reported)
}

func tcpPair(tb testing.TB) (near, far net.Conn) {
	tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer ln.Close()
	far, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(tb, err)
	near, err = ln.Accept()
	require.NoError(tb, err)
	tb.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

func descriptor(tb testing.TB, c net.Conn) (out int32) {
	tb.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(tb, err)
	require.NoError(tb, raw.Control(func(fd uintptr) { out = int32(fd) }))
	return out
}

// BenchmarkWatch measures one check of all waiting requests: with one system call,
// and with one for each connection.
func BenchmarkWatch(b *testing.B) {
	for _, n := range []int{10, 1000} {
		w := &watcher{}
		var conns []net.Conn
		for range n {
			near, _ := tcpPair(b)
			conns = append(conns, &conn{tcpConn: near.(*net.TCPConn), watcher: w})
			w.add(&watch{gone: func() {}}, descriptor(b, near))
		}
		b.Run(fmt.Sprintf("together/%d", n), func(b *testing.B) {
			for b.Loop() {
				w.takeDisconnected()
			}
		})
		b.Run(fmt.Sprintf("each/%d", n), func(b *testing.B) {
			for b.Loop() {
				for _, c := range conns {
					Disconnected(c)
				}
			}
		})
	}
}

// BenchmarkWatchOneRequest measures what watching adds to a request.
func BenchmarkWatchOneRequest(b *testing.B) {
	near, _ := tcpPair(b)
	c := &conn{tcpConn: near.(*net.TCPConn), watcher: &watcher{}}
	for b.Loop() {
		Watch(c, func() {})()
	}
}
