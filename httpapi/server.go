package httpapi

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/task"
)

// noRoomRetryAfter is the retry delay for a request whose body found no room.
const noRoomRetryAfter = time.Second

// drainPollInterval is how often a drain checks whether it is complete.
const drainPollInterval = 20 * time.Millisecond

// Server serves the HTTP API of one entry.
type Server struct {
	cfg     Config
	backend Backend
	jobs    *registry
	http    *httpserve.Server
	// shuttingDown withdraws readiness; rejecting, set after ShutdownDelay,
	// rejects new submissions.
	shuttingDown atomic.Bool
	rejecting    atomic.Bool
	// inFlight counts submission requests whose handlers have not returned.
	inFlight atomic.Int64
}

// New returns a server that passes submissions to backend. Serve accepts
// connections from ln.
func New(backend Backend, ln net.Listener, cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, backend: backend, jobs: newRegistry(cfg, time.Now)}
	s.http = httpserve.New("callers", &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleReadError,
		Name:                          "fireflytray",
		MaxRequestBodySize:            cfg.MaxBody,
		ReadTimeout:                   cfg.ReadTimeout,
		IdleTimeout:                   cfg.IdleTimeout,
		DisablePreParseMultipartForm:  true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        discardLogger{},
	}, ln, nil, cfg.Log, httpserve.WithGate(cfg.Gate))
	return s
}

// discardLogger discards the log lines of the HTTP library.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// Serve handles requests until Shutdown is called or the listener fails.
func (s *Server) Serve() error {
	if err := s.http.Serve(); err != nil {
		return fmt.Errorf("http: %w", err)
	}
	return nil
}

// Shutdown drains and closes the server. It returns early only if ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Join(s.Drain(ctx), s.Close(ctx))
}

// Drain withdraws readiness, waits for ShutdownDelay and then rejects new
// submissions. It waits for the answers of submissions in flight and, for at most
// CollectGrace, for callers to collect asynchronous jobs. It returns early only if
// ctx ends. The server still serves: Close ends it.
func (s *Server) Drain(ctx context.Context) error {
	s.shuttingDown.Store(true)
	sleep(ctx, s.cfg.ShutdownDelay)
	s.rejecting.Store(true)
	return s.awaitDrain(ctx)
}

// Close closes the listener and, once the requests that were read are answered,
// the connections. It returns early only if ctx ends.
func (s *Server) Close(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("http: %w", err)
	}
	return nil
}

// awaitDrain waits until no submission is in flight, and then for at most
// CollectGrace until all asynchronous jobs have been collected.
func (s *Server) awaitDrain(ctx context.Context) error {
	var graceDeadline time.Time
	for {
		total, pending := s.jobs.uncollected()
		busy := s.inFlight.Load() > 0 || pending > 0
		if busy {
			graceDeadline = time.Now().Add(s.cfg.CollectGrace)
		}
		if !busy && (total == 0 || time.Now().After(graceDeadline)) {
			return nil
		}
		if graceDeadline.IsZero() {
			graceDeadline = time.Now().Add(s.cfg.CollectGrace)
		}
		if !sleep(ctx, drainPollInterval) {
			return fmt.Errorf("http: drain interrupted with %d requests and %d jobs in flight: %w",
				s.inFlight.Load(), pending, ctx.Err())
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if s.shuttingDown.Load() {
		ctx.SetConnectionClose()
	}
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleHealth)
	case path == "/readyz":
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleReady)
	case path == "/v1/status":
		s.requireMethod(ctx, fasthttp.MethodGet, s.handleStatus)
	case path == "/v1/cancel":
		s.requireMethod(ctx, fasthttp.MethodPost, s.handleCancel)
	case strings.HasPrefix(path, "/v1/jobs/"):
		s.routeJob(ctx, strings.TrimPrefix(path, "/v1/jobs/"))
	case strings.HasPrefix(path, "/v1/services/"):
		s.routeService(ctx, strings.TrimPrefix(path, "/v1/services/"))
	default:
		notFound("no such path: " + path).write(ctx)
	}
}

func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, h func(*fasthttp.RequestCtx)) {
	if string(ctx.Method()) != method {
		badMethod(ctx, method)
		return
	}
	h(ctx)
}

func (s *Server) routeJob(ctx *fasthttp.RequestCtx, id string) {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet:
		s.handleCollect(ctx, id)
	case fasthttp.MethodDelete:
		s.handleDelete(ctx, id)
	default:
		badMethod(ctx, fasthttp.MethodGet+", "+fasthttp.MethodDelete)
	}
}

func (s *Server) routeService(ctx *fasthttp.RequestCtx, rest string) {
	service, resource, _ := strings.Cut(rest, "/")
	var h func(*fasthttp.RequestCtx, string)
	switch resource {
	case "requests":
		h = s.handleRequest
	case "jobs":
		h = s.handleJob
	default:
		notFound("no such path: " + string(ctx.Path())).write(ctx)
		return
	}
	if err := checkName("service", service); err != nil {
		badRequest(err).write(ctx)
		return
	}
	s.requireMethod(ctx, fasthttp.MethodPost, func(ctx *fasthttp.RequestCtx) { h(ctx, service) })
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain")
	ctx.SetBodyString("ok\n")
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if ok, detail := s.ready(); !ok {
		reason := task.ReasonBusy
		if s.shuttingDown.Load() {
			reason = task.ReasonDraining
		}
		newProblem(task.NotRun, reason, detail).write(ctx)
		return
	}
	ctx.SetContentType("text/plain")
	ctx.SetBodyString("ready\n")
}

// handleReadError answers a request that could not be read completely.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		tooLarge(fmt.Sprintf("the body is larger than %d bytes", s.cfg.MaxBody)).write(ctx)
		httpserve.AnswerUnreadBody(ctx)
	case errors.Is(err, httpserve.ErrNoRoom):
		p := newProblem(task.NotRun, task.ReasonOverload, "the entry has no room for the body of the request")
		p.RetryAfterMS = noRoomRetryAfter.Milliseconds()
		p.write(ctx)
	case errors.As(err, &small), errors.Is(err, httpserve.ErrHeadersTooLarge):
		p := tooLarge("the headers are too large")
		p.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		p.write(ctx)
	case errors.As(err, &netErr) && netErr.Timeout():
		p := badRequest(fmt.Errorf("the request did not arrive within %v", s.cfg.ReadTimeout))
		p.Status = fasthttp.StatusRequestTimeout
		p.write(ctx)
	default:
		badRequest(fmt.Errorf("read request: %w", err)).write(ctx)
	}
}

func tooLarge(detail string) *Problem {
	return newProblem(task.NotRun, task.ReasonTooLarge, detail)
}

func notFound(detail string) *Problem {
	return newProblem(task.NotRun, ReasonNotFound, detail)
}

func badMethod(ctx *fasthttp.RequestCtx, allow string) {
	ctx.Response.Header.Set(fasthttp.HeaderAllow, allow)
	newProblem(task.NotRun, ReasonBadMethod, "allowed: "+allow).write(ctx)
}
