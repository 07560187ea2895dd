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
	// disconnectPollInterval is how often a waiting request checks whether its
	// caller is still connected.
	disconnectPollInterval = 100 * time.Millisecond
	// maxDiscardBytes and maxDiscardTime bound how much of an oversized body is
	// read and discarded so that its sender can read the answer.
	maxDiscardBytes = 64 << 20
	maxDiscardTime  = 2 * time.Second
)

// callerDisconnected reports whether the peer has closed the connection. It
// consumes no input. It returns false for a connection that is not a socket.
func callerDisconnected(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = peekEOF(int(fd)) })
	return closed || err != nil
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

// respondWithUnreadBody writes the answer to a request whose body has not been
// read, closes the write side, and discards input within limits. Closing a
// connection with unread input resets it, and the caller would lose the answer.
// The HTTP library's own later write fails because the write side is closed.
func respondWithUnreadBody(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(interface {
		net.Conn
		CloseWrite() error
	})
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
	// The result is ignored: the connection is closed in any case.
	_, _ = io.CopyN(io.Discard, conn, maxDiscardBytes)
}
