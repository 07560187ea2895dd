package httpserve

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

func run(s *Server, timeout time.Duration) (stop func(), ended chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() { ended <- s.Run(ctx, timeout) }()
	return cancel, ended
}

// slowReadListener accepts connections whose second read comes long after the
// request has arrived: the deadline of an idle connection has passed by then.
type slowReadListener struct{ *net.TCPListener }

func (l slowReadListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowReadConn{TCPConn: c}, nil
}

type slowReadConn struct {
	*net.TCPConn
	reads atomic.Int32
}

func (c *slowReadConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		time.Sleep(3 * quietTime)
	}
	return c.TCPConn.Read(p)
}

// A request that has arrived on an idle connection is answered although the server
// reads it only after it has given the connection up as idle.
func TestRequestReadAfterIdleDeadlineIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, IdleTimeout: time.Hour, ReadTimeout: testTimeout},
		slowReadListener{ln.(*net.TCPListener)}, nil, log.New(io.Discard))
	stop, ended := run(s, testTimeout)
	c := dial(t, s)
	require.NoError(t, c.send(request))
	_, err = c.receive()
	require.NoError(t, err)
	require.NoError(t, c.send(request))
	stop()
	_, err = c.receive()
	require.NoError(t, err)
	require.NoError(t, <-ended)
}

// scarceListener fails to accept while `limit` connections are open.
type scarceListener struct {
	*net.TCPListener
	limit int32
	open  atomic.Int32
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.open.Load() >= l.limit {
		return nil, syscall.EMFILE
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &scarceConn{TCPConn: c, ln: l}, nil
}

type scarceConn struct {
	*net.TCPConn
	ln   *scarceListener
	once sync.Once
}

func (c *scarceConn) Close() error {
	c.once.Do(func() { c.ln.open.Add(-1) })
	return c.TCPConn.Close()
}

// A server without free descriptors closes its idle connections when it stops, and
// answers the request in progress and the one that waits to be accepted.
func TestStopWithoutFreeDescriptors(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	release := make(chan struct{})
	started := make(chan struct{}, 3)
	s := New("test", &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/slow" {
			started <- struct{}{}
			<-release
		}
	}, IdleTimeout: time.Hour, ReadTimeout: testTimeout},
		&scarceListener{TCPListener: ln.(*net.TCPListener), limit: 3}, nil, log.New(io.Discard))
	stop, ended := run(s, 500*time.Millisecond)
	for range 2 {
		idle := dial(t, s)
		require.NoError(t, idle.send(request))
		_, err := idle.receive()
		require.NoError(t, err)
	}
	slow := dial(t, s)
	require.NoError(t, slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"))
	<-started
	waiting := dial(t, s)
	require.NoError(t, waiting.send(request))
	time.Sleep(10 * time.Millisecond)
	stop()
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	_, err = slow.receive()
	require.NoError(t, err, "request in progress")
	_, err = waiting.receive()
	require.NoError(t, err, "request that waits to be accepted")
	require.NoError(t, <-ended)
}

// A server whose descriptors are all held by idle connections closes these when it
// stops, and then answers the request that waits to be accepted.
func TestStopWithDescriptorsHeldByIdleConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, IdleTimeout: time.Hour, ReadTimeout: testTimeout},
		&scarceListener{TCPListener: ln.(*net.TCPListener), limit: 3}, nil, log.New(io.Discard))
	stop, ended := run(s, time.Second)
	for range 3 {
		idle := dial(t, s)
		require.NoError(t, idle.send(request))
		_, err := idle.receive()
		require.NoError(t, err)
	}
	waiting := dial(t, s)
	require.NoError(t, waiting.send(request))
	time.Sleep(quietTime)
	start := time.Now()
	stop()
	_, err = waiting.receive()
	require.NoError(t, err, "after %v", time.Since(start))
	require.NoError(t, <-ended)
}

// brokenListener fails for good once it is told to.
type brokenListener struct {
	net.Listener
	broken chan struct{}
	conns  chan net.Conn
}

func (l *brokenListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.broken:
		return nil, errors.New("no longer a socket")
	}
}

// Run answers the requests in progress also if its listener fails.
func TestRequestInProgressIsAnsweredWhenListenerFails(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &brokenListener{Listener: ln, broken: make(chan struct{}), conns: make(chan net.Conn)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.conns <- c
		}
	}()
	defer ln.Close()
	started, release := make(chan struct{}), make(chan struct{})
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { close(started); <-release }, ReadTimeout: testTimeout, Logger: log.New(io.Discard)},
		b, nil, log.New(io.Discard))
	_, ended := run(s, testTimeout)
	c := dial(t, s)
	require.NoError(t, c.send(request))
	<-started
	close(b.broken)
	select {
	case <-ended:
		t.Error("Run returned while a request was in progress")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	_, err = c.receive()
	require.NoError(t, err)
}

// noKeepAliveListener accepts one connection on which keep-alive can't be set.
type noKeepAliveListener struct {
	*net.TCPListener
	failed atomic.Bool
}

type noKeepAliveConn struct{ *net.TCPConn }

func (noKeepAliveConn) SetKeepAlive(bool) error { return syscall.EINVAL }

func (l *noKeepAliveListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil && !l.failed.Swap(true) {
		return noKeepAliveConn{c}, nil
	}
	return c, err
}

// A connection on which an option can't be set does not end the server.
func TestServerOutlastsConnectionWithoutKeepAlive(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, TCPKeepalive: true, ReadTimeout: testTimeout, Logger: log.New(io.Discard)},
		&noKeepAliveListener{TCPListener: ln.(*net.TCPListener)}, nil, log.New(io.Discard))
	stop, ended := run(s, testTimeout)
	dial(t, s)
	select {
	case err := <-ended:
		t.Fatalf("the server ended: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	stop()
	require.NoError(t, <-ended)
}

// An answer of many bytes reaches a client that has already sent its next request
// when the server stops.
func TestAnswerIsNotDestroyedByNextRequest(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	body := make([]byte, 4<<20)
	s := newTestServer(t, func(c *fasthttp.RequestCtx) { close(started); <-release; c.SetBody(body) })
	stop, ended := run(s, testTimeout)
	c := dial(t, s)
	require.NoError(t, c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	<-started
	require.NoError(t, c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	stop()
	require.Eventually(t, s.stopping.Load, testTimeout, time.Millisecond)
	close(release)
	time.Sleep(50 * time.Millisecond)
	var n int64
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		n, err = io.Copy(io.Discard, resp.Body)
	}
	require.NoError(t, err, "after %d bytes", n)
	require.NoError(t, <-ended)
}

// splitConn holds back the end of a write until it is released.
type splitConn struct {
	net.Conn
	split   atomic.Bool
	release chan struct{}
}

func (c *splitConn) Write(p []byte) (int, error) {
	if !c.split.Load() {
		return c.Conn.Write(p)
	}
	if _, err := c.Conn.Write(p[:len(p)/2]); err != nil {
		return 0, err
	}
	<-c.release
	_, err := c.Conn.Write(p[len(p)/2:])
	return len(p), err
}

// A request that is arriving on an idle TLS connection when the server stops is
// answered.
func TestRequestInTwoSegmentsOnTLSIsAnswered(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conf := &tls.Config{Certificates: certified.TLS.Certificates}
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, IdleTimeout: time.Hour, ReadTimeout: testTimeout}, ln, conf, log.New(io.Discard))
	stop, ended := run(s, testTimeout)
	raw, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	split := &splitConn{Conn: raw, release: make(chan struct{})}
	conn := tls.Client(split, &tls.Config{InsecureSkipVerify: true})
	c := &client{conn, bufio.NewReader(conn)}
	require.NoError(t, c.send(request))
	_, err = c.receive()
	require.NoError(t, err)
	time.Sleep(quietTime + 20*time.Millisecond)
	split.split.Store(true)
	go func() { _ = c.send(request) }()
	time.Sleep(20 * time.Millisecond)
	stop()
	time.Sleep(30 * time.Millisecond)
	close(split.release)
	_, err = c.receive()
	require.NoError(t, err)
	require.NoError(t, <-ended)
}

// A connection on which nothing was sent must be closed without a word: a client whose
// first request is on its way would take a 408 for the answer to it.
func TestSilentConnectionIsClosedWithoutAnswer(t *testing.T) {
	s := newTestServer(t, func(*fasthttp.RequestCtx) {})
	stop, ended := run(s, testTimeout)
	c := dial(t, s)
	require.Eventually(t, func() bool { open, _ := s.count(); return open == 1 }, testTimeout, time.Millisecond)
	stop()
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Empty(t, string(text))
	require.NoError(t, <-ended)
}
