package lease

import (
	"slices"

	"github.com/fireflytray/fireflytray/agent"
)

// stop requests the end of a run.
func (s *State) stop(id agent.RunID) {
	if r := s.runsByID[id]; r != nil {
		s.requestStop(r.key)
	}
}

func (s *State) requestStop(key runKey) {
	if s.stopOf(key) == nil {
		s.stops = append(s.stops, &pendingStop{key: key, withoutEffectSince: s.now})
	}
}

func (s *State) stopOf(key runKey) *pendingStop {
	for _, p := range s.stops {
		if p.key == key {
			return p
		}
	}
	return nil
}

func (s *State) removeStop(key runKey) {
	s.stops = slices.DeleteFunc(s.stops, func(p *pendingStop) bool { return p.key == key })
}

// sendStops sends the stops that are due.
func (s *State) sendStops() {
	for _, p := range s.stops {
		if s.now < p.sendAt || !s.canSend(p) {
			continue
		}
		p.call, p.fence, p.sendAt = s.nextCall(), s.fence, s.now+retryDelay
		s.emit(StopCall{Call: p.call, Target: s.target, Task: p.key.task, Run: p.key.run, Fence: s.fence})
	}
}

// canSend reports whether a stop is not in flight and its run has started.
func (s *State) canSend(p *pendingStop) bool {
	r := s.runs[p.key]
	return p.call == 0 && (r == nil || r.phase == phaseRunning)
}

// isIneffective reports whether a run goes on at the present upstream although it should
// have ended. One that is carried over at another address is not there.
func (s *State) isIneffective(p *pendingStop) bool {
	if r := s.runs[p.key]; r != nil && r.carriedAt != "" && r.carriedAt != s.target.Addr {
		return false
	}
	return s.now >= p.withoutEffectSince+stopPatience
}

// stopAnswered schedules the stop's repetition and requests the lists, which show
// whether the run has ended. The token is raised after a stop without an answer,
// so that the stop can't be carried out late.
func (s *State) stopAnswered(ev StopAnswered) {
	switch ev.Result {
	case StopLost:
		s.fence++
	case StopAccepted, StopFenced:
		s.answered()
	}
	if i := slices.IndexFunc(s.stops, func(p *pendingStop) bool { return p.call == ev.Call }); i >= 0 {
		s.scheduleStop(s.stops[i], ev.Result)
	}
	s.requestLists()
}

func (s *State) scheduleStop(p *pendingStop, result StopResult) {
	p.call = 0
	switch result {
	case StopAccepted:
		p.sendAt = s.now + stopEffectTimeout
		p.withoutEffectSince = p.sendAt
	case StopFenced:
		p.sendAt = s.now
		if p.fence == s.fence {
			s.fence += fenceIncrement
			s.log("fencing token was too low", "task", p.key.task, "token", s.fence)
		}
	case StopRefused:
		p.sendAt = s.now + retryDelay
	case StopLost:
		s.lossyUntil = s.now + s.cfg.LossyFor
		s.log("stop got no answer", "task", p.key.task, "run", p.key.run, "token", s.fence)
	}
}
