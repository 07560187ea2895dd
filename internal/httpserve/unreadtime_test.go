package httpserve

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// The kernel counts the time since the last bytes arrived in its ticks. A job started up to
// one of them after its deadline.
func TestUnreadTimeIsNotCountedShort(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	const rounds = 200
	arrived, short := make(chan struct{}), make(chan time.Duration, rounds)
	s := New("test", &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		start := time.Now()
		<-arrived
		held := time.Since(start)
		short <- held - UnreadTime(ctx.Conn())
	}, IdleTimeout: time.Hour}, ln, nil, log.New(io.Discard))
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	buf := make([]byte, 4096)
	for i := range rounds {
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"))
		require.NoError(t, err)
		time.Sleep(time.Duration(i%20)*500*time.Microsecond + time.Millisecond)
		arrived <- struct{}{}
		require.LessOrEqual(t, <-short, time.Duration(0))
		_, err = conn.Read(buf)
		require.NoError(t, err)
	}
	require.NoError(t, s.Shutdown(t.Context()))
	require.NoError(t, <-served)
}

// A tick of the kernel that came late was not counted. A job started that much after its
// deadline.
func TestLateTicksAreCounted(t *testing.T) {
	ticked, now := time.Hour, time.Hour
	gettime := func(clock int32, at *unix.Timespec) error {
		*at = unix.NsecToTimespec(now.Nanoseconds())
		if clock == unix.CLOCK_MONOTONIC_COARSE {
			*at = unix.NsecToTimespec(ticked.Nanoseconds())
		}
		return nil
	}
	now += 7 * time.Millisecond
	require.Equal(t, 7*time.Millisecond, tickLag(gettime, func() {}), "late before the read")
	lag := tickLag(gettime, func() { now, ticked = now+time.Millisecond, now+time.Millisecond })
	require.Equal(t, 8*time.Millisecond, lag, "tick between the read and its clocks")
	failing := func(int32, *unix.Timespec) error { return unix.EINVAL }
	require.Equal(t, kernelTick(), tickLag(failing, func() {}), "no clock")
}
