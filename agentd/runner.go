package agentd

import (
	"errors"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// requestTimeout bounds a question to the upstream about a task or itself.
	requestTimeout = time.Second
	// responseGrace is how much longer than the run's bound its answer may take.
	responseGrace = 3 * time.Second
	// stopGrace is how long the answer of a stopped run may take.
	stopGrace = 200 * time.Millisecond
	// fullPoolPollInterval is how often a run looks for a free connection.
	fullPoolPollInterval = time.Millisecond
)

// runner carries out runs at the upstream, one goroutine a run.
type runner struct {
	post func(agent.Event) bool
	now  func() time.Duration

	mu       sync.Mutex
	upstream agent.Upstream
	pool     *pool
	runs     map[agent.RunID]*activeRun
}

// activeRun is one attempt in progress.
type activeRun struct {
	agent.StartRun
	pool      *pool
	startedAt time.Duration

	mu   sync.Mutex
	conn *upstreamConn
	done bool
}

func newRunner(post func(agent.Event) bool, now func() time.Duration) *runner {
	return &runner{post: post, now: now, runs: make(map[agent.RunID]*activeRun)}
}

// setUpstream sends later runs to another upstream.
func (r *runner) setUpstream(up agent.Upstream) {
	r.mu.Lock()
	old := r.pool
	r.upstream, r.pool = up, newPool(up.Addr, up.Connections)
	r.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func (r *runner) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool != nil {
		r.pool.close()
	}
	for _, x := range r.runs {
		x.finish()
	}
}

func (r *runner) currentPool() *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

func (r *runner) find(id agent.RunID) *activeRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *runner) start(eff agent.StartRun) {
	x := &activeRun{StartRun: eff, startedAt: r.now()}
	r.mu.Lock()
	x.pool = r.pool
	r.runs[eff.Run] = x
	r.mu.Unlock()
	go r.execute(x)
}

// execute runs one task and posts its end.
func (r *runner) execute(x *activeRun) {
	end := r.attempt(x)
	end.Run, end.Ran = x.Run, r.now()-x.startedAt
	x.finish()
	r.mu.Lock()
	delete(r.runs, x.Run)
	r.mu.Unlock()
	r.post(end)
}

// attempt sends the request and waits for the answer. A connection that fails
// before a byte was written has started nothing, so another is tried.
func (r *runner) attempt(x *activeRun) agent.RunEnded {
	for {
		c, err := r.connect(x)
		if err != nil {
			return agent.RunEnded{End: dialErrorEnd(err)}
		}
		if !x.attachConn(c) {
			c.discard()
			return agent.RunEnded{End: agent.EndLost}
		}
		// The process may have been frozen since the reducer decided.
		if r.now() >= x.StartBy {
			x.returnConn(response{})
			return agent.RunEnded{End: agent.EndExpired}
		}
		reused := !c.idleSince.IsZero()
		resp, err := c.runTask(x, x.RunBy-r.now())
		if err == nil {
			x.returnConn(resp)
			return resp.runEnded()
		}
		if c.bytesWritten > 0 || !reused || x.finished() {
			return agent.RunEnded{End: connErrorEnd(c)}
		}
		x.discardConn()
	}
}

// connect gets a connection for a run. Questions and stops share the limit with
// runs and are short, so a run waits for its turn while it may still start.
func (r *runner) connect(x *activeRun) (*upstreamConn, error) {
	for {
		c, err := x.pool.get()
		if !errors.Is(err, errPoolFull) || x.finished() || r.now() >= x.StartBy {
			return c, err
		}
		time.Sleep(fullPoolPollInterval)
	}
}

func dialErrorEnd(err error) agent.End {
	if errors.Is(err, errPoolFull) {
		return agent.EndBusy
	}
	return agent.EndRefused
}

// connErrorEnd is the end of a run whose connection failed.
func connErrorEnd(c *upstreamConn) agent.End {
	if c.bytesWritten == 0 {
		return agent.EndRefused
	}
	return agent.EndLost
}

// attachConn notes the connection that a run uses, unless the run is over.
func (x *activeRun) attachConn(c *upstreamConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.done {
		return false
	}
	x.conn = c
	return true
}

// returnConn returns a healthy connection to the pool.
func (x *activeRun) returnConn(last response) {
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c != nil {
		c.reuse(last)
	}
}

// discardConn closes the run's connection.
func (x *activeRun) discardConn() {
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c != nil {
		c.discard()
	}
}

// finish ends the run and closes the connection that it still uses.
func (x *activeRun) finish() {
	x.mu.Lock()
	x.done = true
	x.mu.Unlock()
	x.discardConn()
}

func (x *activeRun) finished() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.done
}

func (r *runner) abandon(eff agent.AbandonRun) {
	x := r.find(eff.Run)
	if x == nil {
		return
	}
	x.finish()
	go func() { _, _ = requestTask(x.pool, "DELETE", eff.ID) }()
}

// stop asks the upstream to stop a run. The run's own answer, if it comes, goes
// first.
func (r *runner) stop(eff agent.StopRun) {
	x := r.find(eff.Run)
	if x == nil {
		return
	}
	go func() {
		resp, err := requestTask(x.pool, "DELETE", eff.ID)
		if err != nil || !resp.stopped() {
			return
		}
		time.Sleep(stopGrace)
		r.supersede(x, agent.RunEnded{End: agent.EndStopped})
	}()
}

// check asks on a new connection about a run whose own connection is quiet.
func (r *runner) check(eff agent.CheckRun) {
	x := r.find(eff.Run)
	if x == nil {
		return
	}
	go func() {
		resp, err := queryRun(x.pool, eff)
		switch {
		case errors.Is(err, errPoolFull):
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictRunning})
		case err != nil:
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictUnreachable})
		case !eff.Status || resp.running():
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictRunning})
		case resp.notFound():
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictMissing})
		default:
			r.supersede(x, resp.runEnded())
		}
	}()
}

func queryRun(p *pool, eff agent.CheckRun) (response, error) {
	if eff.Status {
		return requestTask(p, "GET", eff.ID)
	}
	return requestHealth(p)
}

// supersede ends a run by what another connection told.
func (r *runner) supersede(x *activeRun, end agent.RunEnded) {
	if x.finished() {
		return
	}
	end.Run, end.Ran = x.Run, r.now()-x.startedAt
	r.post(end)
	x.finish()
}

func (r *runner) probe(eff agent.ProbeUpstream) {
	p := r.currentPool()
	go func() {
		_, err := requestHealth(p)
		r.post(agent.Probed{Instance: eff.Instance, OK: err == nil})
	}()
}

// connections returns how many connections to the upstream are open and idle.
func (r *runner) connections() (open, idle int) {
	p := r.currentPool()
	if p == nil {
		return 0, 0
	}
	return p.counts()
}

func taskPath(id task.ID) string { return tasksPrefix + id.String() }
