// Package workload generates the submissions of a load from a seed: arrivals,
// job sizes, run times, declared run times and teams. It uses no clock and does
// no I/O, so that the load tool, benchmarks and tests of reducers can use the
// same loads.
package workload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Kind is the kind of submissions in a load.
type Kind string

// The kinds of load.
const (
	Jobs     Kind = "jobs"
	Requests Kind = "requests"
)

// Config describes a load.
type Config struct {
	Seed uint64
	Kind Kind
	// MaxTasks is the size of the largest job. Job sizes are log-uniformly
	// distributed from 1 to MaxTasks.
	MaxTasks int
	// Run times are log-uniformly distributed from MinRun to MaxRun. A share
	// SlowShare of the tasks has run times from SlowMin to SlowMax instead.
	MinRun, MaxRun   time.Duration
	SlowShare        float64
	SlowMin, SlowMax time.Duration
	// DeclaredError is the largest factor by which a declared run time exceeds or
	// falls short of the actual one; the factor is log-uniformly distributed.
	DeclaredError float64
	Teams         []Team
	// Rate is the number of submissions per second outside bursts.
	Rate  float64
	Burst Burst
}

// Team is a team with its relative share of the submissions.
type Team struct {
	Name  string
	Share float64
}

// Burst describes periodic bursts during which the rate is multiplied.
type Burst struct {
	// Interval is the time from the start of one burst to the start of the next;
	// zero disables bursts. The first burst starts after one Interval.
	Interval time.Duration
	// Duration is the length of each burst.
	Duration time.Duration
	// Factor multiplies the rate of Team, or of all teams if Team is empty.
	Factor float64
	Team   string
}

// Default returns the load that the system is designed for. The caller sets Rate.
func Default(seed uint64) Config {
	return Config{
		Seed:          seed,
		Kind:          Jobs,
		MaxTasks:      140,
		MinRun:        50 * time.Millisecond,
		MaxRun:        time.Second,
		SlowShare:     0.01,
		SlowMin:       2 * time.Second,
		SlowMax:       5 * time.Second,
		DeclaredError: 4,
		Teams:         []Team{{Name: "default", Share: 1}},
	}
}

// Check returns an error for the first invalid setting of a configuration.
func (c *Config) Check() error {
	switch {
	case c.Kind != Jobs && c.Kind != Requests:
		return fmt.Errorf("workload: kind %q: want %s or %s", c.Kind, Jobs, Requests)
	case c.MaxTasks < 1:
		return errors.New("workload: the largest job needs at least one task")
	case c.MinRun <= 0 || c.MaxRun < c.MinRun:
		return errors.New("workload: run times must satisfy 0 < minimum <= maximum")
	case c.SlowShare < 0 || c.SlowShare > 1:
		return errors.New("workload: share of slow tasks must be from 0 to 1")
	case c.SlowShare > 0 && (c.SlowMin <= 0 || c.SlowMax < c.SlowMin):
		return errors.New("workload: slow run times must satisfy 0 < minimum <= maximum")
	case c.DeclaredError < 1:
		return errors.New("workload: declared error must be at least 1")
	case !(c.Rate > 0) || math.IsInf(c.Rate, 0):
		return errors.New("workload: rate must be positive and finite")
	}
	if err := c.checkTeams(); err != nil {
		return err
	}
	return c.checkBurst()
}

func (c *Config) checkTeams() error {
	if len(c.Teams) == 0 {
		return errors.New("workload: at least one team is required")
	}
	for _, t := range c.Teams {
		if !(t.Share > 0) {
			return fmt.Errorf("workload: team %q: share must be positive", t.Name)
		}
	}
	return nil
}

func (c *Config) checkBurst() error {
	b := c.Burst
	if b.Interval == 0 {
		return nil
	}
	if b.Duration <= 0 || b.Duration >= b.Interval || !(b.Factor >= 1) {
		return errors.New("workload: bursts must satisfy 0 < duration < interval, with a factor of at least 1")
	}
	for _, t := range c.Teams {
		if b.Team == "" || b.Team == t.Name {
			return nil
		}
	}
	return fmt.Errorf("workload: burst team %q is not among the teams", b.Team)
}

// MeanTasks returns the expected number of tasks per submission.
func (c *Config) MeanTasks() float64 {
	if c.Kind == Requests {
		return 1
	}
	sum := 0.0
	for n := 1; n <= c.MaxTasks; n++ {
		sum += float64(n) * math.Log(float64(n+1)/float64(n))
	}
	return sum / math.Log(float64(c.MaxTasks+1))
}

// MeanRun returns the expected run time of a task.
func (c *Config) MeanRun() time.Duration {
	mean := (1 - c.SlowShare) * meanLogUniform(c.MinRun, c.MaxRun)
	if c.SlowShare > 0 {
		mean += c.SlowShare * meanLogUniform(c.SlowMin, c.SlowMax)
	}
	return time.Duration(mean)
}

// RateFor returns the number of submissions per second that keeps the share
// utilisation of the slots busy.
func (c *Config) RateFor(utilisation float64, slots int) float64 {
	return utilisation * float64(slots) / (c.MeanTasks() * c.MeanRun().Seconds())
}

func meanLogUniform(lo, hi time.Duration) float64 {
	if lo == hi {
		return float64(lo)
	}
	return float64(hi-lo) / math.Log(float64(hi)/float64(lo))
}

func logUniform(r *rand.Rand, lo, hi float64) float64 {
	return lo * math.Exp(r.Float64()*math.Log(hi/lo))
}
