// Package workload generates the submissions of a load from a seed: arrivals,
// job sizes, run times, declared run times and teams. It is pure, so that the
// load tool, benchmarks and tests of reducers use the same loads.
package workload

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Kind says what is submitted.
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
	// MaxTasks is the size of the largest job; sizes are log-uniform from 1.
	MaxTasks int
	// Run times are log-uniform from MinRun to MaxRun, and for SlowShare of
	// the tasks from SlowMin to SlowMax.
	MinRun, MaxRun   time.Duration
	SlowShare        float64
	SlowMin, SlowMax time.Duration
	// DeclaredError is the factor by which declared run times are off at most,
	// both ways, log-uniform.
	DeclaredError float64
	Teams         []Team
	// Rate is the submissions a second outside bursts.
	Rate  float64
	Burst Burst
}

// Team is a team with its share of the submissions.
type Team struct {
	Name  string
	Share float64
}

// Burst multiplies the rate for a while, again and again.
type Burst struct {
	// Interval is the time from start to start; zero for no bursts. The first
	// starts after one Every.
	Interval time.Duration
	// Duration is how long each lasts.
	Duration time.Duration
	// Factor multiplies the rate of Team, or of all teams if that is empty.
	Factor float64
	Team   string
}

// Default returns the load of the brief without a rate.
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

// Check returns the first fault of a configuration.
func (c *Config) Check() error {
	switch {
	case c.Kind != Jobs && c.Kind != Requests:
		return fmt.Errorf("workload: kind %q: want %s or %s", c.Kind, Jobs, Requests)
	case c.MaxTasks < 1:
		return errors.New("workload: want at least one task a job")
	case c.MinRun <= 0 || c.MaxRun < c.MinRun:
		return errors.New("workload: want 0 < least run time <= largest")
	case c.SlowShare < 0 || c.SlowShare > 1:
		return errors.New("workload: want a share of slow tasks from 0 to 1")
	case c.SlowShare > 0 && (c.SlowMin <= 0 || c.SlowMax < c.SlowMin):
		return errors.New("workload: want 0 < least slow run time <= largest")
	case c.DeclaredError < 1:
		return errors.New("workload: want a declared error of at least 1")
	case !(c.Rate > 0) || math.IsInf(c.Rate, 0):
		return errors.New("workload: want a rate above zero")
	}
	if err := c.checkTeams(); err != nil {
		return err
	}
	return c.checkBurst()
}

func (c *Config) checkTeams() error {
	if len(c.Teams) == 0 {
		return errors.New("workload: want at least one team")
	}
	for _, t := range c.Teams {
		if !(t.Share > 0) {
			return fmt.Errorf("workload: team %q: want a share above zero", t.Name)
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
		return errors.New("workload: want 0 < length of a burst < time between bursts, and a factor of at least 1")
	}
	for _, t := range c.Teams {
		if b.Team == "" || b.Team == t.Name {
			return nil
		}
	}
	return fmt.Errorf("workload: burst of team %q, which has no share", b.Team)
}

// MeanTasks returns the mean number of tasks a submission.
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

// MeanRun returns the mean run time of a task.
func (c *Config) MeanRun() time.Duration {
	mean := (1 - c.SlowShare) * meanLogUniform(c.MinRun, c.MaxRun)
	if c.SlowShare > 0 {
		mean += c.SlowShare * meanLogUniform(c.SlowMin, c.SlowMax)
	}
	return time.Duration(mean)
}

// RateFor returns the submissions a second that keep a share of slots busy.
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
