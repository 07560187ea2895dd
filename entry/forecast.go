package entry

import "time"

const (
	// forecastWindow is the time over which one sample of the placement rate is
	// taken.
	forecastWindow = 100 * time.Millisecond
	// forecastSmoothing is the weight of a new window in the smoothed rate.
	forecastSmoothing = 0.2
	// minForecastRate is the lower bound of the rate in forecasts, in seconds
	// of work per second. It avoids division by zero.
	minForecastRate = 0.1
)

// forecast estimates how long waiting work takes to be placed. It uses the rate
// of placement in windows in which work was waiting all the time; other windows
// do not show the rate that would have been possible.
type forecast struct {
	rate       float64
	known      bool
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
	rate := f.placedWork / length
	if !f.known {
		f.known, f.rate = true, rate
		return
	}
	f.rate += forecastSmoothing * (rate - f.rate)
}

// addPlacedWork adds work, in seconds, that was sent to an agent.
func (f *forecast) addPlacedWork(work float64) { f.placedWork += work }

// wait returns the time until the given work, in seconds, is placed; ok is
// false while the rate is unknown.
func (f *forecast) wait(work float64) (wait time.Duration, ok bool) {
	if !f.known {
		return 0, false
	}
	return time.Duration(max(0, work-f.setAside) / max(f.rate, minForecastRate) * float64(time.Second)), true
}
