package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// drain is the state of a graceful shutdown.
type drain struct {
	active   bool
	deadline time.Duration
	// withdrawBy is until when entries may acknowledge the report that withdraws
	// their slots and credit.
	withdrawBy time.Duration
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
	s.drain.withdrawBy = s.now + s.cfg.WithdrawWithin
	for _, e := range s.entryList {
		e.withdrawSeq = e.reportSeq + 1
	}
	s.refuseQueued(task.ReasonDraining)
}

// finishDrain emits Drained once every run has ended, every outcome is acknowledged
// and no assignment can be on the way, or AckWithin after the last run ended, or at
// the drain deadline.
func (s *State) finishDrain() {
	d := &s.drain
	if !d.active || d.done {
		return
	}
	if len(s.running) == 0 && d.idleAt == 0 {
		d.idleAt = s.now
	}
	unacked := s.unacked()
	idle := d.idleAt > 0 && (unacked == 0 && s.withdrawn() || s.now >= d.idleAt+s.cfg.AckWithin)
	if idle || s.now >= d.deadline {
		d.done = true
		s.emit(Drained{Unacked: unacked})
	}
}

// withdrawn reports whether each connected entry knows that it has no slots and no
// credit. As its messages arrive in order, its assignments have then arrived too.
func (s *State) withdrawn() bool {
	if s.now >= s.drain.withdrawBy {
		return true
	}
	for _, e := range s.entryList {
		if e.session != 0 && e.ackedSeq < e.withdrawSeq {
			return false
		}
	}
	return true
}

func (s *State) unacked() int {
	n := 0
	for _, e := range s.entryList {
		n += len(e.unacked)
	}
	return n
}
