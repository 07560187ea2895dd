package limit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcomes are those of one window. Tasks in time have 900 ms of slack.
type outcomes struct {
	inTime int
	waited time.Duration
	late   int
	peak   int
}

// recordWindow closes a window.
func recordWindow(l *Limiter, end time.Duration, o outcomes) {
	at := end - window/2
	l.Admit(at, o.peak, 0)
	for range o.inTime {
		l.RecordFinished(at, o.waited, 100*time.Millisecond, time.Second)
	}
	for range o.late {
		l.RecordLate(at)
	}
}

func TestLimitAfterOneWindow(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		outcomes
		want int
	}{
		"short wait, at the limit":   {outcomes{100, 90 * ms, 0, 100}, 111},
		"wait just below the target": {outcomes{100, 530 * ms, 0, 100}, 102},
		"short wait, far from it":    {outcomes{100, 90 * ms, 0, 50}, 100},
		"wait above the target":      {outcomes{100, 600 * ms, 0, 100}, 90},
		"wait far above the target":  {outcomes{100, 900 * ms, 0, 100}, 80},
		"a few late":                 {outcomes{95, 0, 5, 79}, 100},
		"too many late":              {outcomes{0, 0, 100, 100}, 80},
		"too many late, at a lower":  {outcomes{0, 0, 10, 40}, 32},
		"not below the lowest":       {outcomes{0, 0, 10, 5}, 8},
		"nothing finished, but full": {outcomes{0, 0, 0, 100}, 100},
	} {
		t.Run(name, func(t *testing.T) {
			l := New(0, 8, 200)
			l.limit = 100
			recordWindow(l, window, c.outcomes)
			require.Equal(t, 100, l.Limit(window-1))
			require.Equal(t, c.want, l.Limit(window))
		})
	}
}

func TestAdmit(t *testing.T) {
	l := New(0, 1, 100)
	ok, _ := l.Admit(0, 0, 140)
	require.True(t, ok, "an empty system takes any job")
	ok, _ = l.Admit(0, 60, 40)
	require.True(t, ok)
	ok, wait := l.Admit(0, 60, 41)
	require.False(t, ok)
	require.Equal(t, defaultRetryAfter, wait)
	recordWindow(l, window, outcomes{inTime: 50, waited: 540 * time.Millisecond, peak: 60})
	for _, c := range []struct {
		n    int
		want time.Duration
	}{{1, MinRetryAfter}, {50, time.Second}, {100_000, MaxRetryAfter}} {
		ok, wait = l.Admit(window, 100, c.n)
		require.False(t, ok)
		require.Equal(t, c.want, wait)
	}
	l.SetBounds(1, 20)
	require.Equal(t, 20, l.Limit(window))
	l.SetBounds(300, 20)
	require.Equal(t, 300, l.Limit(10*window), "the lower bound wins")
}

// serverPool is servers in front of which tasks wait in order, all with the same
// deadline. It drops a task whose deadline has passed.
type serverPool struct {
	rng       *rand.Rand
	busyUntil []time.Duration
	pending   []time.Duration
	busyCount int
}

const (
	simServers  = 16
	simRun      = 100 * time.Millisecond
	simDeadline = time.Second
	simStep     = time.Millisecond
)

// run offers rate tasks a second from..to and returns how many were admitted,
// in time and late.
func (s *serverPool) run(l *Limiter, from, to time.Duration, rate float64, slowdown time.Duration) (admitted, inTime, late int) {
	for now := from; now < to; now += simStep {
		for i, end := range s.busyUntil {
			if end > now || end == 0 {
				continue
			}
			s.busyUntil[i] = 0
			s.busyCount--
		}
		if s.rng.Float64() < rate*simStep.Seconds() {
			if ok, _ := l.Admit(now, len(s.pending)+s.busyCount, 1); ok {
				admitted++
				s.pending = append(s.pending, now)
			}
		}
		for i, end := range s.busyUntil {
			if end != 0 || len(s.pending) == 0 {
				continue
			}
			arrived := s.pending[0]
			s.pending = s.pending[1:]
			s.busyUntil[i] = now + simRun*slowdown
			s.busyCount++
			l.RecordFinished(now, now-arrived, simRun*slowdown, simDeadline)
			if s.busyUntil[i] <= arrived+simDeadline {
				inTime++
			} else {
				late++
			}
		}
	}
	return admitted, inTime, late
}

// Under three times the load that the servers carry, and again when they become
// four times slower, the limiter keeps the late few and the servers busy; with
// a fixed limit nearly all are late. When the servers recover, so does it.
func TestLimitTracksCapacity(t *testing.T) {
	const seed = 7
	capacity := simServers / simRun.Seconds()
	share := func(l *Limiter, slowdown time.Duration) (late, used float64) {
		s := &serverPool{rng: rand.New(rand.NewPCG(seed, seed)), busyUntil: make([]time.Duration, simServers)}
		s.run(l, 0, 30*time.Second, 3*capacity, slowdown)
		_, inTime, lates := s.run(l, 30*time.Second, 60*time.Second, 3*capacity, slowdown)
		return float64(lates) / float64(inTime+lates), float64(inTime) / (30 * capacity / float64(slowdown))
	}
	for _, slowdown := range []time.Duration{1, 4} {
		late, used := share(New(0, simServers, 10_000), slowdown)
		require.Less(t, late, 0.15)
		require.Greater(t, used, 0.8)
		fixed := New(0, 2000, 2000)
		late, _ = share(fixed, slowdown)
		require.Greater(t, late, 0.9)
	}

	l := New(0, simServers, 10_000)
	s := &serverPool{rng: rand.New(rand.NewPCG(seed, seed)), busyUntil: make([]time.Duration, simServers)}
	s.run(l, 0, 30*time.Second, 3*capacity, 4)
	slow := l.Limit(30 * time.Second)
	s.run(l, 30*time.Second, 90*time.Second, 3*capacity, 1)
	require.Greater(t, l.Limit(90*time.Second), 2*slow)
	require.Less(t, float64(l.Limit(90*time.Second)), math.Ceil(2*capacity))
}

func BenchmarkAdmit(b *testing.B) {
	l := New(0, 16, 1000)
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Microsecond
		l.Admit(now, n%2000, 1)
		l.RecordFinished(now, 0, 1, 2)
	}
}
