// Package clocktest provides machines that tests can suspend.
package clocktest

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fireflytray/fireflytray/internal/steadyclock"
)

// Machine is a machine whose clocks differ by the time for which it was suspended.
type Machine struct {
	*steadyclock.Machine
	suspended atomic.Int64
}

// New returns a machine that has not been suspended yet.
func New() *Machine {
	m := &Machine{}
	m.Machine = &steadyclock.Machine{Read: m.read}
	return m
}

// Suspend lets d pass for the clock of boot time alone.
func (m *Machine) Suspend(d time.Duration) { m.suspended.Add(int64(d)) }

func (m *Machine) read(clock int32) (time.Duration, error) {
	if clock == unix.CLOCK_BOOTTIME {
		return time.Duration(m.suspended.Load()), nil
	}
	return 0, nil
}
