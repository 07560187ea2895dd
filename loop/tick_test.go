package loop

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
)

// The timer fires at the next tick, however long the step before took, whether the
// tick stays, moves or goes, and never later than MaxSleep.
func TestTickTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		tick := newTickTimer()
		firesAt := func(want time.Duration) {
			t.Helper()
			<-tick.timer.C
			tick.armed = false
			require.Equal(t, want, clock())
		}
		const step = 10 * time.Millisecond

		now, readAt := clock(), time.Now()
		time.Sleep(step)
		tick.arm(5*step, true, now, readAt)
		time.Sleep(step)
		tick.arm(5*step, true, clock(), time.Now())
		firesAt(5 * step)

		tick.arm(9*step, true, clock(), time.Now())
		tick.arm(7*step, true, clock(), time.Now())
		firesAt(7 * step)
		tick.arm(7*step, true, clock(), time.Now())
		firesAt(7 * step)

		tick.arm(8*step, true, clock(), time.Now())
		tick.arm(0, false, clock(), time.Now())
		time.Sleep(2 * step)
		tick.arm(8*step, true, clock(), time.Now())
		firesAt(9 * step)

		far := time.Hour
		tick.arm(far, true, clock(), time.Now())
		time.Sleep(step)
		tick.arm(far, true, clock(), time.Now())
		firesAt(10*step + steadyclock.MaxSleep)
	})
}
