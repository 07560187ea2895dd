package workload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func generator(t testing.TB, change func(*Config)) *Generator {
	t.Helper()
	c := Default(1)
	c.Rate = 100
	if change != nil {
		change(&c)
	}
	g, err := New(c)
	require.NoError(t, err)
	return g
}

// RateFor relies on the computed means, so they must match the means of the
// generated submissions.
func TestDrawnMeansMatchComputedMeans(t *testing.T) {
	const n = 20_000
	g := generator(t, nil)
	tasks, work := 0, time.Duration(0)
	var last Submission
	for range n {
		last = g.Next()
		tasks += len(last.Tasks)
		work += last.Work()
		require.GreaterOrEqual(t, last.Longest(), last.Tasks[0].Run)
	}
	meanTasks := float64(tasks) / n
	require.InEpsilon(t, g.cfg.MeanTasks(), meanTasks, 0.03)
	require.InEpsilon(t, g.cfg.MeanRun().Seconds(), work.Seconds()/float64(tasks), 0.03)
	require.InEpsilon(t, g.cfg.Rate, n/last.At.Seconds(), 0.03)
	require.InEpsilon(t, 0.8*88, g.cfg.RateFor(0.8, 88)*work.Seconds()/n, 0.05)
}

func TestDrawsStayWithinBounds(t *testing.T) {
	g := generator(t, nil)
	c := g.cfg
	slow, tasks, sizes := 0, 0, map[int]bool{}
	for range 5000 {
		s := g.Next()
		sizes[len(s.Tasks)] = true
		for _, task := range s.Tasks {
			tasks++
			if task.Run > c.MaxRun {
				slow++
				require.True(t, task.Run >= c.SlowMin && task.Run <= c.SlowMax)
			}
			require.GreaterOrEqual(t, task.Run, c.MinRun)
			declaredFactor := float64(task.Declared) / float64(task.Run)
			require.True(t, declaredFactor > 0.249 && declaredFactor < 4.001)
		}
	}
	require.True(t, sizes[1] && sizes[c.MaxTasks] && !sizes[c.MaxTasks+1] && !sizes[0])
	require.InDelta(t, c.SlowShare, float64(slow)/float64(tasks), 0.003)
}

// The same seed gives the same jobs at any rate; a different seed gives different
// jobs.
func TestSeedDeterminesLoad(t *testing.T) {
	a, b := generator(t, nil), generator(t, func(c *Config) { c.Rate = 7 })
	other := generator(t, func(c *Config) { c.Seed = 2 })
	differs := false
	for range 100 {
		s := a.Next()
		require.Equal(t, s.Tasks, b.Next().Tasks)
		differs = differs || s.Tasks[0] != other.Next().Tasks[0]
	}
	require.True(t, differs)
}

func TestBurstRaisesOneTeamOnly(t *testing.T) {
	g := generator(t, func(c *Config) {
		c.Teams = []Team{{"a", 3}, {"b", 1}}
		c.Burst = Burst{Interval: 10 * time.Second, Duration: 2 * time.Second, Factor: 10, Team: "b"}
	})
	normal, burst := map[string]float64{}, map[string]float64{}
	const cycles = 100
	for {
		s := g.Next()
		if s.At > (cycles+1)*10*time.Second {
			break
		}
		if s.At < 10*time.Second {
			continue
		}
		if s.At%(10*time.Second) < 2*time.Second {
			burst[s.Team] += 1.0 / (cycles * 2)
		} else {
			normal[s.Team] += 1.0 / (cycles * 8)
		}
	}
	require.InEpsilon(t, 75, normal["a"], 0.05)
	require.InEpsilon(t, 25, normal["b"], 0.05)
	require.InEpsilon(t, 75, burst["a"], 0.05)
	require.InEpsilon(t, 250, burst["b"], 0.05)
}

// With a low rate, several bursts can fall between two arrivals; all of them must
// count toward the mean rate.
func TestArrivalsSpanningSeveralBursts(t *testing.T) {
	g := generator(t, func(c *Config) {
		c.Kind = Requests
		c.Rate = 0.1
		c.Burst = Burst{Interval: time.Second, Duration: 500 * time.Millisecond, Factor: 3}
	})
	const n = 20_000
	var last Submission
	for range n {
		last = g.Next()
	}
	require.InEpsilon(t, 0.2, n/last.At.Seconds(), 0.03)
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"kind":     func(c *Config) { c.Kind = "both" },
		"tasks":    func(c *Config) { c.MaxTasks = 0 },
		"run":      func(c *Config) { c.MaxRun = c.MinRun - 1 },
		"slow":     func(c *Config) { c.SlowShare = 2 },
		"declared": func(c *Config) { c.DeclaredError = 0.5 },
		"rate":     func(c *Config) { c.Rate = math.NaN() },
		"team":     func(c *Config) { c.Teams = nil },
		"share":    func(c *Config) { c.Teams[0].Share = 0 },
		"burst":    func(c *Config) { c.Burst = Burst{Interval: 1, Duration: 2, Factor: 2} },
		"stranger": func(c *Config) { c.Burst = Burst{Interval: 2, Duration: 1, Factor: 2, Team: "x"} },
	} {
		c := Default(1)
		c.Rate = 1
		require.NoError(t, c.Check())
		change(&c)
		require.Error(t, c.Check(), name)
	}
}

func BenchmarkNext(b *testing.B) {
	g := generator(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		g.Next()
	}
}
