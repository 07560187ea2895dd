package agent

import "github.com/fireflytray/fireflytray/task"

// evacuation is the order of operators for the agent's failure domain. While it is
// active, the agent starts nothing; its runs, sessions and job locks go on. An agent
// that has no configuration yet knows of no order and serves: the entries that know
// it send nothing.
type evacuation struct {
	active bool
	// index is that of the newest configuration.
	index uint64
}

// configChanged applies a configuration; one that is not newer is ignored.
func (s *State) configChanged(ev ConfigChanged) {
	if ev.Index <= s.evacuation.index {
		return
	}
	changed := ev.Evacuated != s.evacuation.active
	s.evacuation = evacuation{active: ev.Evacuated, index: ev.Index}
	switch {
	case !changed:
	case ev.Evacuated:
		refused := s.queue.len()
		s.stats.Evacuated += uint64(refused)
		s.refuseQueued(task.ReasonEvacuated)
		s.emit(Evacuation{Active: true, Index: ev.Index, Refused: refused, Running: len(s.running)})
	default:
		s.comeback.setRemaining(s.now, comebackTime)
		s.emit(Evacuation{Index: ev.Index, Running: len(s.running)})
	}
}
