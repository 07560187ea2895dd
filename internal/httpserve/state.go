package httpserve

import (
	"cmp"
	"container/list"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// connState is the state of an open connection.
type connState struct {
	conn  net.Conn
	gate  *Gate
	state fasthttp.ConnState
	// since is the time of the last change of state, or of the end of the handler.
	since time.Time
	// handling is set while the handler runs for a request.
	handling bool
	// body is what the body of the request takes, in bytes.
	body int
	// queue is the queue of the gate that holds element, if any.
	queue   queue
	element *list.Element
}

func (s *Server) setState(c net.Conn, state fasthttp.ConnState) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	info := s.conns[c]
	switch {
	case state == fasthttp.StateClosed || state == fasthttp.StateHijacked:
		if info != nil {
			s.gate.move(info, queueNone)
			delete(s.conns, c)
		}
		return
	case info == nil:
		info = &connState{conn: c, gate: s.gate, queue: queueNone}
		s.conns[c] = info
	}
	info.state, info.since, info.handling = state, time.Now(), false
	s.expectRequest(info)
}

// expectRequest sets the deadline of the next part of a request and puts a connection into
// the queue of its state. The lock is held.
func (s *Server) expectRequest(c *connState) {
	limits := s.limits()
	timeout, to := s.readTimeout, queueActive
	switch {
	case c.state == fasthttp.StateNew:
		timeout, to = cmp.Or(limits.IdleTimeout, s.readTimeout), queueNew
	case c.state == fasthttp.StateIdle:
		timeout, to = cmp.Or(limits.IdleTimeout, s.idleTimeout), queueIdle
		s.gate.signal()
	default:
		// The first byte may have been read just after the connection was given up as
		// idle. Whoever waits for its end needs another one.
		if setClosing(c.conn, false) {
			s.gate.signal()
		}
		if limits.HeaderTimeout > 0 && limits.HeaderTimeout < timeout {
			timeout = limits.HeaderTimeout
		}
	}
	s.gate.move(c, to)
	var at time.Time
	if timeout > 0 {
		at = c.since.Add(timeout)
	}
	c.setReadDeadline(at)
}

// beginHandling keeps a connection open until its request is handled. It returns false if
// the gate has closed the connection: the request must not run, as nobody would get its
// answer.
func (s *Server) beginHandling(c net.Conn) bool {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if raw := socket(c); raw != nil && raw.aborted.Load() {
		return false
	}
	if info := s.conns[c]; info != nil {
		info.handling = true
		s.gate.move(info, queueNone)
	}
	return true
}

func (s *Server) endHandling(c net.Conn) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	if info := s.conns[c]; info != nil {
		info.handling, info.since = false, time.Now()
		s.gate.move(info, queueActive)
	}
}
