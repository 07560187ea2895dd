package entry

import "time"

const (
	// forecastWindow is the time over which one sample of the placement rate is
	// taken.
	forecastWindow = 100 * time.Millisecond
	// forecastSmoothing is the weight of a new window in the smoothed rate.
	forecastSmoothing = 0.2
	// minForecastWindows is the number of windows after which the rate is known. A
	// single one may hold no placement although there is room.
	minForecastWindows = 3
	// minForecastRate is the lower bound of the rate in forecasts, in seconds
	// of work per second. It avoids division by zero.
	minForecastRate = 0.1
	// forecastTTL is how long a rate is used after the last window that showed it.
	// A rate from a fault that has passed would otherwise refuse the first jobs
	// that wait again.
	forecastTTL = 2 * time.Second
)

// forecast estimates how long waiting work takes to be placed. It uses the rate
// of placement in windows in which work was waiting all the time; other windows
// do not show the rate that would have been possible.
//
// The load pattern that it answers is that of an entry whose queue fills for a few
// seconds after a long time without one, be it by a burst or because other entries
// were lost: the rates of the two are unrelated.
type forecast struct {
	// rate is in seconds of work per second.
	rate float64
	// windows counts the windows in rate.
	windows int
	// measuredAt is the end of the last window in rate.
	measuredAt time.Duration
	windowEnd  time.Duration
	placedWork float64
	// setAside is the part of the waiting work, in seconds, that waits for some
	// upstreams although others are free. It shows no shortage.
	setAside float64
	// idle is set if there was no waiting work at some time in the window.
	idle bool
}

// observe closes the window if it has ended and records whether work is waiting
// now.
func (f *forecast) observe(now time.Duration, waiting bool) {
	if now >= f.windowEnd {
		f.close(now)
		f.windowEnd, f.placedWork, f.idle = now+forecastWindow, 0, false
	}
	f.idle = f.idle || !waiting
}

// close updates the rate from the window, unless the window had an idle time.
func (f *forecast) close(now time.Duration) {
	length := (now - f.windowEnd + forecastWindow).Seconds()
	if f.windowEnd == 0 || f.idle {
		return
	}
	if f.stale(now) {
		f.rate, f.windows = 0, 0
	}
	f.measuredAt = now
	f.windows++
	weight := max(forecastSmoothing, 1/float64(f.windows))
	f.rate += weight * (f.placedWork/length - f.rate)
}

// stale reports whether the last window in the rate ended too long ago.
func (f *forecast) stale(now time.Duration) bool {
	return now > f.measuredAt+forecastTTL
}

// known reports whether the rate rests on enough windows that are not stale.
func (f *forecast) known(now time.Duration) bool {
	return f.windows >= minForecastWindows && !f.stale(now)
}

// addPlacedWork adds work, in seconds, that was sent to an agent.
func (f *forecast) addPlacedWork(work float64) { f.placedWork += work }

// wait returns the time until the given work, in seconds, is placed; ok is
// false while the rate is unknown.
func (f *forecast) wait(now time.Duration, work float64) (wait time.Duration, ok bool) {
	if !f.known(now) {
		return 0, false
	}
	return time.Duration(max(0, work-f.setAside) / max(f.rate, minForecastRate) * float64(time.Second)), true
}

// scale adjusts the rate to a change of the number of slots.
func (f *forecast) scale(share float64) {
	f.rate *= share
	f.placedWork *= share
}
