package entryd

import (
	"sync/atomic"
	"time"
)

const (
	// shedOneIn is the share of answers after which an entry that is short closes
	// the connection: one in so many.
	shedOneIn = 4
	// shedRest is how long the turnaround must have been at most the threshold
	// before an entry is no longer short. A median over few answers falls below it
	// now and then while the clients are still the same.
	shedRest = 2 * time.Second
)

// shedding decides after which answers an entry closes the connection, because it is
// short of processor or link. The client's next connection goes to the entry that the
// load balancer chooses.
//
// The load pattern that it answers is that of large entries which come back after the
// small ones have carried all traffic: clients keep their connections, so that the
// small entries stay overloaded beside idle large ones. Connections are closed a few
// at a time, as all entries may be short, and each new one takes processor too.
type shedding struct {
	// above is the turnaround from which the entry is short; zero disables.
	above time.Duration
	// lastAbove is when the turnaround was last above the threshold.
	lastAbove time.Duration
	short     atomic.Bool
	// answers counts the answers given while the entry was short.
	answers atomic.Uint64
}

// update takes a new measurement of the turnaround and reports whether it changes
// what the entry does. It must not be called concurrently.
func (s *shedding) update(now, turnaround time.Duration) (changed bool) {
	if s.above == 0 {
		return false
	}
	if turnaround > s.above {
		s.lastAbove = now
		return !s.short.Swap(true)
	}
	return now >= s.lastAbove+shedRest && s.short.Swap(false)
}

// next reports whether the connection of the next answer is closed after it. It is
// safe for concurrent use.
func (s *shedding) next() bool {
	return s.short.Load() && s.answers.Add(1)%shedOneIn == 0
}
