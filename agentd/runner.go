package agentd

import (
	"errors"
	"sync"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// askTimeout bounds a question to the upstream about a task or itself.
	askTimeout = time.Second
	// endSlack is how much longer than the run's bound its answer may take.
	endSlack = 3 * time.Second
	// stopSlack is how long the answer of a stopped run may take.
	stopSlack = 200 * time.Millisecond
	// fullPoolPoll is how often a run looks for a free connection.
	fullPoolPoll = time.Millisecond
)

// runner carries out runs at the upstream, one goroutine a run.
type runner struct {
	post func(agent.Event) bool
	now  func() time.Duration

	mu   sync.Mutex
	up   agent.Upstream
	pool *pool
	runs map[agent.RunID]*run
}

// run is one attempt in progress.
type run struct {
	agent.StartRun
	pool  *pool
	begun time.Duration

	mu   sync.Mutex
	conn *upConn
	over bool
}

func newRunner(post func(agent.Event) bool, now func() time.Duration) *runner {
	return &runner{post: post, now: now, runs: make(map[agent.RunID]*run)}
}

// use sends later runs to another upstream.
func (r *runner) use(up agent.Upstream) {
	r.mu.Lock()
	old := r.pool
	r.up, r.pool = up, newPool(up.Addr, up.Connections)
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

func (r *runner) current() *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool
}

func (r *runner) find(id agent.RunID) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *runner) start(eff agent.StartRun) {
	x := &run{StartRun: eff, begun: r.now()}
	r.mu.Lock()
	x.pool = r.pool
	r.runs[eff.Run] = x
	r.mu.Unlock()
	go r.carry(x)
}

// carry runs one task and posts its end.
func (r *runner) carry(x *run) {
	end := r.perform(x)
	end.Run, end.Ran = x.Run, r.now()-x.begun
	x.finish()
	r.mu.Lock()
	delete(r.runs, x.Run)
	r.mu.Unlock()
	r.post(end)
}

// perform sends the request and waits for the answer. A connection that fails
// before a byte was written has started nothing, so another is tried.
func (r *runner) perform(x *run) agent.RunEnded {
	for {
		c, err := r.connect(x)
		if err != nil {
			return agent.RunEnded{End: dialEnd(err)}
		}
		if !x.take(c) {
			c.discard()
			return agent.RunEnded{End: agent.EndLost}
		}
		// The process may have been frozen since the reducer decided.
		if r.now() >= x.StartBy {
			x.giveBack(answer{})
			return agent.RunEnded{End: agent.EndExpired}
		}
		reused := !c.idleSince.IsZero()
		resp, err := c.runTask(x, x.RunBy-r.now())
		if err == nil {
			x.giveBack(resp)
			return resp.end()
		}
		if c.written > 0 || !reused || x.finished() {
			return agent.RunEnded{End: lostEnd(c)}
		}
		x.drop()
	}
}

// connect gets a connection for a run. Questions and stops share the limit with
// runs and are short, so a run waits for its turn while it may still start.
func (r *runner) connect(x *run) (*upConn, error) {
	for {
		c, err := x.pool.get()
		if !errors.Is(err, errPoolFull) || x.finished() || r.now() >= x.StartBy {
			return c, err
		}
		time.Sleep(fullPoolPoll)
	}
}

func dialEnd(err error) agent.End {
	if errors.Is(err, errPoolFull) {
		return agent.EndBusy
	}
	return agent.EndRefused
}

// lostEnd is the end of a run whose connection failed.
func lostEnd(c *upConn) agent.End {
	if c.written == 0 {
		return agent.EndRefused
	}
	return agent.EndLost
}

// take notes the connection that a run uses, unless the run is over.
func (x *run) take(c *upConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return false
	}
	x.conn = c
	return true
}

// giveBack returns a healthy connection to the pool.
func (x *run) giveBack(last answer) {
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c != nil {
		c.reuse(last)
	}
}

// drop closes the run's connection.
func (x *run) drop() {
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c != nil {
		c.discard()
	}
}

// finish ends the run and closes the connection that it still uses.
func (x *run) finish() {
	x.mu.Lock()
	x.over = true
	x.mu.Unlock()
	x.drop()
}

func (x *run) finished() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.over
}

func (r *runner) abandon(eff agent.AbandonRun) {
	x := r.find(eff.Run)
	if x == nil {
		return
	}
	x.finish()
	go func() { _, _ = ask(x.pool, "DELETE", eff.ID) }()
}

// stop asks the upstream to stop a run. The run's own answer, if it comes, goes
// first.
func (r *runner) stop(eff agent.StopRun) {
	x := r.find(eff.Run)
	if x == nil {
		return
	}
	go func() {
		resp, err := ask(x.pool, "DELETE", eff.ID)
		if err != nil || !resp.stopped() {
			return
		}
		time.Sleep(stopSlack)
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
		resp, err := question(x.pool, eff)
		switch {
		case errors.Is(err, errPoolFull):
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictRunning})
		case err != nil:
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictUnreachable})
		case !eff.Status || resp.running():
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictRunning})
		case resp.missing():
			r.post(agent.RunChecked{Run: eff.Run, Verdict: agent.VerdictMissing})
		default:
			r.supersede(x, resp.end())
		}
	}()
}

func question(p *pool, eff agent.CheckRun) (answer, error) {
	if eff.Status {
		return ask(p, "GET", eff.ID)
	}
	return health(p)
}

// supersede ends a run by what another connection told.
func (r *runner) supersede(x *run, end agent.RunEnded) {
	if x.finished() {
		return
	}
	end.Run, end.Ran = x.Run, r.now()-x.begun
	r.post(end)
	x.finish()
}

func (r *runner) probe(eff agent.ProbeUpstream) {
	p := r.current()
	go func() {
		_, err := health(p)
		r.post(agent.Probed{Instance: eff.Instance, OK: err == nil})
	}()
}

// connections returns how many connections to the upstream are open and idle.
func (r *runner) connections() (open, idle int) {
	p := r.current()
	if p == nil {
		return 0, 0
	}
	return p.counts()
}

func taskPath(id task.ID) string { return tasksPrefix + id.String() }
