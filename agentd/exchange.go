package agentd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
)

const (
	tasksPrefix     = upstream.PathTasks
	maxResponseBody = 7 << 20
)

// response is what the upstream said.
type response struct {
	status int
	state  string
	body   []byte
	// connClose is set if the upstream closes the connection.
	connClose bool
}

func (a response) running() bool  { return a.state == upstream.TaskRunning }
func (a response) stopped() bool  { return a.state == upstream.TaskStopped }
func (a response) notFound() bool { return a.status == fasthttp.StatusNotFound && a.state == "" }

// runEnded translates an answer about a run that has ended.
func (a response) runEnded() agent.RunEnded {
	switch {
	case a.state == upstream.TaskRefused:
		return agent.RunEnded{End: agent.EndBusy}
	case a.state == upstream.TaskDuplicate, a.state == upstream.TaskRunning:
		return agent.RunEnded{End: agent.EndLost}
	case a.state == upstream.TaskStopped:
		return agent.RunEnded{End: agent.EndStopped}
	case a.status >= 200 && a.status < 300:
		return agent.RunEnded{End: agent.EndComplete, Body: a.body}
	}
	return agent.RunEnded{End: agent.EndFailed, Body: a.body}
}

// runTask sends a task and waits for its answer.
func (c *upstreamConn) runTask(x *activeRun, within time.Duration) (response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, fasthttp.MethodPost, taskPath(x.ID))
	req.Header.Set(upstream.HeaderRunWithin, strconv.FormatInt(max(0, within.Milliseconds()), 10))
	req.SetBody(x.Payload)
	return c.exchange(req, max(0, within)+responseGrace)
}

func (c *upstreamConn) prepare(req *fasthttp.Request, method, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.pool.addr + path)
}

// exchange sends a request and reads the answer. An error leaves the
// connection unusable.
func (c *upstreamConn) exchange(req *fasthttp.Request, within time.Duration) (response, error) {
	c.bytesWritten = 0
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return response{}, fmt.Errorf("agent: set deadline of upstream %s: %w", c.pool.addr, err)
	}
	if err := req.Write(c.w); err != nil {
		return response{}, fmt.Errorf("agent: write to upstream %s: %w", c.pool.addr, err)
	}
	if err := c.w.Flush(); err != nil {
		return response{}, fmt.Errorf("agent: write to upstream %s: %w", c.pool.addr, err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, maxResponseBody); err != nil {
		return response{}, fmt.Errorf("agent: read from upstream %s: %w", c.pool.addr, err)
	}
	return response{
		status:    resp.StatusCode(),
		state:     string(resp.Header.Peek(upstream.HeaderTaskState)),
		body:      append([]byte(nil), resp.Body()...),
		connClose: resp.ConnectionClose(),
	}, nil
}

// requestTask sends a bodyless request about a task on a new connection.
func requestTask(p *pool, method string, id task.ID) (response, error) {
	return requestPath(p, method, taskPath(id))
}

// requestHealth asks whether the upstream answers at all.
func requestHealth(p *pool) (response, error) {
	return requestPath(p, fasthttp.MethodGet, upstream.PathHealth)
}

func requestPath(p *pool, method, path string) (response, error) {
	c, err := p.dial()
	if err != nil {
		return response{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, method, path)
	a, err := c.exchange(req, requestTimeout)
	if err != nil {
		c.discard()
		return response{}, err
	}
	c.reuse(a)
	return a, nil
}
