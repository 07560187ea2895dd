package workload

import (
	"math/rand/v2"
	"time"
)

// Submission is one job or request of a load.
type Submission struct {
	// N counts submissions from 0.
	N int
	// At is the intended time of sending, from the start of the load.
	At    time.Duration
	Team  string
	Tasks []Task
}

// Task is one task of a submission.
type Task struct {
	// Run is how long the task is to run.
	Run time.Duration
	// Declared is what the caller says of it.
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

// Work returns the sum of the run times.
func (s *Submission) Work() time.Duration {
	var sum time.Duration
	for _, t := range s.Tasks {
		sum += t.Run
	}
	return sum
}

// The random streams of a seed: arrivals and contents don't disturb each other,
// so that the same seed gives the same jobs at any rate.
const (
	streamArrivals = iota + 1
	streamContents
)

// Generator draws the submissions of a load in order.
type Generator struct {
	cfg       Config
	arrivals  *rand.Rand
	contents  *rand.Rand
	generated int
	at        time.Duration
}

// New returns a generator.
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

// nextArrival integrates the rate, which is constant between the edges of
// bursts, up to an exponential draw.
func (g *Generator) nextArrival() time.Duration {
	left := g.arrivals.ExpFloat64()
	at := g.at
	for {
		rate := g.totalRate(at)
		edge, ok := g.cfg.Burst.nextEdge(at)
		expected := rate * (edge - at).Seconds()
		if !ok || left <= expected {
			return at + time.Duration(left/rate*float64(time.Second))
		}
		left -= expected
		at = edge
	}
}

func (g *Generator) totalRate(at time.Duration) float64 {
	if !g.cfg.Burst.active(at) {
		return g.cfg.Rate
	}
	base, all := 0.0, 0.0
	for _, t := range g.cfg.Teams {
		base += t.Share
		all += g.share(t, at)
	}
	return g.cfg.Rate * all / base
}

// share returns a team's share, raised in a burst.
func (g *Generator) share(t Team, at time.Duration) float64 {
	b := g.cfg.Burst
	if b.active(at) && (b.Team == "" || b.Team == t.Name) {
		return t.Share * b.Factor
	}
	return t.Share
}

func (g *Generator) drawTeam() string {
	all := 0.0
	for _, t := range g.cfg.Teams {
		all += g.share(t, g.at)
	}
	draw := g.arrivals.Float64() * all
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
	off := logUniform(g.contents, 1/g.cfg.DeclaredError, g.cfg.DeclaredError)
	return Task{Run: time.Duration(run), Declared: time.Duration(run * off)}
}

func (b Burst) active(at time.Duration) bool {
	return b.Interval > 0 && at >= b.Interval && at%b.Interval < b.Duration
}

// nextEdge returns the next time after at when a burst starts or ends.
func (b Burst) nextEdge(at time.Duration) (time.Duration, bool) {
	if b.Interval == 0 {
		return 0, false
	}
	if b.active(at) {
		return at - at%b.Interval + b.Duration, true
	}
	return at - at%b.Interval + b.Interval, true
}
