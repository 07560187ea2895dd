package httpserve

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener wraps the TCP connections that it accepts.
type listener struct{ net.Listener }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(tcpConn); ok {
		return &conn{tcpConn: tcp}, nil
	}
	return c, err
}

// tcpConn is the part of net.TCPConn that servers use.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetKeepAlive(bool) error
	SetKeepAlivePeriod(time.Duration) error
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
	// closing is set while the server closes the connection if it is idle.
	closing atomic.Bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.tcpConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n := c.readArrived(p); n > 0 {
		return n, nil
	}
	return 0, err
}

func (c *conn) readArrived(p []byte) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, err = unix.Read(int(fd), p)
		if err == unix.EAGAIN && c.closing.Load() {
			// The client learns at once that nothing more is read. The
			// process may have to wait for the processor before it closes
			// the connection.
			_ = unix.Shutdown(int(fd), unix.SHUT_WR)
		}
	})
	if err != nil {
		return 0
	}
	return max(n, 0)
}

// setClosing marks a connection as one to close if it is idle. It does nothing for
// a TLS connection, whose client waits for the end of its session.
func setClosing(c net.Conn, closing bool) {
	if c, ok := c.(*conn); ok {
		c.closing.Store(closing)
	}
}
