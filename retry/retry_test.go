package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestTake(t *testing.T) {
	for name, c := range map[string]struct {
		share, reserve float64
		successes      int
		want           int
	}{
		"nothing earned":       {0.1, 0, 9, 0},
		"a tenth":              {0.1, 0, 30, 3},
		"the reserve alone":    {0.1, 2, 0, 2},
		"share and reserve":    {0.2, 3, 100, 23},
		"a share that rounds":  {0.29, 0, 100, 29},
		"no share":             {0, 1, 1000, 1},
		"negative counts as 0": {-1, -1, 1000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := New(c.share, c.reserve)
			for range c.successes {
				b.RecordSuccess(0)
			}
			require.Equal(t, c.want, b.Remaining(0))
			taken := 0
			for b.Take(0) {
				taken++
			}
			require.Equal(t, c.want, taken)
		})
	}
}

// Successes and retries leave the budget after the window, and a new share
// counts at once.
func TestWindow(t *testing.T) {
	b := New(0.5, 0)
	for range 10 {
		b.RecordSuccess(0)
	}
	for range 5 {
		require.True(t, b.Take(5*time.Second))
	}
	require.False(t, b.Take(Window-1))
	require.Equal(t, 0, b.Remaining(Window), "the successes have left, the retries have not")
	b.SetLimits(0.5, 6)
	require.Equal(t, 1, b.Remaining(Window))
	require.Equal(t, 6, b.Remaining(5*time.Second+Window))
	require.Equal(t, 6, b.Remaining(0), "a time in the past changes nothing")
}

// The ring agrees with a plain list of events, for any sequence.
func TestMatchesEventList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, reserve = 0.25, 2
		b := New(share, reserve)
		var successes, retries []time.Duration
		recent := func(list []time.Duration, now time.Duration) (n int) {
			for _, at := range list {
				if at/slotDuration > now/slotDuration-slots {
					n++
				}
			}
			return n
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes = append(successes, now)
				continue
			}
			want := share*float64(recent(successes, now))+reserve-float64(recent(retries, now)) >= 1
			if got := b.Take(now); got != want {
				t.Fatalf("take at %v: got %v, want %v", now, got, want)
			}
			if want {
				retries = append(retries, now)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	budget := New(0.1, 10)
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Microsecond
		budget.RecordSuccess(now)
		budget.Take(now)
	}
}
