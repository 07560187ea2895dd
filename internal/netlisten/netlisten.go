// Package netlisten provides TCP listeners that outlast temporary accept errors.
package netlisten

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
)

const (
	// minBackoff and maxBackoff bound the delay before the next attempt to accept,
	// which doubles with each failure in a row.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// temporaryErrors are the accept errors that pass: lack of descriptors or memory,
// and network errors of one connection, which Linux reports by accept.
var temporaryErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.ECONNABORTED, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
	syscall.EPERM,
}

// Listen listens on a TCP host:port. See Wrap.
func Listen(addr string, l *log.Logger) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return Wrap(ln, l), nil
}

// Wrap returns a listener whose Accept waits and tries again after a temporary
// error of ln, until the listener is closed. HTTP servers end on such an error and
// cut off the requests that they are serving. The first error of a series and its
// end are logged to l, or to the default logger if l is nil.
func Wrap(ln net.Listener, l *log.Logger) net.Listener {
	if l == nil {
		l = log.Default()
	}
	return &listener{Listener: ln, log: l, closed: make(chan struct{})}
}

// Limit returns a listener that closes each connection that it accepts while limit of them
// are open, and calls refused then.
func Limit(ln net.Listener, limit int, refused func()) net.Listener {
	return &limited{Listener: ln, open: make(chan struct{}, limit), refused: refused}
}

type limited struct {
	net.Listener
	// open has an element for each open connection.
	open    chan struct{}
	refused func()
}

// Accept implements net.Listener.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.open <- struct{}{}:
			return &limitedConn{Conn: c, leave: sync.OnceFunc(func() { <-l.open })}, nil
		default:
			_ = c.Close() // nothing was read or written
			l.refused()
		}
	}
}

type limitedConn struct {
	net.Conn
	leave func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.leave()
	return c.Conn.Close()
}

type listener struct {
	net.Listener
	log    *log.Logger
	once   sync.Once
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	failures := 0
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil {
			if failures > 0 {
				l.log.Info("accepting connections again", "addr", l.Addr(), "failures", failures)
			}
			return conn, nil
		}
		if !isTemporary(err) {
			return nil, err
		}
		failures++
		if failures == 1 {
			l.log.Warn("connections not accepted, trying again", "addr", l.Addr(), "err", err)
		}
		select {
		case <-l.closed:
			return nil, fmt.Errorf("accept on %s: %w", l.Addr(), net.ErrClosed)
		case <-time.After(backoff):
		}
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

func isTemporary(err error) bool {
	for _, e := range temporaryErrors {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
