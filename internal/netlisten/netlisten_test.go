package netlisten

import (
	"bytes"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// waitTimeout bounds each wait.
const waitTimeout = 10 * time.Second

// forever is a number of failures that no test reaches.
const forever = math.MaxInt64

// failingListener returns err from its first calls of Accept.
type failingListener struct {
	net.Listener
	err      error
	failures int64
	accepts  atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.accepts.Add(1) <= l.failures {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

func newFailingListener(t *testing.T, err error, failures int64) *failingListener {
	t.Helper()
	ln, listenErr := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, listenErr)
	t.Cleanup(func() { ln.Close() })
	return &failingListener{Listener: ln, err: err, failures: failures}
}

// A server must not end, and cut off its requests, when descriptors run out for a
// while.
func TestServerOutlastsLackOfDescriptors(t *testing.T) {
	for name, errno := range map[string]syscall.Errno{
		"EMFILE": syscall.EMFILE, "ENFILE": syscall.ENFILE, "ENOBUFS": syscall.ENOBUFS,
		"ENOMEM": syscall.ENOMEM, "ECONNABORTED": syscall.ECONNABORTED,
	} {
		for count, failures := range map[string]int64{"once": 1, "for a while": 4} {
			t.Run(name+" "+count, func(t *testing.T) {
				var text bytes.Buffer
				failing := newFailingListener(t, errno, failures)
				ln := Wrap(failing, log.New(&text))
				server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("served") }}
				served := make(chan error, 1)
				go func() { served <- server.Serve(ln) }()
				client := &http.Client{Timeout: waitTimeout}
				resp, err := client.Get("http://" + ln.Addr().String())
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, "served", string(body))
				require.NoError(t, server.Shutdown())
				require.NoError(t, <-served)
				require.Equal(t, 1, strings.Count(text.String(), "connections not accepted"))
				require.Equal(t, 1, strings.Count(text.String(), "accepting connections again"))
			})
		}
	}
}

// Close ends an Accept that waits for descriptors, so that a drain does not hang.
func TestCloseEndsAcceptDuringLackOfDescriptors(t *testing.T) {
	failing := newFailingListener(t, syscall.EMFILE, forever)
	ln := Wrap(failing, log.New(io.Discard))
	accepted := make(chan error, 1)
	go func() {
		_, err := ln.Accept()
		accepted <- err
	}()
	require.Eventually(t, func() bool { return failing.accepts.Load() > 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, ln.Close())
	select {
	case err := <-accepted:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(waitTimeout):
		t.Fatal("still accepting")
	}
	require.Error(t, ln.Close(), "the error of the second close is passed on")
}

// An error that does not pass is returned at once.
func TestPermanentErrorIsReturned(t *testing.T) {
	failing := newFailingListener(t, syscall.EBADF, forever)
	_, err := Wrap(failing, log.New(io.Discard)).Accept()
	require.ErrorIs(t, err, syscall.EBADF)
	require.Equal(t, int64(1), failing.accepts.Load())
}

// A page without a limit of its connections takes all descriptors of the process.
func TestLimitClosesFurtherConnections(t *testing.T) {
	const limit = 2
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	refused := make(chan struct{}, 1)
	ln := Limit(inner, limit, func() { refused <- struct{}{} })
	defer ln.Close()
	accepted := make(chan net.Conn, limit+1)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	for range limit {
		dial()
	}
	first := <-accepted
	<-accepted
	further := dial()
	<-refused
	_ = further.SetReadDeadline(time.Now().Add(waitTimeout)) // an open connection takes deadlines
	_, err = further.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, first.Close())
	dial()
	select {
	case <-accepted:
	case <-time.After(waitTimeout):
		t.Fatal("a closed connection makes room")
	}
}
