package httpserve

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A request whose bytes have arrived on an idle connection before the shutdown is
// answered.
func TestUnreadRequestAtShutdownIsAnswered(t *testing.T) {
	ln := newLateListener(t)
	s := New("test", &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, IdleTimeout: time.Hour, ReadTimeout: 5 * time.Second}, ln, nil, log.New(io.Discard))
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	answers := bufio.NewReader(conn)
	const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	resp, err := http.ReadResponse(answers, nil)
	require.NoError(t, err)
	resp.Body.Close()
	<-ln.waiting
	_, err = conn.Write([]byte(request))
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(ctx) }()
	resp, err = http.ReadResponse(answers, nil)
	require.NoError(t, err, "the request had arrived before the shutdown")
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, <-stopped)
	require.NoError(t, <-served)
}

// lateListener accepts connections whose reads are late from the second on, as in
// a process that waits for the processor.
type lateListener struct {
	*net.TCPListener
	waiting chan struct{}
	stopped chan struct{}
	stop    sync.Once
}

func newLateListener(t *testing.T) *lateListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return &lateListener{TCPListener: ln.(*net.TCPListener), waiting: make(chan struct{}, 1), stopped: make(chan struct{})}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c, ln: l, closed: make(chan struct{})}, nil
}

func (l *lateListener) Close() error {
	l.stop.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// lateConn delays reads until its listener has been closed for a moment. Closing
// the connection ends the delay.
type lateConn struct {
	*net.TCPConn
	ln     *lateListener
	reads  atomic.Int32
	once   sync.Once
	closed chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) == 2 {
		c.ln.waiting <- struct{}{}
		select {
		case <-c.ln.stopped:
		case <-time.After(10 * time.Second):
		}
		select {
		case <-c.closed:
		case <-time.After(10 * time.Millisecond):
		}
	}
	return c.TCPConn.Read(p)
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}
