package agent

import (
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// flush sends a report to each entry with new outcomes or changed slots, and
// tells entries with waiting tasks of free slots.
func (s *State) flush() {
	s.expireGrants()
	slots, now := uint32(s.slots()), s.offer()
	for _, e := range s.order {
		if e.session == 0 {
			continue
		}
		for len(e.ended) > e.sent {
			s.sendReport(e)
		}
		if e.toldSlots != slots || e.toldOffer != now {
			s.sendReport(e)
		}
	}
	s.grantWaiting()
	s.tellIdle()
}

// offer is what decides where tasks fit.
type offer struct {
	service   string
	resources task.Resources
}

func (s *State) offer() offer { return offer{s.up.Service, s.up.Offered} }

func (s *State) sendReport(e *entry) {
	s.stats.Reports++
	s.emit(SendReport{Session: e.session, Report: s.report(e)})
}

// report builds the next report to e with the outcomes not yet sent, as many
// as fit, and its new credit.
func (s *State) report(e *entry) *wire.Report {
	e.reportSeq++
	slots := uint32(s.slots())
	rep := &wire.Report{
		Seq:             e.reportSeq,
		Ack:             e.lastSeq,
		SentAt:          s.now,
		Running:         uint32(len(s.running)),
		Queued:          uint32(s.queue.len()),
		Slots:           slots,
		LogRunTimeRatio: s.pace.value(),
		Outcomes:        s.takeEnded(e),
	}
	if now := s.offer(); e.toldOffer != now {
		w := s.worker()
		rep.Worker, e.toldOffer = &w, now
	}
	e.told = s.credit(e)
	e.toldAt, e.toldSlots = s.now, slots
	rep.Credit = uint32(e.told)
	return rep
}

func (s *State) takeEnded(e *entry) []wire.Result {
	fresh := e.ended[e.sent:]
	if len(fresh) == 0 {
		return nil
	}
	outs := make([]wire.Result, 0, len(fresh))
	size := 0
	for _, r := range fresh {
		size += len(r.result.Outcome.Body)
		if len(outs) > 0 && size > s.cfg.MaxReportBytes {
			break
		}
		r.reported = e.reportSeq
		outs = append(outs, r.result)
	}
	e.sent += len(outs)
	return outs
}

// credit asks the policy how many more tasks e may send.
func (s *State) credit(e *entry) int {
	if len(e.ended) >= s.cfg.MaxUnacked/2 || e.bytes >= s.cfg.MaxUnackedBytes/2 {
		return 0
	}
	room := s.room()
	free := s.free()
	if e.demand.Waiting > 0 {
		free = min(free+s.cfg.Prefetch, room)
	}
	if free <= 0 {
		return 0
	}
	who := s.fillClaims(e)
	return min(max(0, s.cfg.Policy.Credit(free, who, s.claims)), room)
}

// fillClaims lists the connected entries and returns the index of e.
func (s *State) fillClaims(e *entry) int {
	s.claims = s.claims[:0]
	who := 0
	for _, o := range s.order {
		if o.session == 0 {
			continue
		}
		c := Claimant{Waiting: s.waiting(o), Rank: o.demand.Rank, Told: o.told, ToldFor: s.now - o.toldAt, Held: o.held}
		if o == e {
			who = len(s.claims)
			c.Told = 0
		}
		s.claims = append(s.claims, c)
	}
	return who
}

// waiting returns the demand of e unless it is old.
func (s *State) waiting(e *entry) int {
	if s.now-e.demandAt > s.cfg.DemandKeep {
		return 0
	}
	return int(e.demand.Waiting)
}

// expireGrants ends the reservation of credit that was not used: the tasks
// went elsewhere.
func (s *State) expireGrants() {
	for _, e := range s.order {
		if e.told > 0 && e.demand.Waiting > 0 && s.now >= e.toldAt+s.cfg.GrantHold {
			e.demand.Waiting = 0
		}
	}
}

// grantWaiting sends credit to entries that have waiting tasks and no credit,
// the most urgent first.
func (s *State) grantWaiting() {
	for s.free() > 0 {
		e := s.mostUrgent()
		if e == nil || s.credit(e) == 0 {
			return
		}
		s.stats.CreditReports++
		s.sendReport(e)
	}
}

func (s *State) mostUrgent() *entry {
	var best *entry
	for _, e := range s.order {
		if e.session == 0 || e.told > 0 || s.waiting(e) == 0 {
			continue
		}
		if best == nil || e.demand.Rank < best.demand.Rank {
			best = e
		}
	}
	return best
}

// tellIdle tells entries whose credit is zero, and that expect no result from
// here, of free slots, at most once an interval.
func (s *State) tellIdle() {
	if s.free() <= 0 {
		return
	}
	for _, e := range s.order {
		if !e.uninformed() || s.now < e.tellAt {
			continue
		}
		if s.now < e.toldAt+s.cfg.TellEvery || s.credit(e) == 0 {
			e.tellAt = max(s.now, e.toldAt) + s.cfg.TellEvery
			continue
		}
		s.stats.CreditReports++
		s.sendReport(e)
	}
}

// uninformed reports whether e believes that nothing is free and no result
// will tell it otherwise.
func (e *entry) uninformed() bool { return e.session != 0 && e.told == 0 && e.held == 0 }
