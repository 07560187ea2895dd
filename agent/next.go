package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// stallAfter is how late a tick may come before the agent takes itself, not
// its upstream, for the one that was stopped.
const stallAfter = 250 * time.Millisecond

// Next returns when the state wants a tick.
func (s *State) Next() (at time.Duration, ok bool) { return s.due, s.dueOK }

// forgiveStall gives the upstream a fresh lease, and stopped runs a fresh
// grace, if this process was frozen: what they sent meanwhile is still unread.
// Start deadlines are not forgiven.
func (s *State) forgiveStall() {
	if !s.dueOK || s.now-s.due < stallAfter {
		return
	}
	if s.up.until > 0 {
		s.up.until = max(s.up.until, s.now+s.up.Lease)
	}
	for _, r := range s.running {
		if r.stopWhy != task.ReasonNone {
			r.stopAt = s.now
		}
	}
	for _, e := range s.order {
		e.heardAt = s.now
	}
}

func (s *State) soonest() (at time.Duration, ok bool) {
	var t soonest
	s.nextUpstream(&t)
	s.nextRuns(&t)
	s.nextEntries(&t)
	if d := &s.drain; d.on && !d.done {
		t.add(d.until)
		if d.idleAt > 0 {
			t.add(d.idleAt + s.cfg.AckWithin)
		}
	}
	return t.at, t.ok
}

// soonest keeps the least of the times added to it.
type soonest struct {
	at time.Duration
	ok bool
}

func (t *soonest) add(at time.Duration) {
	if !t.ok || at < t.at {
		t.at, t.ok = at, true
	}
}

func (s *State) nextUpstream(t *soonest) {
	if s.health.suspended {
		t.add(s.health.until)
	}
	u := &s.up
	if u.until == 0 {
		return
	}
	if !u.leaving || len(s.running) == 0 {
		t.add(u.until)
	}
	if s.paused() {
		t.add(u.busyUntil)
	}
	if u.unreachable && !u.probing {
		t.add(u.probeAt)
	}
}

func (s *State) nextRuns(t *soonest) {
	for _, r := range s.queue.recs {
		t.add(r.startBy)
	}
	for _, r := range s.running {
		if s.cfg.OrphanAfter > 0 && r.stopWhy == task.ReasonNone {
			t.add(r.entry.heardAt + s.cfg.OrphanAfter)
		}
		switch {
		case r.stopWhy != task.ReasonNone && s.up.Leased:
		case r.stopWhy != task.ReasonNone:
			t.add(r.stopAt + s.cfg.StopGrace)
		case r.checkAt > 0:
			t.add(min(r.runBy, r.checkAt))
		default:
			t.add(r.runBy)
		}
	}
}

func (s *State) nextEntries(t *soonest) {
	free := s.free()
	for _, e := range s.order {
		switch {
		case e.session == 0:
			t.add(e.goneAt + s.cfg.ForgetEntry)
		case e.told > 0 && e.demand.Waiting > 0:
			t.add(e.toldAt + s.cfg.GrantHold)
		case free > 0 && e.uninformed():
			t.add(max(e.tellAt, s.now))
		}
	}
}
