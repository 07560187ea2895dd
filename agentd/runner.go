package agentd

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

const (
	// requestTimeout bounds status, stop and health requests to the upstream.
	requestTimeout = time.Second
	// responseGrace is the time allowed for the response after the run timeout.
	responseGrace = 3 * time.Second
	// stopGrace is the time allowed for a stopped run's own response.
	stopGrace = 200 * time.Millisecond
	// fullPoolPollInterval is the interval at which a run retries to get a
	// connection from a full pool.
	fullPoolPollInterval = time.Millisecond
)

// runner executes runs at the upstream, each on its own goroutine.
type runner struct {
	post func(agent.Event) bool
	now  func() time.Duration
	// evacuated is set while nothing may start at the upstream.
	evacuated atomic.Bool

	mu       sync.Mutex
	upstream agent.Upstream
	pool     *pool
	runs     map[agent.RunID]*activeRun
}

// activeRun is a run in progress.
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

// setUpstream directs later runs to the given upstream.
func (r *runner) setUpstream(upstream agent.Upstream) {
	r.mu.Lock()
	old := r.pool
	r.upstream, r.pool = upstream, newPool(upstream.Addr, upstream.Connections)
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
	for _, run := range r.runs {
		run.finish()
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
	run := &activeRun{StartRun: eff, startedAt: r.now()}
	r.mu.Lock()
	run.pool = r.pool
	r.runs[eff.Run] = run
	r.mu.Unlock()
	go r.execute(run)
}

// execute runs one task and posts the RunEnded event.
func (r *runner) execute(run *activeRun) {
	end := r.attempt(run)
	end.Run, end.Ran = run.Run, r.now()-run.startedAt
	run.finish()
	r.mu.Lock()
	delete(r.runs, run.Run)
	r.mu.Unlock()
	r.post(end)
}

func (r *runner) setEvacuated(active bool) { r.evacuated.Store(active) }

// attempt sends the request and waits for the response. If a reused connection
// fails before any byte was written, the task has not started, so attempt retries
// on another connection.
func (r *runner) attempt(run *activeRun) agent.RunEnded {
	for {
		c, err := r.connect(run)
		if err != nil {
			return agent.RunEnded{End: dialErrorEnd(err)}
		}
		if !run.attachConn(c) {
			c.discard()
			return agent.RunEnded{End: agent.EndLost}
		}
		// The process may have been frozen since the reducer started the run.
		if r.now() >= run.StartBy {
			run.returnConn(response{})
			return agent.RunEnded{End: agent.EndExpired}
		}
		if r.evacuated.Load() {
			run.returnConn(response{})
			return agent.RunEnded{End: agent.EndEvacuated}
		}
		reused := !c.idleSince.IsZero()
		resp, err := c.runTask(run, run.RunBy-r.now())
		if err == nil {
			run.returnConn(resp)
			return resp.runEnded()
		}
		if c.bytesWritten > 0 || !reused || run.finished() {
			return agent.RunEnded{End: connErrorEnd(c)}
		}
		run.discardConn()
	}
}

// connect gets a connection for a run. Status, stop and health requests count
// towards the same limit as runs but are short, so a run waits for a free
// connection until its start deadline or the evacuation of the failure domain.
func (r *runner) connect(run *activeRun) (*upstreamConn, error) {
	for {
		c, err := run.pool.get()
		if !errors.Is(err, errPoolFull) || run.finished() || r.now() >= run.StartBy || r.evacuated.Load() {
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

// connErrorEnd returns the end of a run whose connection failed.
func connErrorEnd(c *upstreamConn) agent.End {
	if c.bytesWritten == 0 {
		return agent.EndRefused
	}
	return agent.EndLost
}

// attachConn records the connection that the run uses. It returns false if the
// run has finished.
func (run *activeRun) attachConn(c *upstreamConn) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.done {
		return false
	}
	run.conn = c
	return true
}

// returnConn returns the run's connection to the pool, unless resp announces that
// the upstream closes it.
func (run *activeRun) returnConn(resp response) {
	run.mu.Lock()
	c := run.conn
	run.conn = nil
	run.mu.Unlock()
	if c != nil {
		c.reuse(resp)
	}
}

// discardConn closes the run's connection.
func (run *activeRun) discardConn() {
	run.mu.Lock()
	c := run.conn
	run.conn = nil
	run.mu.Unlock()
	if c != nil {
		c.discard()
	}
}

// finish marks the run as finished and closes its connection, if any.
func (run *activeRun) finish() {
	run.mu.Lock()
	run.done = true
	run.mu.Unlock()
	run.discardConn()
}

func (run *activeRun) finished() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.done
}

// abandon closes the run's connection and asks the upstream to stop the run, without
// waiting for the answer.
func (r *runner) abandon(eff agent.AbandonRun) {
	run := r.find(eff.Run)
	if run == nil {
		return
	}
	run.finish()
	go func() { _, _ = requestTask(run.pool, "DELETE", eff.ID) }()
}

// stop asks the upstream to stop a run. The run's own response takes
// precedence if it arrives within stopGrace after the stop was confirmed.
func (r *runner) stop(eff agent.StopRun) {
	run := r.find(eff.Run)
	if run == nil {
		return
	}
	go func() {
		resp, err := requestTask(run.pool, "DELETE", eff.ID)
		if err != nil || !resp.stopped() {
			return
		}
		time.Sleep(stopGrace)
		r.supersede(run, agent.RunEnded{End: agent.EndStopped})
	}()
}

// check queries the upstream on a new connection about a run whose own connection
// is silent. A full pool says nothing about the upstream, so the run counts as
// running.
func (r *runner) check(eff agent.CheckRun) {
	run := r.find(eff.Run)
	if run == nil {
		return
	}
	go func() {
		resp, err := queryRun(run.pool, eff)
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
			r.supersede(run, resp.runEnded())
		}
	}()
}

func queryRun(p *pool, eff agent.CheckRun) (response, error) {
	if eff.Status {
		return requestTask(p, "GET", eff.ID)
	}
	return requestHealth(p)
}

// supersede ends a run with an outcome received on another connection and closes
// the run's own connection.
func (r *runner) supersede(run *activeRun, end agent.RunEnded) {
	if run.finished() {
		return
	}
	end.Run, end.Ran = run.Run, r.now()-run.startedAt
	r.post(end)
	run.finish()
}

func (r *runner) probe(eff agent.ProbeUpstream) {
	p := r.currentPool()
	go func() {
		_, err := requestHealth(p)
		r.post(agent.Probed{Instance: eff.Instance, OK: err == nil})
	}()
}

// connections returns the number of open connections to the upstream and the
// number of idle ones.
func (r *runner) connections() (open, idle int) {
	p := r.currentPool()
	if p == nil {
		return 0, 0
	}
	return p.counts()
}

func taskPath(id task.ID) string { return tasksPrefix + id.String() }
