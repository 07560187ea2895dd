package httpserve

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxDiscardBytes bounds what is read and discarded when a connection is closed.
const maxDiscardBytes = 64 << 10

// listener wraps the TCP connections that it accepts.
type listener struct {
	net.Listener
	watcher *watcher
	// closesLate is that of the connections.
	closesLate bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(tcpConn); ok {
		return &conn{tcpConn: tcp, watcher: l.watcher, closesLate: l.closesLate}, nil
	}
	return c, err
}

// tcpConn is the part of net.TCPConn that servers use.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
}

// hasBacklog reports whether a connection waits to be accepted. It returns false
// for a listener without a socket.
func hasBacklog(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && n > 0
}

// conn is a TCP connection whose reads return what has arrived even after the read
// deadline. A request that reached this host before an idle connection is closed
// is therefore answered. Closing the connection with unread bytes would reset it.
type conn struct {
	tcpConn
	watcher *watcher
	// closesLate is set if a request that doesn't arrive in time ends the
	// connection without an answer.
	closesLate bool
	// closing is set while the server closes the connection if it is idle.
	closing atomic.Bool
	// arrival is when bytes were last read, in nanoseconds since epoch.
	arrival atomic.Int64
}

// epoch is the origin of steady times, which steps of the time of day don't change.
var epoch = time.Now()

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		n = c.readArrived(p)
		switch {
		case n > 0:
			err = nil
		// For a time-out, the HTTP server would answer 408 or 400, which a client
		// could take for the answer to its next request.
		case c.closing.Load():
			err = io.EOF
		case c.closesLate, c.arrival.Load() == 0:
			err = fmt.Errorf("%w: %w", net.ErrClosed, err)
		}
	}
	if n > 0 {
		c.arrival.Store(int64(time.Since(epoch)))
	}
	return n, err
}

// Close implements net.Conn. It discards what has arrived: closing a connection
// with unread bytes resets it, and the client would lose the end of an answer.
func (c *conn) Close() error {
	var buf [4096]byte
	for read := 0; read < maxDiscardBytes; {
		n := c.readArrived(buf[:])
		if n == 0 {
			break
		}
		read += n
	}
	return c.tcpConn.Close()
}

func (c *conn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var readErr error
		n, readErr = unix.Read(int(fd), p)
		if readErr == unix.EAGAIN && c.closing.Load() {
			// The client learns at once that nothing more is read. The
			// process may have to wait for the processor before it closes
			// the connection. An error means that the client has closed it.
			_ = unix.Shutdown(int(fd), unix.SHUT_WR)
		}
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// lastArrival returns when bytes last arrived on a connection, or epoch.
func lastArrival(c net.Conn) time.Time {
	if c := socket(c); c != nil {
		return epoch.Add(time.Duration(c.arrival.Load()))
	}
	return epoch
}

// setClosing marks a connection as one to close if it is idle.
func setClosing(c net.Conn, closing bool) {
	if c := socket(c); c != nil {
		c.closing.Store(closing)
	}
}

// socket returns the connection below TLS, nil if it was not accepted by listener.
func socket(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	out, _ := c.(*conn)
	return out
}
