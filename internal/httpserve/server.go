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
	"github.com/fireflytray/fireflytray/internal/stacks"
)

const (
	// stopPollInterval is how often a stopping server looks for connections that
	// can be closed.
	stopPollInterval = 5 * time.Millisecond
	// quietTime is how long a connection must have been without a request before a
	// stopping server closes it. Clients send the first request as soon as they
	// are connected, and busy ones the next as soon as they have an answer.
	quietTime = 100 * time.Millisecond
	// requestReadTime is how long a stopping server waits for the rest of a
	// request.
	requestReadTime = 250 * time.Millisecond
)

// longPast is a deadline that ends a read at once.
var longPast = time.Unix(1, 0)

// Server serves one listener.
type Server struct {
	name string
	addr net.Addr
	http *fasthttp.Server
	// socket is the listener that New was given; ln wraps it.
	socket net.Listener
	ln     net.Listener
	log    *log.Logger

	// quiet is quietTime, except in tests.
	quiet    time.Duration
	stopping atomic.Bool
	// answered counts the requests answered since the server began to stop.
	answered atomic.Int64

	mu    sync.Mutex
	begun bool
	// served is closed when Serve returns.
	served chan struct{}
	conns  map[net.Conn]*connState
	// stopBegan is when the server was told to stop.
	stopBegan time.Time
}

// connState is the state of an open connection.
type connState struct {
	state fasthttp.ConnState
	// since is the time of the last change of state.
	since time.Time
	// handling is set while the handler runs for a request.
	handling bool
}

// New returns a server that is not serving yet. The name identifies it in log
// lines and errors. It takes over the Handler and the ConnState hook of s. With a
// TLS configuration, connections from ln use TLS. Temporary errors of ln don't end
// the server. Unless s has an ErrorHandler, a request that does not arrive within
// its ReadTimeout ends the connection without an answer; a connection on which
// nothing has arrived always ends so.
func New(name string, s *fasthttp.Server, ln net.Listener, conf *tls.Config, l *log.Logger) *Server {
	raw := &listener{netlisten.Wrap(ln, l), &watcher{}, s.ErrorHandler == nil}
	out := &Server{
		name: name, addr: ln.Addr(), http: s, socket: ln, ln: raw, log: l, quiet: quietTime,
		served: make(chan struct{}),
		conns:  make(map[net.Conn]*connState),
	}
	if conf != nil {
		out.ln = tls.NewListener(raw, conf)
	}
	handler := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		out.setHandling(ctx.Conn(), true)
		out.handle(ctx, handler)
		out.setHandling(ctx.Conn(), false)
		if out.stopping.Load() {
			ctx.SetConnectionClose()
			out.answered.Add(1)
		}
	}
	s.ConnState = out.setState
	// Listeners of package net enable keep-alive; here, a failure to do so on one
	// connection would end the server.
	s.TCPKeepalive = false
	return out
}

// handle runs the handler. A panic ends its request, not the process: the answer is
// 500, which does not say that the request has not run.
func (s *Server) handle(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	defer func() {
		if v := recover(); v != nil {
			err := stacks.Recovered("handle request", v)
			s.log.Error("request failed", "server", s.name, "peer", ctx.RemoteAddr(), "err", err)
			ctx.Response.Reset()
			ctx.Error("internal error, the request may have run", fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
		}
	}()
	handler(ctx)
}

func (s *Server) setState(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
		return
	}
	s.conns[c] = &connState{state: state, since: time.Now()}
	if state == fasthttp.StateActive && s.stopping.Load() {
		s.renewReadDeadline(c)
	}
}

func (s *Server) setHandling(c net.Conn, handling bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if info := s.conns[c]; info != nil {
		info.handling = handling
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

// begin records that Serve is about to accept connections, so that a shutdown waits for
// those in the backlog.
func (s *Server) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun = true
}

// Serve serves until Shutdown is called or the listener fails.
func (s *Server) Serve() error {
	s.begin()
	defer close(s.served)
	if err := s.http.Serve(s.ln); err != nil && !s.stopping.Load() {
		return fmt.Errorf("%s: serve on %s: %w", s.name, s.addr, err)
	}
	return nil
}

// Run serves until ctx ends or the listener fails, and then shuts down within
// timeout. An incomplete shutdown is logged.
func (s *Server) Run(ctx context.Context, timeout time.Duration) error {
	stopped := make(chan struct{})
	shutdown := func() {
		defer close(stopped)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		if err := s.Shutdown(shutdownCtx); err != nil {
			s.log.Error("connections cut off", "err", err)
		}
	}
	s.begin()
	stop := context.AfterFunc(ctx, shutdown)
	err := s.Serve()
	if stop() {
		shutdown()
	}
	<-stopped
	return err
}

// Shutdown stops the server. It returns once every request that was read has been
// answered and every connection is closed. If ctx ends first, it closes the
// remaining connections and returns an error with the number of requests cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	open, inProgress := s.count()
	s.mu.Lock()
	s.stopBegan = time.Now()
	s.mu.Unlock()
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
		s.closeIdle() // frees descriptors, without which no connection is accepted
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

// serving reports whether Serve was called and has not returned.
func (s *Server) serving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.served:
		return false
	default:
		return s.begun
	}
}

func (s *Server) count() (open, inProgress int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if c.handling {
			inProgress++
		}
	}
	return len(s.conns), inProgress
}

// closeIdle ends the wait for a request on each quiet connection, and the wait for
// the rest of a request after requestReadTime. The HTTP server then closes the
// connection, unless bytes have arrived (see conn.Read).
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c, info := range s.conns {
		switch {
		case info.handling:
		case info.state == fasthttp.StateActive:
			if now.Sub(info.since) >= requestReadTime && now.Sub(s.stopBegan) >= requestReadTime {
				s.setReadDeadline(c, longPast)
			}
		case now.Sub(info.since) >= s.quiet && now.Sub(lastArrival(c)) >= s.quiet:
			setClosing(c, true)
			s.setReadDeadline(c, longPast)
		}
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close() // Shutdown reports the connection
	}
}
