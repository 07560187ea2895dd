package agentd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// lingerAfterDrain lets the last messages leave before connections close.
	lingerAfterDrain = 50 * time.Millisecond
	readTimeout      = 5 * time.Second
	maxAnnouncement  = 64 << 10
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

// upstreamRunner carries out runs at one kind of upstream.
type upstreamRunner interface {
	setUpstream(agent.Upstream)
	start(agent.StartRun)
	stop(agent.StopRun)
	abandon(agent.AbandonRun)
	check(agent.CheckRun)
	probe(agent.ProbeUpstream)
	connections() (open, idle int)
	close()
}

// Run runs an agent until ctx ends and it has drained: running tasks have
// ended and their outcomes are delivered, as far as time allows.
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
	state := agent.New(o.Self, o.Agent)
	d.loop = loop.New[agent.Event, agent.Effect](state, agent.Tick{}, d.execute)
	d.sessions = newSessions(d.loop.Post, o.Log)
	d.runner = newRunner(d.loop.Post, d.loop.Now)
	if o.Leased != nil {
		d.leased = newLeasedRunner(*o.Leased, d.loop.Post, d.meter, o.Log)
		d.runner = d.leased
	}
	d.http = &fasthttp.Server{
		Handler:               d.handle,
		Name:                  "agent",
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxAnnouncement,
		NoDefaultServerHeader: true,
	}
	return d, nil
}

// listenUpstream opens the address for announcements; a leased upstream has
// another.
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

func stampHandler(f func(wire.Stamp)) func(transport.Peer, wire.Stamp) {
	if f == nil {
		return nil
	}
	return func(_ transport.Peer, s wire.Stamp) { f(s) }
}

func (d *daemon) run(ctx context.Context) error {
	hard, stop := context.WithCancel(context.Background())
	defer stop()
	g, hard := errgroup.WithContext(hard)
	g.Go(func() error { d.loop.Run(hard); return nil })
	g.Go(func() error { return d.sessions.accept(hard, d.peerListener) })
	g.Go(func() error { return d.serveUpstream(hard, g) })
	g.Go(func() error {
		defer stop()
		return d.drainAfter(ctx, hard)
	})
	d.opts.Log.Info("agent is ready", "peers", d.peerListener.Addr(), "upstream", d.announceAddr(), "incarnation", d.opts.Self.Incarnation)
	if d.opts.Ready != nil {
		d.opts.Ready(d.peerListener.Addr(), d.announceAddr())
	}
	return g.Wait()
}

// drainAfter waits for ctx to end and then for the drain.
func (d *daemon) drainAfter(ctx, hard context.Context) error {
	select {
	case <-ctx.Done():
	case <-hard.Done():
		return nil
	}
	d.opts.Log.Info("agent drains")
	d.loop.Post(agent.Drain{})
	select {
	case <-d.drained:
		time.Sleep(lingerAfterDrain)
	case <-hard.Done():
	}
	return nil
}

func (d *daemon) announceAddr() string {
	if d.announceListener == nil {
		return d.opts.Upstream
	}
	return d.announceListener.Addr().String()
}

// serveUpstream takes the upstream's announcements until ctx ends.
func (d *daemon) serveUpstream(ctx context.Context, g *errgroup.Group) error {
	if d.leased == nil {
		return d.serveHTTP(ctx)
	}
	g.Go(func() error { d.leased.run(ctx); return nil })
	return d.opts.Leased.Serve(ctx, d.leased)
}

func (d *daemon) serveHTTP(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { d.announceListener.Close() })
	defer stop()
	err := d.http.Serve(d.announceListener)
	if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("agent: serve upstream on %s: %w", d.announceListener.Addr(), err)
}

func (d *daemon) close() {
	if d.announceListener != nil {
		d.announceListener.Close()
	}
	d.peerListener.Close()
	d.runner.close()
}

// execute carries out one effect. It must not block.
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
	case agent.Decision:
		d.logDecision(eff)
	case agent.Drained:
		d.opts.Log.Info("agent has drained", "unacknowledged", eff.Unacked)
		close(d.drained)
	}
}

// logDecision logs a decision about a task, within the budget of its kind. What was
// left out is told with the next line that is not.
func (d *daemon) logDecision(eff agent.Decision) {
	if !d.budget.Allow(eff.State, d.loop.Now()) {
		return
	}
	for kind, n := range d.budget.Suppressed() {
		d.opts.Log.Warn("lines left out", "kind", kind, "count", n)
	}
	d.opts.Log.Info("task "+eff.State, "task", eff.Task, "entry", eff.Entry, "reason", eff.Reason,
		"waited", eff.Waited, "ran", eff.Ran, "running", eff.Running, "queued", eff.Queued)
}
