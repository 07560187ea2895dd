package controld

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/adminapi"
	"github.com/fireflytray/fireflytray/control"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpstop"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	adminReadTimeout  = 10 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminIdleTimeout  = time.Minute
	adminConcurrency  = 64
	// barrierTimeout bounds the wait of a read for the newest state.
	barrierTimeout = time.Second
)

// adminCall is one operator's request.
type adminCall struct {
	*fasthttp.RequestCtx
	ctx      context.Context
	operator control.Operator
}

// handler answers a call with a value for JSON, raw bytes, or an error.
type handler func(*adminCall) (any, error)

// serveAdmin serves the operators' interface until ctx ends.
func (h *Host) serveAdmin(ctx context.Context) error {
	ln, err := h.adminListener()
	if err != nil || ln == nil {
		return err
	}
	tlsLn := tls.NewListener(ln, h.opts.Identity.ServerTLS(wire.RoleOperator))
	server := &fasthttp.Server{
		Name:               "fireflytray",
		Handler:            h.adminHandler(ctx),
		ReadTimeout:        adminReadTimeout,
		WriteTimeout:       adminWriteTimeout,
		IdleTimeout:        adminIdleTimeout,
		Concurrency:        adminConcurrency,
		MaxRequestBodySize: adminapi.MaxBody,
		CloseOnShutdown:    true,
		Logger:             h.log,
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.Background(), adminWriteTimeout)
		defer cancel()
		_ = httpstop.Shutdown(closing, server, tlsLn)
	}()
	err = server.Serve(tlsLn)
	if ctx.Err() != nil {
		<-stopped
		return nil
	}
	return fmt.Errorf("admin interface: %w", err)
}

func (h *Host) adminListener() (net.Listener, error) {
	if h.opts.AdminListener != nil || h.opts.Admin == "" {
		return h.opts.AdminListener, nil
	}
	ln, err := net.Listen("tcp", h.opts.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin interface: listen %s: %w", h.opts.Admin, err)
	}
	return ln, nil
}

func (h *Host) routes() map[string]handler {
	return map[string]handler{
		"POST " + adminapi.PathCheck:    h.adminCheck,
		"POST " + adminapi.PathDiff:     h.adminDiff,
		"POST " + adminapi.PathApply:    h.adminApply,
		"POST " + adminapi.PathRollback: h.adminRollback,
		"GET " + adminapi.PathConfig:    h.adminConfig,
		"GET " + adminapi.PathStatus:    h.adminStatus,
		"GET " + adminapi.PathHistory:   h.adminHistory,
		"GET " + adminapi.PathAudit:     h.adminAudit,
		"GET " + adminapi.PathControl:   h.adminControl,
		"POST " + adminapi.PathMembers:  h.adminMembers,
		"GET " + adminapi.PathBackup:    h.adminBackup,
		"POST " + adminapi.PathRestore:  h.adminRestore,
		"GET " + adminapi.PathFleet:     h.adminFleet,
	}
}

func (h *Host) adminHandler(ctx context.Context) fasthttp.RequestHandler {
	routes := h.routes()
	return func(rc *fasthttp.RequestCtx) {
		c := &adminCall{RequestCtx: rc, ctx: ctx}
		run, ok := routes[string(rc.Method())+" "+string(rc.Path())]
		if !ok {
			c.problem(&adminapi.Problem{Type: adminapi.TypeNotFound, Title: "Not found", Status: fasthttp.StatusNotFound,
				Detail: fmt.Sprintf("there is no %s %s", rc.Method(), rc.Path())})
			return
		}
		state := rc.TLSConnectionState()
		name, err := h.opts.Identity.PeerName(*state)
		if err != nil {
			c.problem(badRequest(err))
			return
		}
		c.operator = control.Operator{Name: name.ID, Addr: rc.RemoteAddr().String()}
		out, err := run(c)
		rc.Response.Header.Set(adminapi.HeaderFresh, strconv.FormatBool(h.fresh.Load()))
		c.answer(out, err)
	}
}

func (c *adminCall) answer(out any, err error) {
	if err != nil {
		c.problem(problemOf(err))
		return
	}
	if raw, ok := out.([]byte); ok {
		c.SetContentType("application/octet-stream")
		c.SetBody(raw)
		return
	}
	c.json(adminapi.JSONType, out)
}

func (c *adminCall) json(contentType string, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType(contentType)
	c.SetBody(body)
}

func (c *adminCall) problem(p *adminapi.Problem) {
	c.SetStatusCode(p.Status)
	c.json(adminapi.ProblemType, p)
}

// decode reads the request's JSON.
func (c *adminCall) decode(v any) error {
	if err := json.Unmarshal(c.PostBody(), v); err != nil {
		return badRequest(fmt.Errorf("decode request: %w", err))
	}
	return nil
}

func badRequest(err error) *adminapi.Problem {
	return &adminapi.Problem{Type: adminapi.TypeBadRequest, Title: "Bad request", Status: fasthttp.StatusBadRequest, Detail: err.Error()}
}

// problemOf turns an error into an answer.
func problemOf(err error) *adminapi.Problem {
	var p *adminapi.Problem
	var refused *refusedError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &refused):
		return &adminapi.Problem{Type: adminapi.TypeRefused, Title: "Refused", Status: fasthttp.StatusConflict, Detail: err.Error()}
	case errors.Is(err, ErrUnknownOutcome):
		return &adminapi.Problem{Type: adminapi.TypeUnknown, Title: "Outcome unknown", Status: fasthttp.StatusGatewayTimeout, Detail: err.Error()}
	}
	if problems := fleet.Problems(err); problems != nil {
		return invalid(problems)
	}
	return &adminapi.Problem{Type: adminapi.TypeNotFresh, Title: "No quorum", Status: fasthttp.StatusServiceUnavailable, Detail: err.Error()}
}

func invalid(problems []fleet.Problem) *adminapi.Problem {
	p := &adminapi.Problem{Type: adminapi.TypeInvalid, Title: "Invalid configuration", Status: fasthttp.StatusUnprocessableEntity,
		Detail: fmt.Sprintf("the configuration has %d problems", len(problems))}
	for _, one := range problems {
		p.Problems = append(p.Problems, one.String())
	}
	return p
}

// waitCurrent waits until this host has all that was accepted before the call. It
// returns false if it can't, and the answer may be old.
func (h *Host) waitCurrent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	_, err := h.replica.Barrier(ctx)
	return err == nil
}
