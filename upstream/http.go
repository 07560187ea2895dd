package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Statuses of answers about tasks.
const (
	statusOK       = fasthttp.StatusOK
	statusConflict = fasthttp.StatusConflict
	statusFailed   = fasthttp.StatusInternalServerError
	statusStopped  = fasthttp.StatusGone
	statusBusy     = fasthttp.StatusServiceUnavailable
)

// maxRunTime bounds a run whose request names no bound.
const maxRunTime = time.Hour

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == PathFault {
		s.handleFault(ctx)
		return
	}
	s.awaitThaw()
	id, isTask := strings.CutPrefix(path, PathTasks)
	switch {
	case path == PathHealth:
	case path == PathJournal:
		ctx.SetContentType("application/json")
		ctx.SetBody(encode(s.Journal()))
	case isTask && ctx.IsPost():
		s.handleRun(ctx, id)
	case isTask && ctx.IsDelete():
		s.handleStop(ctx, id)
	case isTask && ctx.IsGet():
		s.handleStatus(ctx, id)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
	s.awaitThaw()
}

// awaitThaw blocks while the upstream is frozen.
func (s *Server) awaitThaw() {
	select {
	case <-s.fault.unfrozen():
	case <-s.killed.Done():
	}
}

func (s *Server) handleRun(ctx *fasthttp.RequestCtx, id string) {
	p, err := decodePayload(ctx.PostBody())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	j, state := s.tasks.start(id)
	if j == nil {
		ctx.Response.Header.Set(HeaderTaskState, state)
		ctx.SetStatusCode(statusBusy)
		return
	}
	r := s.tasks.run(id, j, p, runTimeLimit(ctx))
	s.tasks.finish(id, j, r)
	writeResult(ctx, r)
}

func runTimeLimit(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := strconv.ParseInt(string(ctx.Request.Header.Peek(HeaderRunWithin)), 10, 32)
	if err != nil || ms < 0 {
		return maxRunTime
	}
	return time.Duration(ms) * time.Millisecond
}

func decodePayload(body []byte) (Payload, error) {
	var p Payload
	if len(body) == 0 {
		return p, nil
	}
	if err := json.Unmarshal(body, &p); err != nil {
		return p, fmt.Errorf("upstream: decode payload: %w", err)
	}
	if p.RunMS < 0 || p.RunMS > float64(maxRunTime/time.Millisecond) {
		return p, fmt.Errorf("upstream: run_ms %v is out of bounds", p.RunMS)
	}
	return p, nil
}

func (s *Server) handleStop(ctx *fasthttp.RequestCtx, id string) {
	if !s.tasks.stop(id) {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.Response.Header.Set(HeaderTaskState, TaskStopped)
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx, id string) {
	r, ok := s.tasks.status(id)
	switch {
	case !ok:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case r == nil:
		ctx.Response.Header.Set(HeaderTaskState, TaskRunning)
	default:
		writeResult(ctx, *r)
	}
}

func writeResult(ctx *fasthttp.RequestCtx, r result) {
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(HeaderTaskState, r.state)
	ctx.SetStatusCode(r.status)
	ctx.SetBody(r.body)
}

func (s *Server) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := s.SetFault(f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
	}
}

// post sends a JSON body to the agent.
func (s *Server) post(path string, body any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + s.opts.Agent + path)
	req.SetBody(encode(body))
	if err := s.client.DoTimeout(req, resp, announceTimeout); err != nil {
		return fmt.Errorf("upstream: post %s to agent %s: %w", path, s.opts.Agent, err)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("upstream: post %s to agent %s: status %d: %s", path, s.opts.Agent, code, resp.Body())
	}
	return nil
}
