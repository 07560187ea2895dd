// Package steadyclock measures elapsed time that includes the time for which the
// machine was suspended. Go's monotonic clock stands still meanwhile, so that a
// process that wakes up would take an expired lease for a valid one.
package steadyclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// MaxSleep is how long a timer may run before its owner looks at the clock again.
// Timers don't count suspended time either.
const MaxSleep = 250 * time.Millisecond

// Clock measures the time since it was created.
type Clock struct {
	machine   *Machine
	start     time.Time
	suspended time.Duration // suspended time until start
}

// New returns a clock of this machine that starts at zero.
func New() Clock { return thisMachine.NewClock() }

// NewClock returns a clock that starts at zero.
func (m *Machine) NewClock() Clock {
	return Clock{machine: m, suspended: m.suspendedTime(), start: time.Now()}
}

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration {
	return c.machine.suspendedTime() - c.suspended + time.Since(c.start)
}

var thisMachine = &Machine{Read: readClock}

// Machine measures for how long a machine was suspended: its clock of boot time
// counts that, its monotonic clock doesn't.
type Machine struct {
	// Read returns the time of a clock, unix.CLOCK_BOOTTIME or CLOCK_MONOTONIC.
	Read func(clock int32) (time.Duration, error)
	// longest is the largest difference of the two clocks so far, in nanoseconds.
	longest atomic.Int64
}

// suspendedTime returns the time in suspension since the machine started, or zero
// where that can't be read. It never decreases. A delay between the two reads makes
// the difference smaller, never larger, so that a delayed thread sees no suspension.
func (m *Machine) suspendedTime() time.Duration {
	boot, err := m.Read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0
	}
	monotonic, err := m.Read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0
	}
	for {
		longest := m.longest.Load()
		current := int64(boot - monotonic)
		if current <= longest {
			return time.Duration(longest)
		}
		if m.longest.CompareAndSwap(longest, current) {
			return time.Duration(current)
		}
	}
}

func readClock(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(clock, &ts)
	return time.Duration(ts.Nano()), err
}
