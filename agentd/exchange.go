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
	tasksPrefix      = upstream.PathTasks
	maxResponseBytes = 7 << 20
)

// response is an HTTP response of the upstream.
type response struct {
	status int
	state  string
	body   []byte
	// connClose is set if the upstream closes the connection after the response.
	connClose bool
}

func (a response) running() bool  { return a.state == upstream.TaskRunning }
func (a response) stopped() bool  { return a.state == upstream.TaskStopped }
func (a response) notFound() bool { return a.status == fasthttp.StatusNotFound && a.state == "" }

// runEnded converts a response into the event that ends its run.
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

// runTask sends a task and waits for the response until responseGrace after the run
// timeout.
func (c *upstreamConn) runTask(run *activeRun, runTimeout time.Duration) (response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, fasthttp.MethodPost, taskPath(run.ID))
	req.Header.Set(upstream.HeaderRunWithin, strconv.FormatInt(max(0, runTimeout.Milliseconds()), 10))
	req.SetBody(run.Payload)
	return c.exchange(req, max(0, runTimeout)+responseGrace)
}

func (c *upstreamConn) prepare(req *fasthttp.Request, method, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.pool.addr + path)
}

// exchange sends a request and reads the response. The connection cannot be used
// again after an error.
func (c *upstreamConn) exchange(req *fasthttp.Request, timeout time.Duration) (response, error) {
	c.bytesWritten = 0
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
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
	if err := resp.ReadLimitBody(c.r, maxResponseBytes); err != nil {
		return response{}, fmt.Errorf("agent: read from upstream %s: %w", c.pool.addr, err)
	}
	return response{
		status:    resp.StatusCode(),
		state:     string(resp.Header.Peek(upstream.HeaderTaskState)),
		body:      append([]byte(nil), resp.Body()...),
		connClose: resp.ConnectionClose(),
	}, nil
}

// requestTask sends a request without a body about a task on a new connection.
func requestTask(p *pool, method string, id task.ID) (response, error) {
	return requestPath(p, method, taskPath(id))
}

// requestHealth sends a health check to the upstream on a new connection.
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
	resp, err := c.exchange(req, requestTimeout)
	if err != nil {
		c.discard()
		return response{}, err
	}
	c.reuse(resp)
	return resp, nil
}
