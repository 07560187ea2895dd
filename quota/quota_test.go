package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Each case is a sequence of takes on a bucket of 10 tokens a second and a
// burst of 20.
func TestTake(t *testing.T) {
	type take struct {
		at   time.Duration
		n    int
		wait time.Duration
	}
	for name, takes := range map[string][]take{
		"burst, then the rate":      {{0, 20, 0}, {0, 1, 100 * time.Millisecond}, {100 * time.Millisecond, 1, 0}},
		"refused takes nothing":     {{0, 15, 0}, {0, 10, 500 * time.Millisecond}, {0, 5, 0}},
		"no more than the burst":    {{time.Hour, 20, 0}, {time.Hour, 1, 100 * time.Millisecond}},
		"larger than the burst":     {{0, 140, 0}, {0, 1, 12100 * time.Millisecond}, {12100 * time.Millisecond, 1, 0}},
		"larger needs a full one":   {{0, 1, 0}, {0, 140, 100 * time.Millisecond}, {100 * time.Millisecond, 140, 0}},
		"time that goes back":       {{time.Second, 20, 0}, {0, 1, 100 * time.Millisecond}},
		"nothing is always granted": {{0, 20, 0}, {0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(0, 10, 20)
			for _, c := range takes {
				require.Equal(t, c.wait, b.Wait(c.at, c.n))
				ok, wait := b.Take(c.at, c.n)
				require.Equal(t, c.wait == 0, ok)
				require.Equal(t, c.wait, wait)
			}
		})
	}
}

func TestSetLimitsAndReturn(t *testing.T) {
	b := New(0, 0, 0)
	ok, _ := b.Take(0, 1_000_000)
	require.True(t, ok, "a rate of zero is no bound")

	b.SetLimits(0, 10, 20)
	require.Zero(t, b.Wait(0, 20), "a bound that is new starts full")
	b.Take(0, 20)
	b.SetLimits(0, 100, 5)
	require.Equal(t, 50*time.Millisecond, b.Wait(0, 5))
	b.Return(0, 100)
	require.Zero(t, b.Wait(0, 5))
	require.Equal(t, 5.0, b.tokens)

	b.SetLimits(0, 1e-12, 0.5)
	b.Take(0, 1)
	require.Equal(t, Forever, b.Wait(0, 1))
}

// Over any sequence of takes, the tasks admitted never exceed burst, rate and
// the overhang of the largest take, and waiting as told is always enough.
func TestAdmissionsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.5, 5000).Draw(t, "rate")
		burst := rapid.Float64Range(1, 500).Draw(t, "burst")
		b := New(0, rate, burst)
		now, taken, largest := time.Duration(0), 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 140), 1, 50).Draw(t, "takes") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "gap")) * time.Millisecond
			ok, wait := b.Take(now, n)
			if !ok {
				now += wait
				ok, _ = b.Take(now, n)
			}
			if !ok {
				t.Fatalf("refused %d after waiting %v", n, wait)
			}
			taken += n
			largest = max(largest, n)
			bound := burst + rate*now.Seconds() + float64(largest) + 1e-3
			if float64(taken) > bound {
				t.Fatalf("admitted %d in %v, bound %f", taken, now, bound)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	bucket := New(0, 1000, 1000)
	b.ReportAllocs()
	for n := range b.N {
		bucket.Take(time.Duration(n)*time.Microsecond, 1)
	}
}
