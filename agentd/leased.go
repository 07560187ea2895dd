package agentd

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/lease"
	"github.com/fireflytray/fireflytray/loop"
)

// Executor makes the calls that drive a leased upstream. Its methods block until
// the call is answered or fails, and are called concurrently.
type Executor interface {
	Start(lease.StartCall) lease.StartAnswered
	Stop(lease.StopCall) lease.StopAnswered
	Hold(lease.HoldCall) lease.HoldAnswered
}

// LeasedOptions configures an agent that drives a leased upstream.
type LeasedOptions struct {
	Executor Executor
	Config   lease.Config
	// Serve accepts the upstream's announcements until ctx ends and passes them
	// to the runner.
	Serve func(ctx context.Context, to *LeasedRunner) error
}

// LeasedRunner executes runs at a leased upstream.
type LeasedRunner struct {
	executor Executor
	post     func(agent.Event) bool
	meter    *meter
	log      *log.Logger
	// logStop logs a call that stops a run, with its result and duration.
	logStop func(c lease.StopCall, result string, took time.Duration)
	loop    *loop.Loop[lease.Event, lease.Effect]
	callers *callers
}

func newLeasedRunner(o LeasedOptions, post func(agent.Event) bool, m *meter, l *log.Logger, logStop func(lease.StopCall, string, time.Duration)) *LeasedRunner {
	r := &LeasedRunner{executor: o.Executor, post: post, meter: m, log: l, logStop: logStop, callers: newCallers()}
	// The first fencing token is the current Unix time in milliseconds, which is
	// normally above the tokens of an earlier process. If the upstream rejects a
	// token as too low, the reducer raises it.
	fence := uint64(time.Now().UnixMilli())
	r.loop = loop.New[lease.Event, lease.Effect](lease.New(o.Config, fence), lease.Tick{}, r.execute)
	return r
}

func (r *LeasedRunner) run(ctx context.Context) {
	defer r.callers.close()
	r.loop.Run(ctx)
}

// Announce handles an announcement. It returns false if the agent has stopped.
func (r *LeasedRunner) Announce(ev lease.Announced) bool { return r.loop.Post(ev) }

// Leave handles the departure of the upstream. It returns false if the agent has
// stopped.
func (r *LeasedRunner) Leave(id string) bool { return r.loop.Post(lease.Left{ID: id}) }

// execute executes one effect on the loop's goroutine. Calls to the upstream
// block and run on goroutines of their own.
func (r *LeasedRunner) execute(eff lease.Effect) {
	switch eff := eff.(type) {
	case lease.StartCall:
		r.callers.run(func() { r.loop.Post(r.executor.Start(eff)) })
	case lease.StopCall:
		r.callers.run(func() { r.stopRun(eff) })
	case lease.HoldCall:
		r.callers.run(func() { r.loop.Post(r.executor.Hold(eff)) })
	case lease.Notify:
		if ended, ok := eff.Event.(agent.RunEnded); ok && ended.End == agent.EndCutOff {
			r.meter.cutOff.Inc(1)
		}
		r.post(eff.Event)
	case lease.LogLine:
		r.log.Info(eff.Text, eff.KeyVals...)
	}
}

// Results of calls that stop a run. An accepted stop does not say that the run has
// ended.
const (
	stopAccepted   = "accepted"
	stopRefused    = "refused"
	stopUnanswered = "unanswered"
)

// stopRun requests the upstream to stop a run and waits for the answer.
func (r *LeasedRunner) stopRun(c lease.StopCall) {
	sent := r.loop.Now()
	a := r.executor.Stop(c)
	took := r.loop.Now() - sent
	r.loop.Post(a)
	result := stopRefused
	switch a.Result {
	case lease.StopAccepted:
		result = stopAccepted
	case lease.StopLost:
		result = stopUnanswered
	}
	r.meter.stopCalls[result].Inc(1)
	r.logStop(c, result, took)
}

// setUpstream does nothing: the reducer learns of its upstream through Announce.
func (r *LeasedRunner) setUpstream(agent.Upstream) {}

func (r *LeasedRunner) start(eff agent.StartRun)     { r.loop.Post(lease.Start{Run: eff}) }
func (r *LeasedRunner) stop(eff agent.StopRun)       { r.loop.Post(lease.Stop{Run: eff.Run}) }
func (r *LeasedRunner) abandon(eff agent.AbandonRun) { r.loop.Post(lease.Stop{Run: eff.Run}) }

func (r *LeasedRunner) setEvacuated(active bool) { r.loop.Post(lease.Evacuate{Active: active}) }

// check does nothing: the answer to each hold call lists every run.
func (r *LeasedRunner) check(agent.CheckRun) {}

func (r *LeasedRunner) probe(eff agent.ProbeUpstream) {
	r.loop.Post(lease.Probe{Instance: eff.Instance})
}

// connections returns zeros: the executor manages the connections.
func (r *LeasedRunner) connections() (open, idle int) { return 0, 0 }

func (r *LeasedRunner) close() {}
