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
	settleTime = 3 * time.Second
	// loadAgents is the size of the fleet under load and changes.
	loadAgents = 50
	loadMinRun = 50 * time.Millisecond
	loadMaxRun = 100 * time.Millisecond
	// timedChangeCount are the changes whose spreading is timed at each size.
	timedChangeCount = 5
)

// loadStartRates are the task starts a second, entryCounts the entries and
// changeCounts the changes in a row at which the fleet of processes is measured.
var (
	loadStartRates = []float64{100, 400, 1200}
	entryCounts    = []int{1, 4, 12}
	changeCounts   = []int{10, 30, 90}
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
		{"size of the fleet's page", measureFleetReply},
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
	opts      *Options
	kind      string
	fleet     *testFleet
	collector *collector
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
	m := &fleetRun{opts: o, kind: kind, fleet: f, collector: newCollector()}
	for _, n := range o.Agents {
		if err := m.measureSize(ctx, n); err != nil {
			return fmt.Errorf("%w; logs are in %s", err, dir)
		}
	}
	if err := m.collector.addTo(r); err != nil {
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

func (m *fleetRun) measureSize(ctx context.Context, n int) error {
	m.progressf("%s, %d agents: start", m.kind, n)
	if err := m.measureJoin(ctx, n); err != nil {
		return err
	}
	m.progressf("%s, %d agents: idle for %v", m.kind, n, m.opts.Window)
	if err := m.measureIdle(ctx, n); err != nil {
		return err
	}
	if m.kind == fleetSpread {
		return m.measureEntries(ctx, n)
	}
	if err := m.measurePropagation(ctx, n); err != nil {
		return err
	}
	if n != loadAgents {
		return nil
	}
	if err := m.measureLoad(ctx); err != nil {
		return err
	}
	pause(ctx, settleTime)
	return m.measureChanges(ctx)
}

func (m *fleetRun) progressf(format string, args ...any) {
	fmt.Fprintf(m.opts.Progress, "measure: "+format+"\n", args...)
}

// measureJoin measures what the joining of agents costs control and the entry.
func (m *fleetRun) measureJoin(ctx context.Context, n int) error {
	joined := n - len(m.fleet.agents)
	use, _, err := m.fleet.measureDuring(ctx, func(ctx context.Context) error { return m.fleet.scaleAgents(ctx, n) })
	if err != nil {
		return err
	}
	pause(ctx, settleTime)
	if m.kind == fleetSpread {
		return nil
	}
	x := float64(joined)
	m.collector.addUsage("control", "joins", AxisAgents, "", x, use.control)
	m.collector.addUsage("entry", "joins", AxisAgents, "", x, use.entry)
	return nil
}

// measureIdle measures what a fleet without work costs.
func (m *fleetRun) measureIdle(ctx context.Context, n int) error {
	use, seconds, err := m.fleet.measureDuring(ctx, func(ctx context.Context) error {
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
	}{{"control", use.control}, {"control-most", use.controlMax}, {"entry", use.entry}, {"agent", use.agent}} {
		m.collector.addUsage(role.name, m.axisSuffix(), AxisAgents, "/s", x, role.use)
		m.collector.addKinds(m.kind, role.name, n, role.use)
	}
	return nil
}

// axisSuffix tells the series of the two fleets apart.
func (m *fleetRun) axisSuffix() string {
	if m.kind == fleetSpread {
		return "spread-agents"
	}
	return "agents"
}

// measureEntries measures idle agents against the entries that know them.
func (m *fleetRun) measureEntries(ctx context.Context, n int) error {
	if n != loadAgents {
		return nil
	}
	defer m.fleet.stopExtraEntries()
	for _, entries := range entryCounts {
		m.progressf("%d entries: idle for %v", entries, m.opts.Window)
		if err := m.fleet.scaleEntries(ctx, entries); err != nil {
			return err
		}
		pause(ctx, 2*settleTime)
		use, seconds, err := m.fleet.measureDuring(ctx, func(ctx context.Context) error {
			pause(ctx, m.opts.Window)
			return nil
		})
		if err != nil {
			return err
		}
		m.collector.addUsage("agent", "entries", AxisEntries, "/s", float64(entries), use.rates(seconds).agent)
	}
	return nil
}

// measurePropagation times changes until they are in force everywhere.
func (m *fleetRun) measurePropagation(ctx context.Context, n int) error {
	var longest time.Duration
	for range timedChangeCount {
		start := time.Now()
		if err := m.fleet.applyChange(ctx); err != nil {
			return err
		}
		if err := m.fleet.awaitInForce(ctx); err != nil {
			return err
		}
		longest = max(longest, time.Since(start))
	}
	m.collector.add("fleet.in-force-s.agents", AxisAgents, "s, longest of 5", float64(n), longest.Seconds())
	return nil
}

// measureLoad measures the entry and the agents against task starts.
func (m *fleetRun) measureLoad(ctx context.Context) error {
	for _, starts := range loadStartRates {
		m.progressf("%v task starts/s for %v", starts, m.opts.Window)
		use, seconds, err := m.fleet.measureDuring(ctx, func(ctx context.Context) error { return m.sendLoad(ctx, starts) })
		if err != nil {
			return err
		}
		use = use.rates(seconds)
		m.collector.addUsage("entry", "starts", AxisStarts, "/s", starts, use.entry)
		m.collector.addUsage("agent", "starts", AxisStarts, "/s", starts/float64(len(m.fleet.agents)), use.agent)
		m.collector.addUsage("control", "starts", AxisStarts, "/s", starts, use.control)
	}
	return nil
}

func (m *fleetRun) sendLoad(ctx context.Context, starts float64) error {
	cfg := workload.Default(reducerSeed)
	cfg.MinRun, cfg.MaxRun, cfg.SlowShare = loadMinRun, loadMaxRun, 0
	cfg.Teams[0].Name = "team-1"
	cfg.Rate = starts / cfg.MeanTasks()
	res, err := load.Run(ctx, load.Options{
		Entries: []string{"http://" + m.fleet.entry.spec.Callers}, Service: service, Load: cfg,
		Duration: m.opts.Window, Drain: startTimeout,
	})
	if err != nil {
		return err
	}
	m.progressf("  %d tasks done of %d, over ideal %s", res.TasksDone, res.Tasks, res.Slowdown)
	return res.Verify()
}

// measureChanges measures control against configuration changes in a row.
func (m *fleetRun) measureChanges(ctx context.Context) error {
	for _, n := range changeCounts {
		m.progressf("%d changes", n)
		pause(ctx, settleTime)
		use, _, err := m.fleet.measureDuring(ctx, func(ctx context.Context) error {
			for range n {
				if err := m.fleet.applyChange(ctx); err != nil {
					return err
				}
			}
			return m.fleet.awaitInForce(ctx)
		})
		if err != nil {
			return err
		}
		x := float64(n)
		m.collector.addUsage("control", "changes", AxisChanges, "", x, use.control)
		m.collector.addUsage("entry", "changes", AxisChanges, "", x, use.entry)
		m.collector.addUsage("agent", "changes", AxisChanges, "", x, use.agent)
	}
	return nil
}
