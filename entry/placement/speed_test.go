package placement

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

var small, large = task.Resources{MilliCPU: 64000}, task.Resources{MilliCPU: 96000}

// observed returns the runs of an upstream that takes factor times as long as declared, with
// declared run times off by up to 0.4 and one run in 33 that takes seven times as long.
func observed(rng *rand.Rand, factor float64, runs int) RunTimes {
	var r RunTimes
	for range runs {
		x := math.Log(factor) + 0.4*(2*rng.Float64()-1)
		if rng.IntN(33) == 0 {
			x += math.Log(7)
		}
		r.Observe(x)
	}
	return r
}

func fleetOf(rng *rand.Rand, runs int) []Upstream {
	var all []Upstream
	for range 20 {
		all = append(all, Upstream{Kind: small, Runs: observed(rng, 0.7, runs)},
			Upstream{Kind: small, Runs: observed(rng, 0.7, runs)},
			Upstream{Kind: large, Runs: observed(rng, 1.7, runs)})
	}
	return all
}

func TestSpeedsAreRelativeToTheMeanRunTime(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i, v := range Speeds(fleetOf(rng, 40), 0.1) {
		want := (0.7*2 + 1.7) / 3 / 0.7
		if i%3 == 2 {
			want = (0.7*2 + 1.7) / 3 / 1.7
		}
		require.InEpsilon(t, want, v, 0.2)
	}
}

// With reports missing from half of the agents, their upstreams count as those of their kind.
func TestUpstreamWithoutRunsHasTheSpeedOfItsKind(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	all := fleetOf(rng, 12)
	for i := range all {
		if i%2 == 0 {
			all[i].Runs = RunTimes{}
		}
	}
	for i, v := range Speeds(all, 0.1) {
		if i%3 == 2 {
			require.Less(t, v, 0.8)
		} else {
			require.Greater(t, v, 1.15)
		}
	}
}

// A few runs don't make an upstream of a uniform kind slow, many do.
func TestFewRunsMoveAnUpstreamLittle(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	all := fleetOf(rng, 20)
	all[0].Runs = RunTimes{Mean: math.Log(1.7), Runs: 2}
	require.Greater(t, Speeds(all, 0.1)[0], 1.0)
	all[0].Runs.Runs = maxRunTimeSamples
	require.Less(t, Speeds(all, 0.1)[0], 0.9)
}

func TestSpeedsAreUnknownWithRunsOfTooFewUpstreams(t *testing.T) {
	require.Nil(t, Speeds([]Upstream{{Runs: RunTimes{1, 9}}, {Runs: RunTimes{1, 9}}, {}}, 0.1))
	require.Nil(t, Speeds(nil, 0.1))
}

// One task that takes seven times as long leaves its upstream where it was.
func TestRareLongRunIsBounded(t *testing.T) {
	var r RunTimes
	for range 40 {
		r.Observe(0)
	}
	r.Observe(math.Log(7))
	require.Less(t, r.Mean, 0.04)
}

// The tiers have to agree with the agents after any changes.
func TestTiersFollowTheAgents(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	p := NewPool(1)
	var agents []*Agent
	for range 2000 {
		switch k := rng.IntN(4); {
		case k == 0 || len(agents) == 0:
			a := &Agent{Credit: rng.IntN(3), Slots: 8, Speed: rng.Float64() * 3}
			p.Add(a)
			agents = append(agents, a)
		case k == 1 && len(agents) > 1:
			i := rng.IntN(len(agents))
			p.Remove(agents[i])
			agents[i] = agents[len(agents)-1]
			agents = agents[:len(agents)-1]
		case k == 2:
			p.SetSpeed(agents[rng.IntN(len(agents))], rng.Float64()*3)
		default:
			a := agents[rng.IntN(len(agents))]
			a.Credit, a.Slow, a.Probe = rng.IntN(5)-2, rng.IntN(4) == 0, rng.IntN(2) == 0
			p.Changed(a)
		}
		var want [tiers]tier
		for _, a := range agents {
			w := &want[tierOf(a.Speed)]
			if !a.Slow {
				w.members++
			}
			if a.available() {
				w.credit += a.Credit
				w.available = append(w.available, a)
			}
		}
		for i := range want {
			require.Equal(t, want[i].members, p.tiers[i].members)
			require.Equal(t, want[i].credit, p.tiers[i].credit)
			require.ElementsMatch(t, want[i].available, p.tiers[i].available)
		}
	}
}
