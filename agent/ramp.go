package agent

import (
	"math"
	"time"
)

const (
	// rampSteps is the number of equal steps in which a ramp raises the share from
	// 1/rampSteps to 1. Each step may be told to every entry.
	rampSteps = 8
	// comebackTime is how long the slots grow after the end of an evacuation. The
	// upstream may have become cold meanwhile, and its next announcement, which
	// says so, may be a few seconds away.
	comebackTime = 3 * time.Second
)

// ramp limits the share of its slots that an upstream offers, which grows evenly
// from the beginning of the ramp to its end. It answers a backlog that meets
// upstreams that have just been added, restarted or taken back: without it, the
// idle upstreams get the whole backlog at once and each task there is slow.
// The zero value limits nothing.
type ramp struct{ from, until time.Duration }

// setRemaining sets how much longer the ramp lasts. A ramp that has ended begins
// anew; one in progress keeps its beginning.
func (r *ramp) setRemaining(now, remaining time.Duration) {
	if now >= r.until {
		r.from = now
	}
	r.until = now + max(0, remaining)
}

// step returns the number of the current step; rampSteps means that the ramp has
// ended.
func (r *ramp) step(now time.Duration) int {
	if now >= r.until {
		return rampSteps
	}
	passed := float64(now-r.from) / float64(r.until-r.from)
	return 1 + int(passed*(rampSteps-1))
}

// limit returns the number of slots to offer out of the given number: at least one,
// as long as there is any.
func (r *ramp) limit(now time.Duration, slots int) int {
	share := float64(r.step(now)) / rampSteps
	return min(slots, max(1, int(math.Round(share*float64(slots)))))
}

// nextStep returns when the share grows next; ok is false if the ramp has ended.
func (r *ramp) nextStep(now time.Duration) (at time.Duration, ok bool) {
	if now >= r.until {
		return 0, false
	}
	length := r.until - r.from
	// The division may round down to a time within the current step.
	at = r.from + time.Duration(r.step(now))*length/(rampSteps-1) + 1
	return min(at, r.until), true
}

// rampedSlots returns how many of the given slots are offered.
func (s *State) rampedSlots(slots int) int {
	return min(s.warmUp.limit(s.now, slots), s.comeback.limit(s.now, slots))
}

// addRampDeadlines adds the times at which more slots are offered.
func (s *State) addRampDeadlines(t *earliest) {
	if s.slots() == 0 {
		return
	}
	for _, r := range []*ramp{&s.warmUp, &s.comeback} {
		if at, ok := r.nextStep(s.now); ok {
			t.add(at)
		}
	}
}
