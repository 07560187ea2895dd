package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// window passes one window of a forecast in which work waits all the time and the
// given work, in seconds, is placed.
func window(f *forecast, now *time.Duration, placed float64) {
	for range 10 {
		f.observe(*now, true)
		f.addPlacedWork(placed / 10)
		*now += forecastWindow / 10
	}
	f.observe(*now, true)
}

// At an entry on a small host, the first windows after a long time without a queue
// place 0.1 s of work each and the later ones 6 s. The estimate of the first window
// refused jobs for a wait of 6.4 s with 0.1 s of work ahead.
func TestForecastIsUnknownAfterFirstWindow(t *testing.T) {
	f, now := &forecast{}, 19*time.Second
	f.observe(now, true)
	window(f, &now, 0.1)
	_, ok := f.wait(now, 8)
	require.False(t, ok)
	window(f, &now, 4)
	window(f, &now, 6)
	wait, ok := f.wait(now, 8)
	require.True(t, ok)
	require.InDelta(t, 0.24, wait.Seconds(), 0.03)
}

// A rate from a loss of agents must not refuse jobs once they are back.
func TestForecastForgetsOldRate(t *testing.T) {
	f, now := &forecast{}, time.Second
	f.observe(now, true)
	for range 5 {
		window(f, &now, 0)
	}
	wait, ok := f.wait(now, 1)
	require.True(t, ok)
	require.Equal(t, 10*time.Second, wait)

	f.observe(now, false)
	now += forecastTTL + forecastWindow
	_, ok = f.wait(now, 1)
	require.False(t, ok, "no window has shown the rate for %s", forecastTTL)
	f.observe(now, true)
	for range minForecastWindows {
		window(f, &now, 5)
	}
	wait, ok = f.wait(now, 5)
	require.True(t, ok)
	require.InDelta(t, 0.1, wait.Seconds(), 0.02, "the old rate must not count in the new one")
}

// A single window without a placement, and a rate from a fault that has passed, refused
// jobs for waits of seconds while room was free. Neither says anything.
func TestForecastNeedsRecentWindows(t *testing.T) {
	f, now := &forecast{}, time.Second
	f.observe(now, true)
	for n := range minForecastWindows {
		_, ok := f.wait(now, 10)
		require.False(t, ok, "after %d windows", n)
		window(f, &now, 2)
	}
	wait, ok := f.wait(now, 10)
	require.True(t, ok)
	require.InDelta(t, 0.5, wait.Seconds(), 0.01)
	f.observe(now, false)
	now += forecastTTL + forecastWindow
	_, ok = f.wait(now, 10)
	require.False(t, ok)
}
