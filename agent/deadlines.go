package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// freezeThreshold is how late an event may arrive after the requested tick before
// the agent assumes that its own process, and not the upstream, was frozen.
const freezeThreshold = 250 * time.Millisecond

// freezeGrace is the time after a freeze within which the messages that arrived
// during it are read. Without any it is granted once, so that repeated freezes don't add up.
const freezeGrace = 100 * time.Millisecond

// Next returns the time at which Step must be called with a Tick; ok is false if
// no deadline is pending.
func (s *State) Next() (at time.Duration, ok bool) { return s.nextTick, s.hasNextTick }

// extendAfterFreeze restarts the upstream's lease and the grace periods of
// stopped runs if this process was frozen, because messages sent during the
// freeze are still unread. The runs of entries whose orphan time-out has passed
// go on for freezeGrace; their queued tasks are refused. Start deadlines are not
// extended.
func (s *State) extendAfterFreeze() {
	if !s.hasNextTick || s.now-s.nextTick < freezeThreshold {
		return
	}
	s.emit(Paused{For: s.now - s.nextTick})
	if s.up.leaseUntil > 0 {
		s.up.leaseUntil = max(s.up.leaseUntil, s.now+s.up.Lease)
	}
	for _, r := range s.running {
		if r.stopReason != task.ReasonNone {
			r.stopRequestedAt = s.now
		}
	}
	s.refuseOrphans()
	for _, e := range s.entryList {
		if at := s.now + freezeGrace - s.cfg.OrphanAfter; at > e.lastMessageAt && !e.graceGiven {
			e.lastMessageAt, e.graceGiven = at, true
		}
	}
}

func (s *State) earliestDeadline() (at time.Duration, ok bool) {
	var t earliest
	s.addUpstreamDeadlines(&t)
	s.addTaskDeadlines(&t)
	s.addEntryDeadlines(&t)
	s.addLockDeadlines(&t)
	s.addRampDeadlines(&t)
	if d := &s.drain; d.active && !d.done {
		t.add(d.deadline)
		if s.now < d.withdrawBy {
			t.add(d.withdrawBy)
		}
		if d.idleAt > 0 {
			t.add(d.idleAt + s.cfg.AckWithin)
		}
	}
	return t.at, t.ok
}

// earliest holds the minimum of the times added to it.
type earliest struct {
	at time.Duration
	ok bool
}

func (t *earliest) add(at time.Duration) {
	if !t.ok || at < t.at {
		t.at, t.ok = at, true
	}
}

func (s *State) addUpstreamDeadlines(t *earliest) {
	if s.health.suspended {
		t.add(s.health.suspendedUntil)
	}
	u := &s.up
	if u.leaseUntil == 0 {
		return
	}
	if !u.leaving && !u.unannounced || len(s.running) == 0 {
		// A tick in the past would count as a freeze.
		t.add(max(u.leaseUntil, s.now))
	}
	if s.paused() {
		t.add(u.busyUntil)
	}
	if u.unreachable && !u.probing {
		t.add(u.probeAt)
	}
}

func (s *State) addTaskDeadlines(t *earliest) {
	for _, r := range s.queue.recs {
		t.add(r.startBy)
		if at := s.joinAt(r); at > s.now && at < neverWhileRunning {
			t.add(at)
		}
	}
	for _, r := range s.running {
		if s.cfg.OrphanAfter > 0 && r.stopReason == task.ReasonNone {
			t.add(r.entry.lastMessageAt + s.cfg.OrphanAfter)
		}
		switch {
		case r.stopReason != task.ReasonNone && s.up.Leased:
		case r.stopReason != task.ReasonNone:
			t.add(r.stopRequestedAt + s.cfg.StopGrace)
		case r.checkAt > 0:
			t.add(min(r.runBy, r.checkAt))
		default:
			t.add(r.runBy)
		}
	}
}

func (s *State) addEntryDeadlines(t *earliest) {
	free := s.freeSlots()
	for _, e := range s.entryList {
		switch {
		case e.session == 0:
			t.add(e.disconnectedAt + s.cfg.EntryTTL)
		case e.credit > 0 && e.demand.Waiting > 0:
			t.add(e.creditAt + s.cfg.ReservationTTL)
		case free > 0 && e.needsCreditReport():
			t.add(max(e.idleCreditAt, s.now))
		}
	}
}
