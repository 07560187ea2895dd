// Package daemon holds the code that the main packages of the daemons share:
// command line, settings, identity, logs, metrics and signal handling.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

// The exit codes of a daemon.
const (
	ExitOK = 0
	// ExitFailed means that the daemon could not start or ended with an error.
	ExitFailed = 1
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 2
	// ExitForced means that a second SIGINT or the drain time-out cut off work in
	// flight.
	ExitForced = 3
)

// drainGrace is how long a program may take to exit beyond its drain time-out.
const drainGrace = 2 * time.Second

// metricsRetryInterval is the time between two attempts to serve the metrics.
const metricsRetryInterval = 500 * time.Millisecond

// Runtime holds the resources that a daemon passes to its program.
type Runtime struct {
	Identity *keys.Identity
	Logs     *logging.Root
	Metrics  *metrics.Root
	// ControlsChanged delivers the control hosts of the settings after a reload that
	// changed them. Only the last of several lists that nobody has received is kept.
	ControlsChanged <-chan []string
}

// SetMemoryTarget makes the process collect garbage as soon as there is some from a
// number of bytes on.
func (rt Runtime) SetMemoryTarget(part logging.Part, bytes int) {
	debug.SetMemoryLimit(int64(bytes))
	rt.Logs.For(part).Info("memory target set", "bytes", bytes)
}

// Gate returns a gate that reports to the metrics of the process and the log of a part.
func (rt Runtime) Gate(part logging.Part, name string, limits httpserve.Limits) *httpserve.Gate {
	return httpserve.NewGate(name, limits, rt.Metrics.Scope(), rt.Logs.For(part))
}

// Program describes one daemon.
type Program[S any] struct {
	// Name is the name of the executable.
	Name string
	Role wire.Role
	// Load reads the settings file.
	Load func(path string) (*S, error)
	// Process returns the common part of the settings.
	Process func(*S) *settings.Process
	// Controls returns the peer addresses of the control hosts that the settings name.
	Controls func(*S) []string
	// Run works until ctx ends, then drains: it returns once no work is in
	// flight, or after Process.DrainTimeout.
	Run func(ctx context.Context, rt Runtime, s *S) error
}

// options is the command line.
type options struct {
	Config string `long:"config" required:"yes" value-name:"FILE" description:"Settings file of this process"`
	Check  bool   `long:"check" description:"Read the settings file, print every error and exit"`
}

// Main runs a daemon and returns its exit code. Args don't include the program's
// name.
func Main[S any](p Program[S], args []string, stdout, stderr io.Writer) int {
	// The handlers come first and go last, so that no signal ends a process that
	// is starting or that is writing its last log lines.
	signals := notifySignals()
	defer signals.stop()
	var opts options
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return usage(p.Name, err, stdout, stderr)
	}
	s, err := p.Load(opts.Config)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if opts.Check {
		fmt.Fprintf(stdout, "%s: no errors\n", opts.Config)
		return ExitOK
	}
	d := &daemon[S]{program: p, path: opts.Config, settings: s, signals: signals}
	return d.run(stdout, stderr)
}

func usage(name string, err error, stdout, stderr io.Writer) int {
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, f.Message)
		return ExitOK
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return ExitUsage
}

// daemon is a running program.
type daemon[S any] struct {
	program  Program[S]
	path     string
	settings *S
	signals  *signals
	rt       Runtime
	// controls are the control hosts of the settings as of the last reload.
	controls        []string
	controlsChanged chan []string
}

func (d *daemon[S]) run(stdout, stderr io.Writer) int {
	logWriter := logging.NewAsyncWriter(stdout)
	defer logWriter.Close()
	if err := d.prepare(logWriter); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.program.Name, err)
		return ExitFailed
	}
	defer d.rt.Metrics.Close()
	d.rt.Metrics.CounterFunc("log_dropped_lines_total", "Lines that were not written as the reader of the log was too slow or had gone.",
		func() float64 { return float64(logWriter.TotalDropped()) })
	if sig := d.signals.pendingEnd(); sig != nil {
		d.rt.Logs.For(logging.PartDaemon).Info("ended before serving", "signal", sig)
		return ExitOK
	}
	ctx, drain := context.WithCancel(context.Background())
	defer drain()
	ended := make(chan error, 1)
	go func() { ended <- d.work(ctx) }()
	return d.wait(ended, drain)
}

func (d *daemon[S]) prepare(logOutput io.Writer) error {
	p := d.program.Process(d.settings)
	logs, err := logging.New(logOutput, p.LogLevel, p.LogFormat)
	if err != nil {
		return err
	}
	id, err := d.identity(p)
	if err != nil {
		return err
	}
	onError := func(err error) {
		logs.For(logging.PartDaemon).Error("a metric was not registered", "err", err)
	}
	m := metrics.New(string(d.program.Role), p.ID, p.Domain, onError)
	d.controls, d.controlsChanged = d.program.Controls(d.settings), make(chan []string, 1)
	d.rt = Runtime{Identity: id, Logs: logs, Metrics: m, ControlsChanged: d.controlsChanged}
	return nil
}

// identity loads the process's keys, or generates them if it is self-signed.
func (d *daemon[S]) identity(p *settings.Process) (*keys.Identity, error) {
	if p.SelfSigned {
		return keys.SelfSigned(d.program.Role, p.ID, p.Domain)
	}
	id, err := keys.Load(p.Keys)
	if err != nil {
		return nil, err
	}
	want := keys.Name{Role: d.program.Role, ID: p.ID, Domain: p.Domain}
	if id.Name() != want {
		return nil, fmt.Errorf("keys: certificate in %s names %s, settings name %s", p.Keys, id.Name(), want)
	}
	return id, nil
}

// work runs the program and serves the metrics until the program ends.
func (d *daemon[S]) work(ctx context.Context) error {
	metricsCtx, stopMetrics := context.WithCancel(context.Background())
	var served sync.WaitGroup
	if addr := d.program.Process(d.settings).Metrics; addr != "" {
		served.Go(func() { d.serveMetrics(metricsCtx, addr) })
	}
	err := d.program.Run(ctx, d.rt, d.settings)
	stopMetrics()
	served.Wait()
	return err
}

// serveMetrics serves the metrics until ctx ends. It tries again after an error: the
// address may be held by a predecessor that has not quite ended, and the program's
// requests don't depend on its metrics.
func (d *daemon[S]) serveMetrics(ctx context.Context, addr string) {
	log := d.rt.Logs.For(logging.PartDaemon)
	lastError := ""
	for {
		err := d.rt.Metrics.Serve(ctx, addr)
		if ctx.Err() != nil {
			if err != nil {
				log.Warn("metrics connections cut off", "err", err)
			}
			return
		}
		if text := err.Error(); text != lastError {
			lastError = text
			log.Error("metrics not served, trying again", "err", err, "interval", metricsRetryInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(metricsRetryInterval):
		}
	}
}

// wait handles signals and the end of the program, and returns the exit code.
func (d *daemon[S]) wait(ended <-chan error, drain func()) int {
	log := d.rt.Logs.For(logging.PartDaemon)
	p := d.program.Process(d.settings)
	log.Info("started", "program", d.program.Name, "id", p.ID, "domain", p.Domain, "site", p.Site)
	var drainDeadline <-chan time.Time
	startDrain := func(sig os.Signal) {
		if drainDeadline != nil {
			log.Info("already draining, signal ignored", "signal", sig)
			return
		}
		log.Info("draining", "signal", sig, "timeout", p.DrainTimeout)
		drainDeadline = time.After(p.DrainTimeout + drainGrace)
		drain()
	}
	interrupts := 0
	for {
		select {
		case err := <-ended:
			if drainDeadline != nil && errors.Is(err, context.DeadlineExceeded) {
				log.Error("drain timed out, work in flight is cut off", "timeout", p.DrainTimeout, "err", err)
				logStacks(log)
				return ExitForced
			}
			if err != nil {
				log.Error("ended", "err", err)
				return ExitFailed
			}
			log.Info("ended")
			return ExitOK
		case <-drainDeadline:
			log.Error("drain timed out, work in flight is cut off", "timeout", p.DrainTimeout)
			logStacks(log)
			return ExitForced
		case <-d.signals.hangup:
			d.reload()
		case sig := <-d.signals.terminate:
			startDrain(sig)
		case sig := <-d.signals.interrupt:
			interrupts++
			if interrupts > 1 {
				log.Error("second interrupt, work in flight is cut off", "signal", sig)
				return ExitForced
			}
			startDrain(sig)
		}
	}
}

// reload reloads the keys, the log level and the control hosts.
func (d *daemon[S]) reload() {
	log := d.rt.Logs.For(logging.PartDaemon)
	if err := d.rt.Identity.Reload(); err != nil {
		log.Error("keys not reloaded, keeping the old ones", "err", err)
	} else {
		log.Info("keys reloaded", "expires", d.rt.Identity.Expires().UTC().Format(time.RFC3339))
	}
	s, err := d.program.Load(d.path)
	if err != nil {
		log.Error("settings not reloaded, keeping the old ones", "err", err)
		return
	}
	level := d.program.Process(s).LogLevel
	if err := d.rt.Logs.SetLevel(level); err != nil {
		log.Error("log level not changed", "err", err)
		return
	}
	d.reloadControls(s)
	log.Info("log level reloaded, settings other than the control hosts need a restart", "level", level, "controls", d.controls)
}

// reloadControls passes on the control hosts of the settings if they have changed.
func (d *daemon[S]) reloadControls(s *S) {
	controls := d.program.Controls(s)
	if slices.Equal(controls, d.controls) {
		return
	}
	d.controls = controls
	select {
	case <-d.controlsChanged:
	default:
	}
	d.controlsChanged <- controls
}
