package httpapi

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const (
	// disconnectPollInterval is how often a waiting request looks whether its caller is
	// still connected.
	disconnectPollInterval = 100 * time.Millisecond
	// maxDiscardBytes and skipTime bound what is read of a body that is too large,
	// so that its sender gets to read the answer.
	maxDiscardBytes = 64 << 20
	maxDiscardTime  = 2 * time.Second
)

// callerDisconnected reports whether the other side has closed the connection. It
// takes nothing off the connection. A connection that is no socket is never
// gone.
func callerDisconnected(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = peekEOF(int(fd)) })
	return gone || err != nil
}

func peekEOF(fd int) bool {
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch err {
	case nil:
		return n == 0
	case unix.EAGAIN, unix.EINTR:
		return false
	}
	return true
}

// respondWithUnreadBody writes the answer of a request whose body is not read, ends the
// output, and drops input within limits. Closing a connection with unread
// input resets it, and the answer would be lost. What the HTTP library writes
// afterwards goes nowhere.
func respondWithUnreadBody(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*net.TCPConn)
	if !ok {
		return
	}
	ctx.SetConnectionClose()
	out := bufio.NewWriter(conn)
	if ctx.Response.Write(out) != nil || out.Flush() != nil || conn.CloseWrite() != nil {
		return
	}
	if conn.SetReadDeadline(time.Now().Add(maxDiscardTime)) != nil {
		return
	}
	// How much was skipped, and why it ended, changes nothing.
	_, _ = io.CopyN(io.Discard, conn, maxDiscardBytes)
}
