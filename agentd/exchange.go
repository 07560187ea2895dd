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
	tasksPrefix   = upstream.PathTasks
	maxAnswerBody = 7 << 20
)

// answer is what the upstream said.
type answer struct {
	status int
	state  string
	body   []byte
	// last is set if the upstream closes the connection.
	last bool
}

func (a answer) running() bool { return a.state == upstream.TaskRunning }
func (a answer) stopped() bool { return a.state == upstream.TaskStopped }
func (a answer) missing() bool { return a.status == fasthttp.StatusNotFound && a.state == "" }

// end translates an answer about a run that has ended.
func (a answer) end() agent.RunEnded {
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
func (c *upConn) runTask(x *run, within time.Duration) (answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, fasthttp.MethodPost, taskPath(x.ID))
	req.Header.Set(upstream.HeaderRunWithin, strconv.FormatInt(max(0, within.Milliseconds()), 10))
	req.SetBody(x.Payload)
	return c.exchange(req, max(0, within)+endSlack)
}

func (c *upConn) prepare(req *fasthttp.Request, method, path string) {
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.pool.addr + path)
}

// exchange sends a request and reads the answer. An error leaves the
// connection unusable.
func (c *upConn) exchange(req *fasthttp.Request, within time.Duration) (answer, error) {
	c.written = 0
	if err := c.SetDeadline(time.Now().Add(within)); err != nil {
		return answer{}, fmt.Errorf("agent: set deadline of upstream %s: %w", c.pool.addr, err)
	}
	if err := req.Write(c.w); err != nil {
		return answer{}, fmt.Errorf("agent: write to upstream %s: %w", c.pool.addr, err)
	}
	if err := c.w.Flush(); err != nil {
		return answer{}, fmt.Errorf("agent: write to upstream %s: %w", c.pool.addr, err)
	}
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := resp.ReadLimitBody(c.r, maxAnswerBody); err != nil {
		return answer{}, fmt.Errorf("agent: read from upstream %s: %w", c.pool.addr, err)
	}
	return answer{
		status: resp.StatusCode(),
		state:  string(resp.Header.Peek(upstream.HeaderTaskState)),
		body:   append([]byte(nil), resp.Body()...),
		last:   resp.ConnectionClose(),
	}, nil
}

// ask sends a bodyless request about a task on a new connection.
func ask(p *pool, method string, id task.ID) (answer, error) {
	return askPath(p, method, taskPath(id))
}

// health asks whether the upstream answers at all.
func health(p *pool) (answer, error) {
	return askPath(p, fasthttp.MethodGet, upstream.PathHealth)
}

func askPath(p *pool, method, path string) (answer, error) {
	c, err := p.dial()
	if err != nil {
		return answer{}, err
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	c.prepare(req, method, path)
	a, err := c.exchange(req, askTimeout)
	if err != nil {
		c.discard()
		return answer{}, err
	}
	c.reuse(a)
	return a, nil
}
