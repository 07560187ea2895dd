package entryd

import (
	"sync/atomic"
	"time"
)

const (
	// shedOneIn is the share of answers after which an entry that is short closes
	// the connection: one in so many.
	shedOneIn = 4
	// recoveredShare is the share of the threshold below which an entry is no
	// longer short.
	recoveredShare = 2
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
	short atomic.Bool
	// answers counts the answers given while the entry was short.
	answers atomic.Uint64
}

// update takes a new measurement of the turnaround and reports whether it changes
// what the entry does.
func (s *shedding) update(turnaround time.Duration) (changed bool) {
	short := s.short.Load()
	switch {
	case s.above == 0:
		return false
	case !short && turnaround > s.above:
		s.short.Store(true)
	case short && turnaround < s.above/recoveredShare:
		s.short.Store(false)
	default:
		return false
	}
	return true
}

// next reports whether the connection of the next answer is closed after it.
func (s *shedding) next() bool {
	return s.short.Load() && s.answers.Add(1)%shedOneIn == 0
}
