package httpserve

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxDiscardBytes bounds what is read and discarded when a connection is closed.
const maxDiscardBytes = 64 << 10

// listener wraps the TCP connections that it accepts and that its gate admits.
type listener struct {
	net.Listener
	gate    *Gate
	watcher *watcher
	// closesLate is that of the connections.
	closesLate bool
	// plain is set if the connections don't use TLS.
	plain bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		tcp, ok := c.(tcpConn)
		if err != nil || !ok {
			return c, err
		}
		if l.gate.admit() {
			return &conn{tcpConn: tcp, gate: l.gate, watcher: l.watcher, closesLate: l.closesLate}, nil
		}
		refuse(tcp, l.plain)
	}
}

// limitSocket bounds what the kernel holds for a listener: the connections that wait to be
// accepted, and the buffers of each connection, which inherits them from the listener.
func limitSocket(ln net.Listener, l Limits) error {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, l.SocketBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, l.SocketBytes),
			unix.Listen(int(fd), max(l.Connections/backlogShare, minBacklog)))
	})
	return errors.Join(err, setErr)
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
	gate    *Gate
	watcher *watcher
	// closesLate is set if a request that doesn't arrive in time ends the
	// connection without an answer.
	closesLate bool
	// closing is set while the server closes the connection if it is idle.
	closing atomic.Bool
	// aborted is set when the gate closes the connection to make room. It may be in the
	// middle of a request or an answer.
	aborted atomic.Bool
	// muted is set when nothing must be written any more.
	muted  atomic.Bool
	closed sync.Once
	// arrival is when bytes were last read, in nanoseconds since epoch.
	arrival atomic.Int64
}

// epoch is the origin of steady times, which steps of the time of day don't change.
var epoch = time.Now()

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.aborted.Load() {
		return 0, errAborted
	}
	n, err := c.tcpConn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if c.aborted.Load() {
			return 0, errAborted
		}
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

// errAborted is the error on a connection that the gate closes. The HTTP server does not
// answer after it.
var errAborted = fmt.Errorf("closed to make room for others: %w", net.ErrClosed)

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return 0, net.ErrClosed
	}
	return c.tcpConn.Write(p)
}

// mute ends the writes to a connection.
func mute(c net.Conn) {
	if s := socket(c); s != nil {
		s.muted.Store(true)
	}
}

// Close implements net.Conn. It discards what has arrived: closing a connection
// with unread bytes resets it, and the client would lose the end of an answer.
func (c *conn) Close() error {
	defer c.closed.Do(c.gate.leave)
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

// setClosing marks a connection as one to close if it is idle, and returns whether it was.
func setClosing(c net.Conn, closing bool) (was bool) {
	s := socket(c)
	return s != nil && s.closing.Swap(closing)
}

// socket returns the connection below TLS, nil if it was not accepted by listener.
func socket(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	out, _ := c.(*conn)
	return out
}
