package agent

import "time"

// boundReportInterval is the least time between two BoundReached effects.
const boundReportInterval = 10 * time.Second

// BoundReached reports, for metrics and the log, that what the agent holds has reached
// Config.MaxHeldBytes.
type BoundReached struct {
	Bytes, Limit int
	// Refused counts the tasks refused because of it since the start of the agent.
	Refused uint64
}

func (BoundReached) effect() {}

// room counts the bytes that the agent holds for tasks of all entries.
type room struct {
	bytes int
	// refused counts tasks that did not fit; reportedAt is the time of the last
	// BoundReached, reported is set from then on.
	refused    uint64
	reportedAt time.Duration
	reported   bool
}

// hold sets what the agent holds for a task, in bytes: its payload until it has ended, its
// outcome until that is acknowledged.
func (s *State) hold(r *record, bytes int) {
	s.room.bytes += bytes - r.bytes
	r.bytes = bytes
}

// fits reports whether the payload of a task fits. An agent that holds nothing takes a
// payload of any size.
func (s *State) fits(r *record) bool {
	if s.room.bytes == 0 || s.room.bytes+len(r.payload) <= s.cfg.MaxHeldBytes {
		return true
	}
	s.room.refused++
	s.reportBound()
	return false
}

// isNearlyFull reports whether entries get no credit because of what the agent holds for
// all of them.
func (s *State) isNearlyFull() bool {
	if s.room.bytes < s.cfg.MaxHeldBytes/2 {
		return false
	}
	s.reportBound()
	return true
}

func (s *State) reportBound() {
	if s.room.reported && s.now < s.room.reportedAt+boundReportInterval {
		return
	}
	s.room.reported, s.room.reportedAt = true, s.now
	s.emit(BoundReached{Bytes: s.room.bytes, Limit: s.cfg.MaxHeldBytes, Refused: s.room.refused})
}
