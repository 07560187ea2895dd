// Package entryd runs an entry: it turns callers' requests, messages on sessions
// with agents and updates from the control hosts into events of package entry,
// and carries out the effects.
package entryd

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/entryd/hold"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/transport"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// claimTimeout bounds one claim at the control hosts.
	claimTimeout = 5 * time.Second
	// viewTimeout bounds the wait for a copy of the state.
	viewTimeout = time.Second
	// serverStopTimeout is how long the servers have to write the answers that
	// they get when the drain is out of time.
	serverStopTimeout = 500 * time.Millisecond
	// defaultDrainTimeout applies if Options.DrainTimeout is zero.
	defaultDrainTimeout = 30 * time.Second
)

// incompleteSuffix marks the kind of log lines about requests that did not
// complete, which have a budget of their own.
const incompleteSuffix = " badly"

// Control is the entry's client of the control hosts.
type Control interface {
	Claim(ctx context.Context, c wire.Claim) (wire.ClaimReply, error)
	Resolve(ctx context.Context, r wire.Resolve) error
}

// Options are the settings of an entry's daemon.
type Options struct {
	Self wire.Peer
	// Callers is the host:port on which the HTTP API of package httpapi
	// listens. Listener is used instead if it is not nil.
	Callers  string
	Listener net.Listener
	HTTP     httpapi.Config
	Policy   placement.Policy
	Order    queue.Order
	// MaxSubmissions and MaxBytes are those of entry.Options.
	MaxSubmissions, MaxBytes int
	// ShedAbove is that of entry.Options.
	ShedAbove time.Duration
	// Quarantine is that of entry.Options.
	Quarantine quarantine.Config
	Seed       uint64
	// DemandFanout is that of entry.Options.
	DemandFanout int
	// Speeds is that of entry.Options.
	Speeds bool
	// Trace enables logging of the decisions about submissions.
	Trace bool
	// KeepaliveInterval and AgentTimeout are those of entry.Options.
	KeepaliveInterval time.Duration
	AgentTimeout      time.Duration
	// Dials is that of entry.Options.
	Dials int
	// HoldUnconfigured is how long a request for a job may wait for the first
	// configuration and the first agent of its service; zero holds none.
	HoldUnconfigured time.Duration
	Config           *fleet.Config
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// Serve lists functions that serve further interfaces for callers, such as
	// that of package platform, until their context ends.
	Serve   []func(context.Context, *Daemon) error
	Control Control
	// Transport dials agents; its Identity and Stamp must be set.
	Transport transport.Options
	Log       *log.Logger
	// Lines writes the lines about submissions; Log does if it is nil.
	Lines logging.LineLogger
	Scope tally.Scope
}

// Daemon is a running entry.
type Daemon struct {
	opts  Options
	log   *log.Logger
	loop  *loop.Loop[entry.Event, entry.Effect]
	state *entry.Entry
	api   *httpapi.Server
	// counter numbers the submissions of this process.
	counter atomic.Uint64
	// configured is set once OnConfig has applied a configuration.
	configured atomic.Bool
	config     atomic.Pointer[fleet.Config]
	jobs       *jobs
	// cancellations are those of jobs that other entries may hold.
	cancellations cancellations
	holding       *holding
	room          room
	draining      atomic.Bool
	// isolated is set while most known agents are not connected.
	isolated atomic.Bool
	shedding shedding
	// unroutedRequests counts requests that arrived before the first
	// configuration.
	unroutedRequests atomic.Uint64
	meter            *meter
	budget           *logging.Budget

	mu        sync.Mutex
	callbacks map[task.SubmissionID]func(task.Answer)
	sessions  map[string]*agentSession

	drained chan struct{}
	// runCtx is the context of sessions and claims. It ends after the drain.
	runCtx context.Context

	resolver *resolver
}

// New returns a daemon; Run starts it.
func New(o Options) *Daemon {
	if o.Log == nil {
		o.Log = log.Default()
	}
	if o.Lines == nil {
		o.Lines = o.Log
	}
	if o.DrainTimeout == 0 {
		o.DrainTimeout = defaultDrainTimeout
	}
	d := &Daemon{
		opts:      o,
		log:       o.Log,
		callbacks: make(map[task.SubmissionID]func(task.Answer)),
		sessions:  make(map[string]*agentSession),
		drained:   make(chan struct{}),
		meter:     newMeter(o.Scope),
		jobs:      newJobs(),
		room:      room{limit: o.MaxBytes},
		holding:   newHolding(o.HoldUnconfigured, hold.DefaultRunReserve),
		budget:    logging.NewBudget(logging.LinesPerSecond),
	}
	d.shedding.above = o.ShedAbove
	d.resolver = newResolver(o.Control, d.log)
	d.state = entry.New(entry.Options{
		Self:      o.Self,
		Policy:    o.Policy,
		Order:     o.Order,
		Speeds:    o.Speeds,
		ShedAbove: o.ShedAbove,

		MaxSubmissions: o.MaxSubmissions, MaxBytes: o.MaxBytes,
		Quarantine:   o.Quarantine,
		Seed:         o.Seed,
		Config:       o.Config,
		DemandFanout: o.DemandFanout,
		Trace:        o.Trace,

		KeepaliveInterval: o.KeepaliveInterval,
		AgentTimeout:      o.AgentTimeout,
		Dials:             o.Dials,
	})
	d.loop = loop.New[entry.Event, entry.Effect](&viewServer{d.state}, entry.Tick{}, d.exec)
	return d
}

// Run serves until ctx ends, then drains: requests in flight have
// Options.DrainTimeout to complete.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := d.listen()
	if err != nil {
		return err
	}
	d.opts.HTTP.Log = d.log
	d.api = httpapi.New(d, ln, d.opts.HTTP)
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.runCtx = inner
	var g errgroup.Group
	g.Go(func() error { d.loop.Run(inner); return nil })
	g.Go(func() error { d.reportMetrics(inner); return nil })
	// A server that fails starts the drain like ctx does, so that the requests of
	// the others are answered.
	servers, failed := errgroup.WithContext(ctx)
	serving, stopServing := context.WithCancel(inner)
	defer stopServing()
	servers.Go(d.api.Serve)
	for _, serve := range d.opts.Serve {
		servers.Go(func() error { return serve(serving, d) })
	}
	d.log.Info("serving callers", "addr", ln.Addr())
	<-failed.Done()
	err = d.drain(func() <-chan error {
		stopServing()
		stopped := make(chan error, 1)
		go func() { stopped <- errors.Join(d.api.Close(inner), servers.Wait()) }()
		return stopped
	})
	stop()
	err = errors.Join(err, g.Wait())
	d.logUnanswered()
	if err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("entry %s: %w", d.opts.Self.ID, err)
	}
	return nil
}

// logUnanswered logs how many submissions have no answer when the entry ends.
func (d *Daemon) logUnanswered() {
	d.mu.Lock()
	n := len(d.callbacks)
	d.mu.Unlock()
	if n > 0 {
		d.log.Error("ended with unanswered submissions", "count", n)
	}
}

func (d *Daemon) listen() (net.Listener, error) {
	if d.opts.Listener != nil {
		return d.opts.Listener, nil
	}
	ln, err := net.Listen("tcp", d.opts.Callers)
	if err != nil {
		return nil, fmt.Errorf("entry %s: listen for callers on %s: %w", d.opts.Self.ID, d.opts.Callers, err)
	}
	return ln, nil
}

// drain withdraws readiness, stops the servers, which still serve the requests that
// they read, and closes the sessions. What has no answer when Options.DrainTimeout
// has passed is answered as unknown. The function stopServers starts the stop of the
// servers and returns a channel with its result.
func (d *Daemon) drain(stopServers func() <-chan error) error {
	d.log.Info("draining")
	d.draining.Store(true)
	d.endHolds()
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.DrainTimeout)
	defer cancel()
	err := d.api.Drain(ctx)
	err = errors.Join(err, d.awaitServers(ctx, stopServers()))
	d.loop.Post(entry.Drain{})
	select {
	case <-d.drained:
	case <-ctx.Done():
		err = errors.Join(err, ctx.Err())
	}
	d.closeSessions(ctx)
	d.resolver.drain(ctx)
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.log.Info("drained")
	return nil
}

// awaitServers waits until the servers have stopped. When ctx ends, it answers what
// is unfinished, and gives up serverStopTimeout later.
func (d *Daemon) awaitServers(ctx context.Context, stopped <-chan error) error {
	select {
	case err := <-stopped:
		return err
	case <-ctx.Done():
	}
	d.answerUnfinished()
	select {
	case err := <-stopped:
		return errors.Join(ctx.Err(), err)
	case <-time.After(serverStopTimeout):
		return fmt.Errorf("servers have not stopped: %w", ctx.Err())
	}
}

// answerUnfinished tells the callers of all submissions in flight that their
// outcome is unknown, because the entry can't wait for it any longer.
func (d *Daemon) answerUnfinished() {
	d.loop.Post(entry.Drain{})
	d.mu.Lock()
	ids := slices.Collect(maps.Keys(d.callbacks))
	d.mu.Unlock()
	d.log.Warn("answering requests without their outcome", "count", len(ids))
	for _, id := range ids {
		d.answer(task.Answer{ID: id, State: task.Unknown, Reason: task.ReasonDraining, Detail: "this entry shut down before the outcome was known"})
	}
}

// OnDirectory applies a difference to the list of members.
func (d *Daemon) OnDirectory(dir wire.Directory) {
	d.loop.Post(entry.DirectoryChanged{Directory: dir})
}

// OnConfig puts a configuration into force.
func (d *Daemon) OnConfig(cfg *fleet.Config) {
	d.loop.Post(entry.ConfigChanged{Config: cfg})
	before := d.config.Swap(cfg)
	d.configured.Store(true)
	d.log.Info("configuration in force", "index", cfg.Index)
	d.logLimits(before, cfg)
	d.holdConfigured(cfg)
}

// Submit implements httpapi.Backend. The reducer of package entry admits or
// refuses the submission, and computes the RetryAfter of the answer.
func (d *Daemon) Submit(s task.Submission, done func(task.Answer)) task.SubmissionID {
	id := d.newSubmissionID()
	d.submit(entry.Submit{ID: id, Sub: s}, done)
	return id
}

func (d *Daemon) newSubmissionID() task.SubmissionID {
	return task.NewSubmissionID(d.opts.Self.Incarnation, d.counter.Add(1))
}

// submit is Submit with an id of newSubmissionID.
func (d *Daemon) submit(ev entry.Submit, done func(task.Answer)) {
	id := ev.ID
	start := d.loop.Now()
	d.mu.Lock()
	d.callbacks[id] = func(a task.Answer) {
		d.meter.answered(&a, d.loop.Now()-start)
		done(a)
	}
	d.mu.Unlock()
	if !d.loop.Post(ev) {
		d.answer(task.Answer{ID: id, State: task.NotRun, Reason: task.ReasonDraining, Detail: "this entry has shut down"})
	}
}

// Cancel implements httpapi.Backend.
func (d *Daemon) Cancel(ids []task.SubmissionID, reason task.Reason) {
	d.loop.Post(entry.Cancel{IDs: ids, Reason: reason})
}

// Ready implements httpapi.Backend. An entry without a configuration has no
// services and is not ready. An isolated or draining entry can still be ready;
// see Accepting.
func (d *Daemon) Ready() (bool, string) {
	if !d.configured.Load() && d.opts.Config == nil {
		return false, "no configuration yet"
	}
	return true, ""
}

// View returns a copy of the state for status pages and metrics.
func (d *Daemon) View() (entry.View, error) {
	reply := make(chan entry.View, 1)
	if !d.loop.Post(viewRequest{reply: reply}) {
		return entry.View{}, fmt.Errorf("entry %s: state not available: the entry has shut down", d.opts.Self.ID)
	}
	select {
	case v := <-reply:
		return v, nil
	case <-time.After(viewTimeout):
		return entry.View{}, fmt.Errorf("entry %s: state not available within %s", d.opts.Self.ID, viewTimeout)
	}
}

func (d *Daemon) answer(a task.Answer) {
	d.mu.Lock()
	done := d.callbacks[a.ID]
	delete(d.callbacks, a.ID)
	d.mu.Unlock()
	if done != nil {
		done(a)
	}
}

// exec carries out one effect; it runs on the loop's goroutine.
func (d *Daemon) exec(eff entry.Effect) {
	switch eff := eff.(type) {
	case entry.Answer:
		d.answer(eff.Answer)
	case entry.JobCancelled:
		d.cancellations.answer(eff)
	case entry.Send:
		d.send(eff)
	case entry.Expect:
		d.expect(eff)
	case entry.Dial:
		go d.dial(eff)
	case entry.Hangup:
		d.hangup(eff)
	case entry.Decision:
		d.logDecision(eff, d.loop.StepTime())
	case entry.SendClaim:
		go d.claim(eff.Claim)
	case entry.SendResolve:
		d.resolver.record(eff.Resolve)
	case entry.Drained:
		close(d.drained)
	}
}

func (d *Daemon) claim(c wire.Claim) {
	ctx, cancel := context.WithTimeout(d.runCtx, claimTimeout)
	defer cancel()
	r, err := d.opts.Control.Claim(ctx, c)
	if err != nil {
		d.log.Warn("claim failed", "err", err)
		r = wire.ClaimReply{State: wire.ClaimUnavailable}
	}
	r.Request = c.Request
	d.loop.Post(entry.ClaimReplied{Reply: r})
}

// logDecision logs a decision about a submission if the budget of log lines of
// its kind allows it at the time now.
func (d *Daemon) logDecision(eff entry.Decision, now time.Duration) {
	kind := eff.Message
	if eff.Incomplete {
		kind += incompleteSuffix
	}
	if !d.budget.Allow(kind, now) {
		return
	}
	kv := append([]any{"at", eff.At.Round(time.Microsecond)}, eff.Inputs...)
	if eff.Ref != "" {
		kv = append([]any{"job", eff.Ref}, kv...)
	}
	d.opts.Lines.Info(eff.Message, kv...)
}
