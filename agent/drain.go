package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// drain is the state of a graceful shutdown.
type drain struct {
	active   bool
	deadline time.Duration
	// idleAt is when the last run ended; zero while tasks run.
	idleAt time.Duration
	done   bool
}

func (s *State) startDrain() {
	if s.drain.active {
		return
	}
	s.drain.active = true
	s.drain.deadline = s.now + s.cfg.DrainTimeout
	s.refuseQueued(task.ReasonDraining)
}

// finishDrain emits Drained once every run has ended and every outcome is
// acknowledged, or AckWithin after the last run ended, or at the drain deadline.
func (s *State) finishDrain() {
	d := &s.drain
	if !d.active || d.done {
		return
	}
	if len(s.running) == 0 && d.idleAt == 0 {
		d.idleAt = s.now
	}
	unacked := s.unacked()
	idle := d.idleAt > 0 && (unacked == 0 || s.now >= d.idleAt+s.cfg.AckWithin)
	if idle || s.now >= d.deadline {
		d.done = true
		s.emit(Drained{Unacked: unacked})
	}
}

func (s *State) unacked() int {
	n := 0
	for _, e := range s.entryList {
		n += len(e.unacked)
	}
	return n
}
