package httpapi

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// callerCheck is how often a waiting request looks whether its caller is
	// still connected.
	callerCheck = 100 * time.Millisecond
	// skipLimit, skipTime and skipQuiet bound what is read of a body that is
	// too large, so that its sender gets to read the answer: in bytes, in all,
	// and since the last byte.
	skipLimit = 64 << 20
	skipTime  = 2 * time.Second
	skipQuiet = 100 * time.Millisecond
	skipChunk = 64 << 10
)

// callerGone reports whether the other side has closed the connection. It
// takes nothing off the connection. A connection that is no socket is never
// gone.
func callerGone(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) { gone = peekEnd(int(fd)) })
	return gone || err != nil
}

func peekEnd(fd int) bool {
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

// skipInput reads and drops input, within limits. Closing a connection with
// unread input resets it, and the answer would be lost.
func skipInput(conn net.Conn) {
	end := time.Now().Add(skipTime)
	buf := make([]byte, skipChunk)
	for left := skipLimit; left > 0 && time.Now().Before(end); {
		if conn.SetReadDeadline(time.Now().Add(skipQuiet)) != nil {
			return
		}
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}
