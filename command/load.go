package command

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/load"
	"github.com/fireflytray/fireflytray/load/workload"
)

var _ = register("load", "Load entries and measure response times",
	"Generates an open-loop load: sends jobs or requests to entries at seeded times without waiting for earlier answers, checks every answer "+
		"and reports response times over the ideal. Exits with 1 if an answer was lost or invalid, or if a task was started more than once.",
	func(e *Env) any { return &loadCommand{env: e} })

type loadCommand struct {
	env *Env

	Entries     []string      `long:"entry" required:"yes" value-name:"URL" description:"Base URL of an entry; may be repeated"`
	Service     string        `long:"service" required:"yes" description:"Service to load"`
	Kind        string        `long:"kind" default:"jobs" choice:"jobs" choice:"requests" description:"What to send"`
	Rate        float64       `long:"rate" description:"Submissions per second outside bursts"`
	Utilisation float64       `long:"utilisation" description:"Share of --slots to keep busy, instead of --rate"`
	Slots       int           `long:"slots" description:"Slots of the whole service, with --utilisation"`
	Duration    time.Duration `long:"duration" default:"60s" description:"How long to send"`
	Warmup      time.Duration `long:"warmup" description:"Initial part of the run to exclude from the response times"`
	Drain       time.Duration `long:"drain" default:"60s" description:"How long to wait for answers after the last submission"`
	Deadline    time.Duration `long:"deadline" description:"Deadline of every submission"`
	RoundTrip   time.Duration `long:"round-trip" description:"Round-trip time included in the ideal (default: measured)"`
	Seed        uint64        `long:"seed" default:"1" description:"Seed of the load"`
	MaxTasks    int           `long:"max-tasks" default:"140" description:"Tasks of the largest job"`
	MinRun      time.Duration `long:"min-run" default:"50ms" description:"Shortest run time"`
	MaxRun      time.Duration `long:"max-run" default:"1s" description:"Longest run time, except for slow tasks"`
	SlowShare   float64       `long:"slow-share" default:"0.01" description:"Share of tasks that run from 2 s to 5 s"`
	Teams       []string      `long:"team" value-name:"NAME[=SHARE]" description:"Team with its share; may be repeated (default: default)"`
	BurstEvery  time.Duration `long:"burst-every" description:"Interval between the starts of bursts"`
	BurstFor    time.Duration `long:"burst-for" default:"5s" description:"Length of a burst"`
	BurstFactor float64       `long:"burst-factor" default:"10" description:"Factor on the rate during a burst"`
	BurstTeam   string        `long:"burst-team" description:"Team that bursts (default: all)"`
	Idempotent  bool          `long:"idempotent" description:"Mark requests as idempotent"`
	Work        string        `long:"work" choice:"sleep" choice:"cpu" description:"What the stand-in upstream does (default: its own)"`
	Upstreams   []string      `long:"upstream" value-name:"URL" description:"Base URL of a stand-in upstream whose journal is checked; may be repeated"`
	Metrics     []string      `long:"metrics" value-name:"URL" description:"Prometheus page whose message counters are read; may be repeated"`
	Plot        string        `long:"plot" value-name:"FILE" description:"Write a plot of the time line to an .svg or .png file"`
	Quiet       bool          `long:"quiet" description:"Show no progress"`
}

// Execute runs the load.
func (c *loadCommand) Execute([]string) error {
	opts, err := c.options()
	if err != nil {
		return Exit(ExitUsage, "%w", err)
	}
	result, err := load.Run(c.env.Context, opts)
	if result == nil {
		return Exit(ExitUnavailable, "%w", err)
	}
	if printErr := c.print(result); printErr != nil {
		return printErr
	}
	return errors.Join(err, result.Verify())
}

func (c *loadCommand) print(r *load.Result) error {
	if c.Plot != "" {
		if err := r.Plot(c.Plot); err != nil {
			return err
		}
	}
	if c.env.JSON {
		return c.env.printJSON(r)
	}
	return r.WriteText(c.env.Stdout)
}

func (c *loadCommand) options() (load.Options, error) {
	cfg, err := c.workload()
	if err != nil {
		return load.Options{}, err
	}
	progress := c.env.Stderr
	if c.Quiet {
		progress = io.Discard
	}
	return load.Options{
		Entries:    c.Entries,
		Service:    c.Service,
		Load:       cfg,
		Duration:   c.Duration,
		Warmup:     c.Warmup,
		Drain:      c.Drain,
		Deadline:   c.Deadline,
		RoundTrip:  c.RoundTrip,
		Idempotent: c.Idempotent,
		Work:       c.Work,
		Upstreams:  c.Upstreams,
		Metrics:    c.Metrics,
		Progress:   progress,
	}, nil
}

func (c *loadCommand) workload() (workload.Config, error) {
	cfg := workload.Default(c.Seed)
	cfg.Kind = workload.Kind(c.Kind)
	cfg.MaxTasks = c.MaxTasks
	cfg.MinRun, cfg.MaxRun = c.MinRun, c.MaxRun
	cfg.SlowShare = c.SlowShare
	if c.BurstEvery > 0 {
		cfg.Burst = workload.Burst{Interval: c.BurstEvery, Duration: c.BurstFor, Factor: c.BurstFactor, Team: c.BurstTeam}
	}
	if err := c.setTeams(&cfg); err != nil {
		return cfg, err
	}
	if err := c.setRate(&cfg); err != nil {
		return cfg, err
	}
	return cfg, cfg.Check()
}

func (c *loadCommand) setTeams(cfg *workload.Config) error {
	if len(c.Teams) == 0 {
		return nil
	}
	cfg.Teams = nil
	for _, t := range c.Teams {
		name, share, given := strings.Cut(t, "=")
		if !given {
			share = "1"
		}
		v, err := strconv.ParseFloat(share, 64)
		if err != nil {
			return fmt.Errorf("--team %q: want NAME or NAME=SHARE", t)
		}
		cfg.Teams = append(cfg.Teams, workload.Team{Name: name, Share: v})
	}
	return nil
}

func (c *loadCommand) setRate(cfg *workload.Config) error {
	byUtilisation := c.Utilisation > 0 && c.Slots > 0
	if (c.Rate > 0) == byUtilisation {
		return errors.New("want either --rate or --utilisation with --slots")
	}
	cfg.Rate = c.Rate
	if byUtilisation {
		cfg.Rate = cfg.RateFor(c.Utilisation, c.Slots)
	}
	return nil
}
