package httpserve

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// newGatedServer returns a running server with limits.
func newGatedServer(t *testing.T, limits Limits, handler fasthttp.RequestHandler, options ...Option) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := log.New(io.Discard)
	options = append(options, WithGate(NewGate("test", limits, nil, l)))
	s := New("test", &fasthttp.Server{Handler: handler, ReadTimeout: testTimeout, IdleTimeout: time.Hour}, ln, nil, l, options...)
	stop, ended := run(s, testTimeout)
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-ended)
	})
	return s
}

// A server whose connections are all idle would refuse every new client; the one that has
// been idle for longest has to make room.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const connections, clients = 3, 30
	s := newGatedServer(t, Limits{Connections: connections}, func(*fasthttp.RequestCtx) {})
	for range clients {
		c := dial(t, s)
		require.NoError(t, c.send(request))
		resp, err := c.receive()
		require.NoError(t, err)
		require.Equal(t, fasthttp.StatusOK, resp.StatusCode)
		s.gate.mu.Lock()
		open := s.gate.open
		s.gate.mu.Unlock()
		require.LessOrEqual(t, open, connections)
	}
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	require.Zero(t, s.gate.bounds[boundConnections].refused)
}

// A new connection whose first request is under way is no idle one: to choose it would
// end the wait for room in vain, and clients behind it would wait for each such one.
func TestRequestUnderWayMakesNoRoom(t *testing.T) {
	const connections, clients = 3, 60
	s := newGatedServer(t, Limits{Connections: connections}, func(*fasthttp.RequestCtx) {})
	var open []*client
	for range clients {
		c := dial(t, s)
		require.NoError(t, c.send(request))
		open = append(open, c)
	}
	for _, c := range open {
		resp, err := c.receive()
		require.NoError(t, err)
		require.Equal(t, fasthttp.StatusOK, resp.StatusCode)
	}
}

// Requests that have stalled make room for others; those in progress do not.
func TestStalledRequestsMakeRoom(t *testing.T) {
	const connections = 2
	release := make(chan struct{})
	s := newGatedServer(t, Limits{Connections: connections}, func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/slow" {
			<-release
		}
	})
	slow, stalled := dial(t, s), dial(t, s)
	require.NoError(t, slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
	require.NoError(t, stalled.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Le"))
	answer := func() int {
		c := dial(t, s)
		require.NoError(t, c.send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"))
		resp, err := c.receive()
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}
	require.Eventually(t, func() bool { return answer() == fasthttp.StatusOK }, testTimeout, 10*time.Millisecond)
	text, err := io.ReadAll(stalled)
	require.Empty(t, text)
	_ = err // the end may be a reset
	close(release)
	resp, err := slow.receive()
	require.NoError(t, err, "the request in progress")
	require.Equal(t, fasthttp.StatusOK, resp.StatusCode)
}

// Bodies take memory once they are announced, so that room is made before.
func TestBodiesAreAdmittedBeforeTheyAreRead(t *testing.T) {
	const size = 100_000 // half as much is left for the others
	s := newGatedServer(t, Limits{BodyBytes: 3 * size / 2}, func(c *fasthttp.RequestCtx) { c.SetBody(c.PostBody()[:2]) },
		WithRequestLimits(func() RequestLimits { return RequestLimits{BodyBytes: size} }))
	post := func(body string, framing string) (*client, error) {
		c := dial(t, s)
		return c, c.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n" + body)
	}
	large := strings.Repeat("x", size)
	announced := fmt.Sprintf("Content-Length: %d", size)
	_, err := post(large[1:], announced)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		return s.gate.held == size
	}, testTimeout, time.Millisecond)

	c, err := post("hi", "Content-Length: 2")
	require.NoError(t, err)
	resp, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusOK, resp.StatusCode, "a small body needs no room")

	for _, framing := range []string{announced, "Transfer-Encoding: chunked"} {
		body := large
		if framing != announced {
			body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, large)
		}
		refused := false
		require.Eventually(t, func() bool {
			c, err := post(body, framing)
			require.NoError(t, err)
			resp, err := c.receive()
			require.NoError(t, err)
			if resp.StatusCode == fasthttp.StatusServiceUnavailable {
				require.Equal(t, "1", resp.Header.Get("Retry-After"))
				refused = true
			}
			return resp.StatusCode == fasthttp.StatusOK
		}, testTimeout, 10*time.Millisecond, "the stalled body makes room: %s", framing)
		require.Equal(t, framing == announced, refused, "a body that has just begun makes no room")
	}
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	require.Zero(t, s.gate.held)
}

// A request whose connection was closed to make room just when it had been read must not run.
func TestRequestOfClosedConnectionDoesNotRun(t *testing.T) {
	s := newGatedServer(t, Limits{}, func(*fasthttp.RequestCtx) {})
	c := dial(t, s)
	require.NoError(t, c.send("POST / HT"))
	reading := func() *connState {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		if first := s.gate.queues[queueActive].Front(); first != nil {
			return first.Value.(*connState)
		}
		return nil
	}
	require.Eventually(t, func() bool { return reading() != nil }, testTimeout, time.Millisecond)
	info := reading()
	s.gate.mu.Lock()
	info.abort()
	s.gate.mu.Unlock()
	require.False(t, s.beginHandling(info.conn))
	_, err := io.ReadAll(c)
	_ = err // the end may be a reset
}

// A limit above the descriptors of the process is never reached, so that idle connections
// would not make room.
func TestConnectionsStayWithinDescriptors(t *testing.T) {
	for _, c := range []struct {
		connections int
		descriptors uint64
		want        int
	}{
		{2000, 0, 2000}, {2000, 4100, 2000}, {10_000, 4100, 4100 - descriptorReserve}, {2000, 2000 + descriptorReserve, 2000},
		{2000, 800, 400}, {10, 800, 10}, {10, 100, 10}, {256, 256, 128},
	} {
		require.Equal(t, c.want, withinDescriptors(c.connections, c.descriptors), "%+v", c)
	}
}

// A body that can't be read is answered; one that ends with its connection is not.
func TestMalformedChunkIsAnswered(t *testing.T) {
	s := newGatedServer(t, Limits{}, func(*fasthttp.RequestCtx) {})
	const head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	c := dial(t, s)
	require.NoError(t, c.send(head+"nonsense\r\n"))
	resp, err := c.receive()
	require.NoError(t, err)
	require.Equal(t, fasthttp.StatusBadRequest, resp.StatusCode)
	c = dial(t, s)
	require.NoError(t, c.send(head+"9\r\nhi"))
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, text)
}

// The limits of a request may change while the server runs.
func TestRequestLimits(t *testing.T) {
	const headers, body = 1000, 20_000
	var limits atomic.Pointer[RequestLimits]
	limits.Store(&RequestLimits{})
	s := newGatedServer(t, Limits{}, func(*fasthttp.RequestCtx) {}, WithRequestLimits(func() RequestLimits { return *limits.Load() }))
	status := func(head, content int, chunked bool) int {
		c := dial(t, s)
		text, framing := strings.Repeat("x", content), fmt.Sprintf("Content-Length: %d", content)
		if chunked {
			framing, text = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", content, text)
		}
		first := "POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\nX: "
		first += strings.Repeat("y", head-len(first)-len("\r\n\r\n")) + "\r\n\r\n"
		require.NoError(t, c.send(first+text))
		resp, err := c.receive()
		require.NoError(t, err)
		return resp.StatusCode
	}
	require.Equal(t, fasthttp.StatusOK, status(DefaultHeaderBytes, body+1, false))
	require.Equal(t, fasthttp.StatusOK, status(DefaultHeaderBytes, body+1, true))
	limits.Store(&RequestLimits{HeaderBytes: headers, BodyBytes: body})
	for _, chunked := range []bool{false, true} {
		require.Equal(t, fasthttp.StatusOK, status(headers, body, chunked))
		require.Equal(t, fasthttp.StatusRequestHeaderFieldsTooLarge, status(headers+1, 9, chunked))
		require.Equal(t, fasthttp.StatusRequestEntityTooLarge, status(headers, body+1, chunked))
	}
	limits.Store(&RequestLimits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
	for _, sent := range []string{"", "POST / HT"} {
		c := dial(t, s)
		require.NoError(t, c.send(sent))
		require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout/2)))
		text, err := io.ReadAll(c)
		require.NoError(t, err, "closed after %q", sent)
		require.Empty(t, text)
	}
}
