package steadyclock

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// clocks are the clocks of a machine.
type clocks struct {
	boot, monotonic time.Duration
	// delay passes between the reads of the two.
	delay time.Duration
	err   error
}

func (c *clocks) read(clock int32) (time.Duration, error) {
	if clock == unix.CLOCK_BOOTTIME {
		defer func() { c.monotonic += c.delay; c.boot += c.delay }()
		return c.boot, c.err
	}
	return c.monotonic, c.err
}

func TestSuspendedTimeIsCounted(t *testing.T) {
	c := &clocks{boot: 60 * time.Second, monotonic: 50 * time.Second}
	s := Machine{Read: c.read}
	require.Equal(t, 10*time.Second, s.suspendedTime())
	c.boot += 7 * time.Second
	require.Equal(t, 17*time.Second, s.suspendedTime())
}

// A thread that is not scheduled between the two reads must not see a suspension: the
// leases of its process would expire.
func TestDelayBetweenReadsIsNoSuspension(t *testing.T) {
	c := &clocks{boot: time.Minute, monotonic: time.Minute}
	s := Machine{Read: c.read}
	require.Zero(t, s.suspendedTime())
	c.delay = time.Second
	require.Zero(t, s.suspendedTime())
	c.delay = 0
	require.Zero(t, s.suspendedTime())
	c.boot += time.Second
	c.delay = time.Second
	require.Zero(t, s.suspendedTime(), "hidden by the delay")
	c.delay = 0
	require.Equal(t, time.Second, s.suspendedTime())
	c.delay = time.Second
	require.Equal(t, time.Second, s.suspendedTime(), "never decreases")
}

func TestMachineWithoutBootTime(t *testing.T) {
	s := Machine{Read: (&clocks{boot: time.Minute, err: errors.New("not supported")}).read}
	require.Zero(t, s.suspendedTime())
}

// Without suspensions the clock runs with Go's clock.
func TestClockFollowsMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		time.Sleep(1300 * time.Millisecond)
		require.Equal(t, 1300*time.Millisecond, c.Now())
	})
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for range b.N {
		c.Now()
	}
}
