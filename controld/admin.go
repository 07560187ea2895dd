package controld

import (
	"context"
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
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/internal/strictjson"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	adminReadTimeout  = 10 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminIdleTimeout  = time.Minute
	adminConcurrency  = 64
	// adminStopTimeout bounds how long requests in progress delay the end of the
	// host.
	adminStopTimeout = 2 * time.Second
	// barrierTimeout bounds how long a read waits for the latest state.
	barrierTimeout = time.Second
)

// adminLimits leave room for one backup at a time.
var adminLimits = httpserve.Limits{Connections: adminConcurrency, BodyBytes: adminapi.MaxBody, SocketBytes: 256 << 10}

// adminCall is one request of an operator.
type adminCall struct {
	*fasthttp.RequestCtx
	ctx      context.Context
	operator control.Operator
}

// handler handles a request. It returns a value to encode as JSON, raw bytes, or an
// error.
type handler func(*adminCall) (any, error)

// serveAdmin serves the admin interface until ctx ends. Requests are handled under
// handling.
func (h *Host) serveAdmin(ctx, handling context.Context) error {
	ln, err := h.adminListener()
	if err != nil || ln == nil {
		return err
	}
	server := &fasthttp.Server{
		Name:               "fireflytray",
		Handler:            h.adminHandler(handling),
		ReadTimeout:        adminReadTimeout,
		WriteTimeout:       adminWriteTimeout,
		IdleTimeout:        adminIdleTimeout,
		Concurrency:        adminConcurrency,
		MaxRequestBodySize: adminapi.MaxBody,
		Logger:             h.log,
	}
	conf := h.opts.Identity.ServerTLS(wire.RoleOperator)
	gate := httpserve.NewGate("admin", adminLimits, h.opts.Transport.Scope, h.log)
	if err := httpserve.New("admin interface", server, ln, conf, h.log, httpserve.WithGate(gate)).Run(ctx, adminStopTimeout); err != nil {
		return fmt.Errorf("controld: %w", err)
	}
	return nil
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

		"POST " + adminapi.PathEvacuations: h.adminEvacuate,
		"GET " + adminapi.PathEvacuations:  h.adminEvacuations,
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

// decode decodes the JSON body of the request into v.
func (c *adminCall) decode(v any) error {
	if err := strictjson.Unmarshal(c.PostBody(), v); err != nil {
		return badRequest(fmt.Errorf("decode request: %w", err))
	}
	return nil
}

func badRequest(err error) *adminapi.Problem {
	return &adminapi.Problem{Type: adminapi.TypeBadRequest, Title: "Bad request", Status: fasthttp.StatusBadRequest, Detail: err.Error()}
}

// problemOf converts an error to an error response.
func problemOf(err error) *adminapi.Problem {
	var p *adminapi.Problem
	var refused *refusedError
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &refused):
		return &adminapi.Problem{Type: adminapi.TypeRefused, Title: "Refused", Status: fasthttp.StatusConflict, Detail: err.Error()}
	case errors.As(err, &tooLarge):
		return &adminapi.Problem{Type: adminapi.TypeRefused, Title: "Too large", Status: fasthttp.StatusRequestEntityTooLarge, Detail: err.Error()}
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

// waitCurrent waits until all changes accepted before the call are applied on this
// host. It returns false if that fails within barrierTimeout; the local state may
// then be outdated.
func (h *Host) waitCurrent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	_, err := h.replica.Barrier(ctx)
	return err == nil
}
