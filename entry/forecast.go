package entry

import "time"

const (
	// forecastWindow is the time over which the rate of placement is taken.
	forecastWindow = 100 * time.Millisecond
	// forecastSmoothing is the share of a new window in the rate.
	forecastSmoothing = 0.2
	// minForecastRate keeps a forecast from dividing by nothing, in seconds of
	// work a second.
	minForecastRate = 0.1
)

// forecast estimates how long waiting work takes to be placed, from the rate at
// which work was placed while some waited. Windows in which nothing waited say
// nothing about what could have been placed.
type forecast struct {
	rate      float64
	known     bool
	windowEnd time.Duration
	placed    float64
	// idle is set if nothing waited at some time in the window.
	idle bool
}

// observe closes windows; waiting says whether work waits now.
func (f *forecast) observe(now time.Duration, waiting bool) {
	if now >= f.windowEnd {
		f.close(now)
		f.windowEnd, f.placed, f.idle = now+forecastWindow, 0, false
	}
	f.idle = f.idle || !waiting
}

func (f *forecast) close(now time.Duration) {
	length := (now - f.windowEnd + forecastWindow).Seconds()
	if f.windowEnd == 0 || f.idle {
		return
	}
	rate := f.placed / length
	if !f.known {
		f.known, f.rate = true, rate
		return
	}
	f.rate += forecastSmoothing * (rate - f.rate)
}

// addPlaced counts work, in seconds, that was sent to an agent.
func (f *forecast) addPlaced(work float64) { f.placed += work }

// wait returns how long work, in seconds, takes to be placed; ok is false while
// there is nothing to tell from.
func (f *forecast) wait(work float64) (wait time.Duration, ok bool) {
	if !f.known {
		return 0, false
	}
	return time.Duration(work / max(f.rate, minForecastRate) * float64(time.Second)), true
}
