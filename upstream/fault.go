package upstream

import (
	"fmt"
	"sync"
)

// faults holds the injected fault.
type faults struct {
	mu      sync.Mutex
	current Fault
	// thawed is open while the upstream is frozen and closed otherwise.
	thawed chan struct{}
}

func newFaults() *faults {
	return &faults{current: Fault{Mode: FaultNone, Factor: 1}, thawed: closedChan()}
}

func closedChan() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (f *faults) set(next Fault) error {
	switch next.Mode {
	case FaultNone, FaultSlow, FaultFail, FaultFreeze, FaultSilent, FaultLeave:
	default:
		return fmt.Errorf("upstream: fault %q: valid are none, slow, fail, freeze, silent, leave", next.Mode)
	}
	if next.Factor <= 0 || next.Mode != FaultSlow {
		next.Factor = 1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.Mode == FaultFreeze {
		close(f.thawed)
	}
	if next.Mode == FaultFreeze {
		f.thawed = make(chan struct{})
	}
	f.current = next
	return nil
}

func (f *faults) get() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faults) mode() string { return f.get().Mode }

// unfrozen returns a channel that is closed while or once the upstream is not
// frozen.
func (f *faults) unfrozen() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.thawed
}
