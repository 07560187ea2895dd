package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/fireflytray/fireflytray/load"
	"github.com/fireflytray/fireflytray/load/workload"
)

// Options say what to measure.
type Options struct {
	// Out is the folder for the result and its plots.
	Out string
	// Agents are the sizes of the fleet of processes; none for reducers only.
	Agents []int
	// Window is how long a fleet is measured at each point.
	Window time.Duration
	// Progress gets a line a step; nil for none.
	Progress io.Writer
}

// The defaults of Options.
const (
	DefaultWindow = 10 * time.Second
	// MaxAgents bounds the processes.
	MaxAgents = 300
)

// DefaultAgents are the sizes of the fleet of processes.
var DefaultAgents = []int{10, 50, 200}

const (
	settle = 3 * time.Second
	// loadAgents is the size of the fleet under load and changes.
	loadAgents = 50
	loadMinRun = 50 * time.Millisecond
	loadMaxRun = 100 * time.Millisecond
	// timedChanges are the changes whose spreading is timed at each size.
	timedChanges = 5
)

// loadStarts are the task starts a second, entryCounts the entries and
// changeCounts the changes in a row at which the fleet of processes is measured.
var (
	loadStarts   = []float64{100, 400, 1200}
	entryCounts  = []int{1, 4, 12}
	changeCounts = []int{10, 30, 90}
)

// Run measures and writes the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if err := o.check(); err != nil {
		return nil, err
	}
	r := newResult()
	for _, step := range []struct {
		name string
		do   func(*Result) error
	}{
		{"message sizes", measureSizes},
		{"size of the fleet's page", measureFleetPage},
		{"entry's reducer", measureEntry},
		{"control's directory", measureDirectory},
		{"control's replicated state", measureMachine},
		{"control's claims", measureClaims},
	} {
		fmt.Fprintln(o.Progress, "measure:", step.name)
		if err := step.do(r); err != nil {
			return nil, err
		}
	}
	for _, kind := range []string{fleetAll, fleetSpread} {
		if len(o.Agents) == 0 {
			break
		}
		if err := measureFleet(ctx, &o, r, kind); err != nil {
			return nil, err
		}
	}
	return r, r.write(o.Out)
}

func (o *Options) check() error {
	if o.Out == "" {
		return errors.New("measure: no folder for the result")
	}
	if len(o.Agents) == 1 {
		return errors.New("measure: a line needs two sizes of the fleet")
	}
	last := 0
	for _, n := range o.Agents {
		if n <= last || n > MaxAgents {
			return fmt.Errorf("measure: agents %v: want rising numbers up to %d", o.Agents, MaxAgents)
		}
		last = n
	}
	if o.Window == 0 {
		o.Window = DefaultWindow
	}
	return nil
}

// The two fleets differ in where agents announce themselves.
const (
	fleetAll    = "all"
	fleetSpread = "spread"
)

// fleetRun measures a growing fleet of processes.
type fleetRun struct {
	opts *Options
	kind string
	f    *testFleet
	c    *collector
}

func measureFleet(ctx context.Context, o *Options, r *Result, kind string) error {
	dir, err := os.MkdirTemp("", "fireflytray-measure-")
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	f, err := newFleet(ctx, dir, kind == fleetSpread)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	m := &fleetRun{opts: o, kind: kind, f: f, c: newCollector()}
	for _, n := range o.Agents {
		if err := m.atSize(ctx, n); err != nil {
			return fmt.Errorf("%w; logs are in %s", err, dir)
		}
	}
	if err := m.c.into(r); err != nil {
		return err
	}
	f.stop()
	return removeAll(dir)
}

func removeAll(dir string) error {
	if err := os.RemoveAll(dir); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	return nil
}

func (m *fleetRun) atSize(ctx context.Context, n int) error {
	m.say("%s, %d agents: start", m.kind, n)
	if err := m.join(ctx, n); err != nil {
		return err
	}
	m.say("%s, %d agents: idle for %v", m.kind, n, m.opts.Window)
	if err := m.idle(ctx, n); err != nil {
		return err
	}
	if m.kind == fleetSpread {
		return m.entries(ctx, n)
	}
	if err := m.spread(ctx, n); err != nil {
		return err
	}
	if n != loadAgents {
		return nil
	}
	if err := m.load(ctx); err != nil {
		return err
	}
	pause(ctx, settle)
	return m.changes(ctx)
}

func (m *fleetRun) say(format string, args ...any) {
	fmt.Fprintf(m.opts.Progress, "measure: "+format+"\n", args...)
}

// join measures what the joining of agents costs control and the entry.
func (m *fleetRun) join(ctx context.Context, n int) error {
	joined := n - len(m.f.agents)
	use, _, err := m.f.during(ctx, func(ctx context.Context) error { return m.f.grow(ctx, n) })
	if err != nil {
		return err
	}
	pause(ctx, settle)
	if m.kind == fleetSpread {
		return nil
	}
	x := float64(joined)
	m.c.addUsage("control", "joins", AxisAgents, "", x, use.control)
	m.c.addUsage("entry", "joins", AxisAgents, "", x, use.entry)
	return nil
}

// idle measures what a fleet without work costs.
func (m *fleetRun) idle(ctx context.Context, n int) error {
	use, seconds, err := m.f.during(ctx, func(ctx context.Context) error {
		pause(ctx, m.opts.Window)
		return nil
	})
	if err != nil {
		return err
	}
	use = use.rates(seconds)
	x := float64(n)
	for _, role := range []struct {
		name string
		use  usage
	}{{"control", use.control}, {"control-most", use.controlMost}, {"entry", use.entry}, {"agent", use.agent}} {
		m.c.addUsage(role.name, m.axisName(), AxisAgents, "/s", x, role.use)
		m.c.addKinds(m.kind, role.name, n, role.use)
	}
	return nil
}

// axisName tells the series of the two fleets apart.
func (m *fleetRun) axisName() string {
	if m.kind == fleetSpread {
		return "spread-agents"
	}
	return "agents"
}

// entries measures idle agents against the entries that know them.
func (m *fleetRun) entries(ctx context.Context, n int) error {
	if n != loadAgents {
		return nil
	}
	defer m.f.stopMoreEntries()
	for _, entries := range entryCounts {
		m.say("%d entries: idle for %v", entries, m.opts.Window)
		if err := m.f.growEntries(ctx, entries); err != nil {
			return err
		}
		pause(ctx, 2*settle)
		use, seconds, err := m.f.during(ctx, func(ctx context.Context) error {
			pause(ctx, m.opts.Window)
			return nil
		})
		if err != nil {
			return err
		}
		m.c.addUsage("agent", "entries", AxisEntries, "/s", float64(entries), use.rates(seconds).agent)
	}
	return nil
}

// spread times changes until they are in force everywhere.
func (m *fleetRun) spread(ctx context.Context, n int) error {
	var longest time.Duration
	for range timedChanges {
		start := time.Now()
		if err := m.f.change(ctx); err != nil {
			return err
		}
		if err := m.f.awaitInForce(ctx); err != nil {
			return err
		}
		longest = max(longest, time.Since(start))
	}
	m.c.add("fleet.in-force-s.agents", AxisAgents, "s, longest of 5", float64(n), longest.Seconds())
	return nil
}

// load measures the entry and the agents against task starts.
func (m *fleetRun) load(ctx context.Context) error {
	for _, starts := range loadStarts {
		m.say("%v task starts/s for %v", starts, m.opts.Window)
		use, seconds, err := m.f.during(ctx, func(ctx context.Context) error { return m.send(ctx, starts) })
		if err != nil {
			return err
		}
		use = use.rates(seconds)
		m.c.addUsage("entry", "starts", AxisStarts, "/s", starts, use.entry)
		m.c.addUsage("agent", "starts", AxisStarts, "/s", starts/float64(len(m.f.agents)), use.agent)
		m.c.addUsage("control", "starts", AxisStarts, "/s", starts, use.control)
	}
	return nil
}

func (m *fleetRun) send(ctx context.Context, starts float64) error {
	cfg := workload.Default(reducerSeed)
	cfg.MinRun, cfg.MaxRun, cfg.SlowShare = loadMinRun, loadMaxRun, 0
	cfg.Teams[0].Name = "team-1"
	cfg.Rate = starts / cfg.MeanTasks()
	res, err := load.Run(ctx, load.Options{
		Entries: []string{"http://" + m.f.entry.spec.Callers}, Service: service, Load: cfg,
		Duration: m.opts.Window, Drain: startWithin,
	})
	if err != nil {
		return err
	}
	m.say("  %d tasks done of %d, over ideal %s", res.TasksDone, res.Tasks, res.Over)
	return res.Clean()
}

// changes measures control against configuration changes in a row.
func (m *fleetRun) changes(ctx context.Context) error {
	for _, n := range changeCounts {
		m.say("%d changes", n)
		pause(ctx, settle)
		use, _, err := m.f.during(ctx, func(ctx context.Context) error {
			for range n {
				if err := m.f.change(ctx); err != nil {
					return err
				}
			}
			return m.f.awaitInForce(ctx)
		})
		if err != nil {
			return err
		}
		x := float64(n)
		m.c.addUsage("control", "changes", AxisChanges, "", x, use.control)
		m.c.addUsage("entry", "changes", AxisChanges, "", x, use.entry)
		m.c.addUsage("agent", "changes", AxisChanges, "", x, use.agent)
	}
	return nil
}
