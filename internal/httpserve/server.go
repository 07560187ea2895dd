// Package httpserve runs HTTP servers that answer every request they have read
// before they stop.
//
// When a server is told to stop, it closes its listener once no connection waits
// to be accepted. A connection with a request in progress is closed after its
// answer, and one without a request only if no byte of one has arrived. Clients
// may use their connections until then.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/internal/netlisten"
)

const (
	// stopPollInterval is how often a stopping server looks for connections that
	// can be closed.
	stopPollInterval = 5 * time.Millisecond
	// quietTime is how long a connection must have been without a request before a
	// stopping server closes it. Clients send the first request as soon as they
	// are connected, and busy ones the next as soon as they have an answer.
	quietTime = 100 * time.Millisecond
)

// Server serves one listener.
type Server struct {
	name string
	addr net.Addr
	http *fasthttp.Server
	// socket is the listener that New was given; ln wraps it.
	socket net.Listener
	ln     net.Listener
	log    *log.Logger

	stopping atomic.Bool
	// answered counts the requests answered since the server began to stop.
	answered atomic.Int64

	mu    sync.Mutex
	begun bool
	// served is closed when Serve returns.
	served chan struct{}
	conns  map[net.Conn]connState
}

// connState is the state of an open connection and the time of its last change.
type connState struct {
	state fasthttp.ConnState
	since time.Time
}

// idle reports whether the connection can be closed if no byte has arrived.
func (c connState) idle(now time.Time) bool {
	return c.state != fasthttp.StateActive && now.Sub(c.since) >= quietTime
}

// New returns a server that is not serving yet. The name identifies it in log
// lines and errors. It takes over the Handler and the ConnState hook of s. With a
// TLS configuration, connections from ln use TLS. Temporary errors of ln don't end
// the server.
func New(name string, s *fasthttp.Server, ln net.Listener, conf *tls.Config, l *log.Logger) *Server {
	raw := &listener{netlisten.Wrap(ln, l)}
	out := &Server{
		name: name, addr: ln.Addr(), http: s, socket: ln, ln: raw, log: l,
		served: make(chan struct{}),
		conns:  make(map[net.Conn]connState),
	}
	if conf != nil {
		out.ln = tls.NewListener(raw, conf)
	}
	handler := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if out.stopping.Load() {
			ctx.SetConnectionClose()
			out.answered.Add(1)
		}
	}
	s.ConnState = out.setState
	return out
}

func (s *Server) setState(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state, time.Now()}
	if state == fasthttp.StateActive && s.stopping.Load() {
		s.renewReadDeadline(c)
	}
}

// renewReadDeadline replaces the deadline in the past that closeIdle may have set
// just before the first byte of a request was read.
func (s *Server) renewReadDeadline(c net.Conn) {
	var at time.Time
	if s.http.ReadTimeout > 0 {
		at = time.Now().Add(s.http.ReadTimeout)
	}
	setClosing(c, false)
	s.setReadDeadline(c, at)
}

func (s *Server) setReadDeadline(c net.Conn, at time.Time) {
	if err := c.SetReadDeadline(at); err != nil {
		s.log.Debug("read deadline not set", "server", s.name, "peer", c.RemoteAddr(), "err", err)
	}
}

// Serve serves until Shutdown is called or the listener fails.
func (s *Server) Serve() error {
	s.mu.Lock()
	s.begun = true
	s.mu.Unlock()
	defer close(s.served)
	if err := s.http.Serve(s.ln); err != nil && !s.stopping.Load() {
		return fmt.Errorf("%s: serve on %s: %w", s.name, s.addr, err)
	}
	return nil
}

// Run serves until ctx ends and then shuts down within timeout. Requests that are
// cut off at the time-out are logged.
func (s *Server) Run(ctx context.Context, timeout time.Duration) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		if err := s.Shutdown(shutdownCtx); err != nil {
			s.log.Error("requests cut off", "err", err)
		}
	})
	err := s.Serve()
	if !stop() {
		<-stopped
	}
	return err
}

// Shutdown stops the server. It returns once every request that was read has been
// answered and every connection is closed. If ctx ends first, it closes the
// remaining connections and returns an error with the number of requests cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	open, inProgress := s.count()
	s.stopping.Store(true)
	s.log.Info("server is stopping", "server", s.name, "open", open, "in_progress", inProgress)
	if err := s.closeListener(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for {
		s.closeIdle()
		open, inProgress := s.count()
		if open == 0 {
			s.log.Info("server stopped", "server", s.name, "answered", s.answered.Load())
			return nil
		}
		select {
		case <-ctx.Done():
			s.closeAll()
			return fmt.Errorf("%s: stop serving on %s: %d connections open, %d requests in progress: %w",
				s.name, s.addr, open, inProgress, ctx.Err())
		case <-ticker.C:
		}
	}
}

// closeListener closes the listener once no connection waits to be accepted, and
// waits for Serve to register the last one.
func (s *Server) closeListener(ctx context.Context) error {
	for s.serving() && hasBacklog(s.socket) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := s.ln.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%s: close listener on %s: %w", s.name, s.addr, err)
	}
	if s.serving() {
		<-s.served
	}
	return nil
}

// serving reports whether Serve was called. If it is called later, it returns at
// once because the listener is closed.
func (s *Server) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.begun
}

func (s *Server) count() (open, inProgress int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.state == fasthttp.StateActive {
			inProgress++
		}
	}
	return len(s.conns), inProgress
}

// closeIdle ends the wait for a request on each quiet connection. The HTTP server
// then closes the connection, unless bytes have arrived (see conn.Read).
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c, info := range s.conns {
		if info.idle(now) {
			setClosing(c, true)
			s.setReadDeadline(c, time.Unix(1, 0))
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // the request is reported as cut off
	}
}
