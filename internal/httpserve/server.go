// Package httpserve runs HTTP servers that answer every request they have read
// before they stop.
//
// When a server is told to stop, it closes its listener once no connection waits
// to be accepted. A connection with a request in progress is closed after its
// answer, and one without a request only if no byte of one has arrived. Clients
// may use their connections until then.
//
// A Gate bounds the connections and the bodies that the servers of a process hold.
package httpserve

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
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
	// defaultWriteTimeout bounds the time to write an answer.
	defaultWriteTimeout = 10 * time.Second
	// readBufferBytes is the size of the buffer of a connection that holds the headers
	// of a request: DefaultHeaderBytes and the end of what is read with them.
	readBufferBytes = DefaultHeaderBytes + 2<<10
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
	gate   *Gate
	// onError answers a request that was not read completely; nil for the default.
	onError func(*fasthttp.RequestCtx, error)
	// maxBody, readTimeout and idleTimeout are those that the server was made with.
	maxBody                  int
	readTimeout, idleTimeout time.Duration
	// limits returns the limits of the requests that are read now.
	limits func() RequestLimits

	// quiet is quietTime, except in tests.
	quiet    time.Duration
	stopping atomic.Bool
	// answered counts the requests answered since the server began to stop.
	answered atomic.Int64

	// The fields below are guarded by the gate's lock.
	begun bool
	// served is closed when Serve returns.
	served chan struct{}
	conns  map[net.Conn]*connState
	// stopBegan is when the server was told to stop.
	stopBegan time.Time
}

// Option changes a Server.
type Option func(*Server)

// WithGate makes a server share a gate with others. Otherwise it has its own, with the
// default limits.
func WithGate(g *Gate) Option { return func(s *Server) { s.gate = g } }

// WithRequestLimits makes a server apply the limits that the function returns, which is
// called from any goroutine and must not block.
func WithRequestLimits(limits func() RequestLimits) Option {
	return func(s *Server) { s.limits = limits }
}

// New returns a server that is not serving yet. The name identifies it in log
// lines and errors. It takes over the Handler, the time-outs and the ConnState hook of s.
// With a TLS configuration, connections from ln use TLS. Temporary errors of ln don't end
// the server. Unless s has an ErrorHandler, a request that does not arrive within
// its ReadTimeout ends the connection without an answer; a connection on which
// nothing has arrived always ends so.
func New(name string, s *fasthttp.Server, ln net.Listener, conf *tls.Config, l *log.Logger, options ...Option) *Server {
	out := &Server{
		name: name, addr: ln.Addr(), http: s, socket: ln, log: l, quiet: quietTime,
		limits:  func() RequestLimits { return RequestLimits{} },
		onError: s.ErrorHandler, maxBody: s.MaxRequestBodySize, readTimeout: s.ReadTimeout, idleTimeout: s.IdleTimeout,
		served: make(chan struct{}),
		conns:  make(map[net.Conn]*connState),
	}
	for _, o := range options {
		o(out)
	}
	if out.gate == nil {
		out.gate = NewGate(name, Limits{}, nil, l)
	}
	if out.maxBody <= 0 {
		out.maxBody = fasthttp.DefaultMaxRequestBodySize
	}
	if out.idleTimeout == 0 {
		out.idleTimeout = out.readTimeout
	}
	if err := limitSocket(ln, out.gate.limits); err != nil {
		l.Warn("queue and buffers of the listener not bounded", "server", name, "addr", ln.Addr(), "err", err)
	}
	raw := &listener{Listener: netlisten.Wrap(ln, l), gate: out.gate, watcher: &watcher{}, closesLate: s.ErrorHandler == nil, plain: conf == nil}
	out.ln = raw
	if conf != nil {
		out.ln = tls.NewListener(raw, conf)
	}
	out.configure(s)
	return out
}

// configure makes the HTTP server read through the gate.
func (s *Server) configure(h *fasthttp.Server) {
	handler := h.Handler
	h.Handler = func(ctx *fasthttp.RequestCtx) { s.serveRequest(ctx, handler) }
	h.ConnState = s.setState
	// Listeners of package net enable keep-alive; here, a failure to do so on one
	// connection would end the server.
	h.TCPKeepalive = false
	// The server reads bodies itself, once there is room for them. A form would be
	// parsed before that.
	h.StreamRequestBody, h.DisablePreParseMultipartForm = true, true
	if h.ReadBufferSize == 0 {
		h.ReadBufferSize = readBufferBytes
	}
	// setState sets the other deadlines.
	h.ReadTimeout, h.IdleTimeout = 0, 0
	h.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: s.readTimeout}
	}
	if h.WriteTimeout == 0 {
		h.WriteTimeout = defaultWriteTimeout
	}
}

// serveRequest reads the body of a request and runs the handler.
func (s *Server) serveRequest(ctx *fasthttp.RequestCtx, handler fasthttp.RequestHandler) {
	var reserved int
	err := ErrHeadersTooLarge
	if s.headersFit(&ctx.Request.Header) {
		reserved, err = s.readBody(ctx)
	}
	defer s.releaseBody(ctx, reserved)
	if err != nil {
		s.rejectRequest(ctx, err)
		return
	}
	if !s.beginHandling(ctx.Conn()) {
		ctx.SetConnectionClose()
		return
	}
	s.handle(ctx, handler)
	s.endHandling(ctx.Conn())
	if s.stopping.Load() {
		ctx.SetConnectionClose()
		s.answered.Add(1)
	}
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

// begin records that Serve is about to accept connections, so that a shutdown waits for
// those in the backlog.
func (s *Server) begin() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
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
	s.gate.mu.Lock()
	s.stopBegan = time.Now()
	s.gate.mu.Unlock()
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
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	select {
	case <-s.served:
		return false
	default:
		return s.begun
	}
}

func (s *Server) count() (open, inProgress int) {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
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
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	now := time.Now()
	for c, info := range s.conns {
		switch {
		case info.handling:
		case info.state == fasthttp.StateActive:
			if now.Sub(info.since) >= requestReadTime && now.Sub(s.stopBegan) >= requestReadTime {
				info.setReadDeadline(longPast)
			}
		case now.Sub(info.since) >= s.quiet && now.Sub(lastArrival(c)) >= s.quiet:
			info.closeIfIdle()
		}
	}
}

func (s *Server) closeAll() {
	s.gate.mu.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.gate.mu.Unlock()
	for _, c := range open {
		_ = c.Close() // Shutdown reports the connection
	}
}
