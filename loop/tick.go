package loop

import (
	"time"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
)

// tickTimer wakes a loop for its next tick. The loop's clock costs system calls, so it
// is not read to arm the timer, which is left alone while the tick stays the same.
type tickTimer struct {
	timer *time.Timer
	// armed is set while the timer is to fire at the time at of the loop's clock.
	armed bool
	at    time.Duration
}

func newTickTimer() *tickTimer { return &tickTimer{timer: time.NewTimer(time.Hour)} }

// arm sets the timer to the time at of the next tick, or to when to look at the clock
// again. Without a next tick, ok is false and it does not matter how much time has
// passed. The loop's clock showed now at the time readAt.
func (t *tickTimer) arm(at time.Duration, ok bool, now time.Duration, readAt time.Time) {
	if !ok {
		t.armed = false
		t.timer.Reset(time.Hour)
		return
	}
	if t.armed && t.at == at {
		return
	}
	left := max(0, at-now-time.Since(readAt))
	t.armed, t.at = left <= steadyclock.MaxSleep, at
	t.timer.Reset(min(left, steadyclock.MaxSleep))
}
