package agentd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/lease"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// lingerAfterDrain is the delay between the end of the drain and the close
	// of the connections, so that the last messages can be sent.
	lingerAfterDrain = 50 * time.Millisecond
	// serverStopTimeout bounds the wait for the announcements in progress when
	// the agent ends.
	serverStopTimeout = 500 * time.Millisecond
	// readTimeout bounds the time to read an announcement or a usage report.
	readTimeout          = 5 * time.Second
	maxAnnouncementBytes = 64 << 10
)

// daemon is a running agent.
type daemon struct {
	opts             Options
	loop             *loop.Loop[agent.Event, agent.Effect]
	peerListener     *transport.Listener
	announceListener net.Listener
	http             *fasthttp.Server
	sessions         *sessions
	runner           upstreamRunner
	leased           *LeasedRunner
	meter            *meter
	budget           *logging.Budget
	drained          chan struct{}
}

// upstreamRunner executes runs at one kind of upstream. Its methods do not block;
// results are posted to the agent's loop as events.
type upstreamRunner interface {
	setUpstream(agent.Upstream)
	start(agent.StartRun)
	stop(agent.StopRun)
	// abandon stops a run whose end the agent no longer waits for.
	abandon(agent.AbandonRun)
	check(agent.CheckRun)
	// setEvacuated sets whether runs that have not reached the upstream are given up.
	setEvacuated(active bool)
	probe(agent.ProbeUpstream)
	connections() (open, idle int)
	close()
}

// Run runs an agent until ctx ends or a server fails, and the agent has drained:
// running tasks have ended and their outcomes are acknowledged, or the time limits
// of the drain have passed.
func Run(ctx context.Context, o Options) error {
	d, err := newDaemon(o.withDefaults())
	if err != nil {
		return err
	}
	defer d.close()
	return d.run(ctx)
}

func newDaemon(o Options) (*daemon, error) {
	peers, err := transport.Listen(o.Peers, transport.Options{
		Identity: o.Identity,
		Accept:   []wire.Role{wire.RoleEntry},
		Stamp:    o.Stamp,
		OnStamp:  stampHandler(o.OnStamp),
		Scope:    o.Scope,
	})
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	ln, err := listenUpstream(o)
	if err != nil {
		peers.Close()
		return nil, err
	}
	if o.Self.Addr == "" {
		o.Self.Addr = peers.Addr()
	}
	d := &daemon{
		opts:             o,
		peerListener:     peers,
		announceListener: ln,
		meter:            newMeter(o.Scope),
		budget:           logging.NewBudget(logging.LinesPerSecond),
		drained:          make(chan struct{}),
	}
	if o.Leased != nil && o.Agent.RunsEndWithin == 0 {
		o.Agent.RunsEndWithin = o.Leased.Config.RunsEndWithin()
	}
	state := agent.New(o.Self, o.Agent)
	d.loop = loop.New[agent.Event, agent.Effect](state, agent.Tick{}, d.execute)
	d.sessions = newSessions(d.loop.Post, o.Log)
	d.runner = newRunner(d.loop.Post, d.loop.Now)
	if o.Leased != nil {
		d.leased = newLeasedRunner(*o.Leased, d.loop.Post, d.meter, o.Log, d.logStop)
		d.runner = d.leased
	}
	d.http = &fasthttp.Server{
		Handler:               d.handle,
		Name:                  "agent",
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxAnnouncementBytes,
		NoDefaultServerHeader: true,
	}
	return d, nil
}

// listenUpstream listens on the address for announcements. It returns nil for a
// leased upstream, whose announcements arrive through LeasedOptions.Serve.
func listenUpstream(o Options) (net.Listener, error) {
	if o.Leased != nil {
		return nil, nil
	}
	ln, err := net.Listen("tcp", o.Upstream)
	if err != nil {
		return nil, fmt.Errorf("agent: listen for upstream on %s: %w", o.Upstream, err)
	}
	return ln, nil
}

// stampHandler adapts Options.OnStamp to the transport, which also passes the peer.
func stampHandler(f func(wire.Stamp)) func(transport.Peer, wire.Stamp) {
	if f == nil {
		return nil
	}
	return func(_ transport.Peer, s wire.Stamp) { f(s) }
}

func (d *daemon) run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var g errgroup.Group
	// The age of the job locks counts from the first event.
	d.loop.Post(agent.Tick{})
	g.Go(func() error { d.loop.Run(runCtx); return nil })
	if d.opts.Configure != nil {
		d.opts.Configure(d.applyConfig)
	}
	if d.leased != nil {
		g.Go(func() error { d.leased.run(runCtx); return nil })
	}
	// A server that fails starts the drain like the end of ctx does, so that the
	// running tasks are not cut off.
	servers, failed := errgroup.WithContext(ctx)
	servers.Go(func() error { return d.sessions.accept(runCtx, d.peerListener) })
	servers.Go(func() error { return d.serveUpstream(runCtx) })
	d.opts.Log.Info("agent is ready", "peers", d.peerListener.Addr(), "upstream", d.announceAddr(), "incarnation", d.opts.Self.Incarnation)
	if d.opts.Ready != nil {
		d.opts.Ready(d.peerListener.Addr(), d.announceAddr())
	}
	<-failed.Done()
	d.drain(context.Cause(failed))
	stop()
	return errors.Join(servers.Wait(), g.Wait())
}

// applyConfig passes a configuration to the agent's reducer.
func (d *daemon) applyConfig(c *fleet.Config) {
	d.loop.Post(agent.ConfigChanged{Index: c.Index, Evacuated: c.Evacuated(d.opts.Self.Domain)})
}

// drain drains the agent and waits for the end of the drain.
func (d *daemon) drain(cause error) {
	d.opts.Log.Info("agent is draining", "cause", cause)
	d.loop.Post(agent.Drain{})
	<-d.drained
	time.Sleep(lingerAfterDrain)
}

func (d *daemon) announceAddr() string {
	if d.announceListener == nil {
		return d.opts.Upstream
	}
	return d.announceListener.Addr().String()
}

// serveUpstream accepts the upstream's announcements until ctx ends.
func (d *daemon) serveUpstream(ctx context.Context) error {
	if d.leased == nil {
		return d.serveHTTP(ctx)
	}
	return d.opts.Leased.Serve(ctx, d.leased)
}

func (d *daemon) serveHTTP(ctx context.Context) error {
	server := httpserve.New("upstream", d.http, d.announceListener, nil, d.opts.Log)
	if err := server.Run(ctx, serverStopTimeout); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	return nil
}

func (d *daemon) close() {
	if d.announceListener != nil {
		d.announceListener.Close()
	}
	d.peerListener.Close()
	d.runner.close()
}

// execute executes one effect. It must not block.
func (d *daemon) execute(eff agent.Effect) {
	switch eff := eff.(type) {
	case agent.SendWelcome:
		d.meter.recordReport(eff.Welcome.Report)
		d.sessions.send(eff.Session, eff.Welcome)
	case agent.SendReport:
		d.meter.recordReport(eff.Report)
		d.meter.recordConnections(d.runner.connections())
		d.sessions.send(eff.Session, eff.Report)
	case agent.CloseSession:
		d.sessions.end(eff.Session, string(eff.Reason))
	case agent.StartRun:
		d.runner.start(eff)
	case agent.StopRun:
		d.runner.stop(eff)
	case agent.AbandonRun:
		d.runner.abandon(eff)
	case agent.CheckRun:
		d.runner.check(eff)
	case agent.ProbeUpstream:
		d.runner.probe(eff)
	case agent.UseUpstream:
		d.opts.Log.Info("upstream announced", "service", eff.Upstream.Service, "addr", eff.Upstream.Addr, "slots", eff.Upstream.Slots)
		d.runner.setUpstream(eff.Upstream)
	case agent.AnnounceWorker:
		d.meter.recordWorker(eff.Worker)
		if d.opts.Control != nil {
			d.opts.Control.Announce(d.opts.Self, eff.Worker, eff.Leaving)
		}
	case agent.RunStarted:
		d.logRunStarted(eff)
	case agent.StopOrdered:
		d.meter.recordStop(eff.Reason)
		d.logStopOrdered(eff)
	case agent.Decision:
		d.logDecision(eff)
	case agent.Paused:
		d.opts.Log.Warn("agent was paused, time-outs restarted", "for", eff.For)
	case agent.BoundReached:
		d.meter.recordBound(eff)
		d.opts.Log.Warn("a bound in bytes was reached", "bytes", eff.Bytes, "limit", eff.Limit, "refused", eff.Refused)
	case agent.Evacuation:
		d.runner.setEvacuated(eff.Active)
		d.meter.recordEvacuation(eff)
		d.logEvacuation(eff)
	case agent.ColdUpstream:
		d.opts.Log.Info("upstream is cold, slots grow", "instance", eff.Instance, "for", eff.For)
	case agent.UpstreamCrash:
		d.meter.recordCrash(eff.State)
		d.logCrash(eff)
	case agent.Drained:
		d.opts.Log.Info("agent has drained", "unacknowledged", eff.Unacked)
		close(d.drained)
	}
}

func (d *daemon) logEvacuation(eff agent.Evacuation) {
	text := "failure domain is taken back, slots grow"
	if eff.Active {
		text = "failure domain is evacuated, starting nothing"
	}
	d.opts.Log.Info(text, "domain", d.opts.Self.Domain, "config", eff.Index, "refused", eff.Refused, "running", eff.Running)
}

// maxLoggedRuns bounds the runs that a line about a crash names.
const maxLoggedRuns = 12

func (d *daemon) logCrash(eff agent.UpstreamCrash) {
	d.opts.Log.Warn("upstream crash "+eff.State.String(), "instance", eff.Instance, "age", eff.Age,
		"running", len(eff.Runs), "last-started", describeRuns(eff.Runs), "unanswered-starts", describeRuns(eff.Possible))
}

func describeRuns(list []wire.CrashedRun) string {
	var runs []string
	for _, r := range list[:min(len(list), maxLoggedRuns)] {
		runs = append(runs, fmt.Sprintf("%s %s %s", r.Task, r.Kind, r.Ran.Round(100*time.Microsecond)))
	}
	return strings.Join(runs, ", ")
}

// logRunStarted, logStopOrdered and logDecision log one line about a task, each from
// a log budget of its own.
func (d *daemon) logRunStarted(eff agent.RunStarted) {
	d.logTask("run started", "run started", &eff.TaskRef, "waited", eff.Waited, "running", eff.Running, "queued", eff.Queued)
}

func (d *daemon) logStopOrdered(eff agent.StopOrdered) {
	d.logTask("stop ordered", "stop ordered", &eff.TaskRef, "reason", eff.Reason, "ran", eff.Ran, "entry-silent", eff.EntrySilent)
}

func (d *daemon) logDecision(eff agent.Decision) {
	d.logTask(eff.State, "task "+eff.State, &eff.TaskRef, "reason", eff.Reason,
		"waited", eff.Waited, "ran", eff.Ran, "running", eff.Running, "queued", eff.Queued)
}

// logTask logs a line about a task unless the lines of its kind exceed the log
// budget. Before the next line that is written, it logs how many lines were left out.
// Only execute may call it.
func (d *daemon) logTask(kind, text string, ref *agent.TaskRef, inputs ...any) {
	if !d.opts.Agent.Trace || !d.budget.Allow(kind, d.loop.StepTime()) {
		return
	}
	for kind, n := range d.budget.Suppressed() {
		d.opts.Log.Warn("lines left out", "kind", kind, "count", n)
	}
	d.opts.Lines.Info(text, append([]any{
		"task", ref.Task, "run", ref.Run, "submission", ref.Submission, "entry", ref.Entry,
		"incarnation", ref.Incarnation, "instance", ref.Instance,
	}, inputs...)...)
}

// logStop logs a call that stops a run at a leased upstream. It is called
// concurrently.
func (d *daemon) logStop(c lease.StopCall, result string, took time.Duration) {
	text := "stop call " + result
	if !d.opts.Agent.Trace || !d.budget.Allow(text, d.loop.Now()) {
		return
	}
	d.opts.Lines.Info(text, "task", c.Task, "run", c.Run, "instance", c.Target.Instance, "token", c.Fence, "took", took)
}
