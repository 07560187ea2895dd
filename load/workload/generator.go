package workload

import (
	"math/rand/v2"
	"time"
)

// Submission is one job or request of a load.
type Submission struct {
	// N is the sequence number, from 0.
	N int
	// At is the intended send time, relative to the start of the load.
	At    time.Duration
	Team  string
	Tasks []Task
}

// Task is one task of a submission.
type Task struct {
	// Run is the actual run time of the task.
	Run time.Duration
	// Declared is the run time that the caller declares.
	Declared time.Duration
}

// Longest returns the longest run time among the tasks.
func (s *Submission) Longest() time.Duration {
	var longest time.Duration
	for _, t := range s.Tasks {
		longest = max(longest, t.Run)
	}
	return longest
}

// Work returns the sum of the run times of the tasks.
func (s *Submission) Work() time.Duration {
	var sum time.Duration
	for _, t := range s.Tasks {
		sum += t.Run
	}
	return sum
}

// Arrivals and contents are drawn from separate random streams of the seed, so
// that the same seed gives the same jobs at any rate.
const (
	streamArrivals = iota + 1
	streamContents
)

// Generator generates the submissions of a load in order of their send times.
type Generator struct {
	cfg       Config
	arrivals  *rand.Rand
	contents  *rand.Rand
	generated int
	at        time.Duration
}

// New returns a Generator for a valid configuration.
func New(cfg Config) (*Generator, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Generator{
		cfg:      cfg,
		arrivals: rand.New(rand.NewPCG(cfg.Seed, streamArrivals)),
		contents: rand.New(rand.NewPCG(cfg.Seed, streamContents)),
	}, nil
}

// Next returns the next submission.
func (g *Generator) Next() Submission {
	g.at = g.nextArrival()
	s := Submission{N: g.generated, At: g.at, Team: g.drawTeam()}
	g.generated++
	s.Tasks = make([]Task, g.drawSize())
	for i := range s.Tasks {
		s.Tasks[i] = g.drawTask()
	}
	return s
}

// nextArrival draws the time of the next arrival of a Poisson process with a
// varying rate: it integrates the rate, which is constant between the edges of
// bursts, until the integral reaches an exponentially distributed value.
func (g *Generator) nextArrival() time.Duration {
	remaining := g.arrivals.ExpFloat64()
	at := g.at
	for {
		rate := g.totalRate(at)
		edge, ok := g.cfg.Burst.nextEdge(at)
		expected := rate * (edge - at).Seconds()
		if !ok || remaining <= expected {
			return at + time.Duration(remaining/rate*float64(time.Second))
		}
		remaining -= expected
		at = edge
	}
}

func (g *Generator) totalRate(at time.Duration) float64 {
	if !g.cfg.Burst.active(at) {
		return g.cfg.Rate
	}
	base, raised := 0.0, 0.0
	for _, t := range g.cfg.Teams {
		base += t.Share
		raised += g.share(t, at)
	}
	return g.cfg.Rate * raised / base
}

// share returns a team's share, multiplied by the burst factor during a burst of
// that team.
func (g *Generator) share(t Team, at time.Duration) float64 {
	b := g.cfg.Burst
	if b.active(at) && (b.Team == "" || b.Team == t.Name) {
		return t.Share * b.Factor
	}
	return t.Share
}

func (g *Generator) drawTeam() string {
	total := 0.0
	for _, t := range g.cfg.Teams {
		total += g.share(t, g.at)
	}
	draw := g.arrivals.Float64() * total
	for _, t := range g.cfg.Teams {
		draw -= g.share(t, g.at)
		if draw < 0 {
			return t.Name
		}
	}
	return g.cfg.Teams[len(g.cfg.Teams)-1].Name
}

func (g *Generator) drawSize() int {
	if g.cfg.Kind == Requests {
		return 1
	}
	n := int(logUniform(g.contents, 1, float64(g.cfg.MaxTasks+1)))
	return min(n, g.cfg.MaxTasks)
}

func (g *Generator) drawTask() Task {
	lo, hi := g.cfg.MinRun, g.cfg.MaxRun
	if g.contents.Float64() < g.cfg.SlowShare {
		lo, hi = g.cfg.SlowMin, g.cfg.SlowMax
	}
	run := logUniform(g.contents, float64(lo), float64(hi))
	errorFactor := logUniform(g.contents, 1/g.cfg.DeclaredError, g.cfg.DeclaredError)
	return Task{Run: time.Duration(run), Declared: time.Duration(run * errorFactor)}
}

func (b Burst) active(at time.Duration) bool {
	return b.Interval > 0 && at >= b.Interval && at%b.Interval < b.Duration
}

// nextEdge returns the first time after at at which a burst starts or ends, and
// false if there are no bursts.
func (b Burst) nextEdge(at time.Duration) (time.Duration, bool) {
	if b.Interval == 0 {
		return 0, false
	}
	if b.active(at) {
		return at - at%b.Interval + b.Duration, true
	}
	return at - at%b.Interval + b.Interval, true
}
