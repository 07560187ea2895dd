package agent

import (
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// flush sends a report to each connected entry for which there are new outcomes,
// answers about locks, cancelled jobs or news of crashes, whose last report has an
// outdated offer or number of slots, or which has to learn of a drain. It then sends credit for the remaining free slots.
func (s *State) flush() {
	s.expireReservations()
	slots, current := uint32(s.slots()), s.offer()
	for _, e := range s.entryList {
		if e.session == 0 {
			continue
		}
		for len(e.unacked) > e.sent {
			s.sendReport(e)
		}
		if slotsChanged(e.reportedSlots, slots) || e.reportedOffer != current || e.reportSeq < e.withdrawSeq || len(e.lockAnswers) > 0 || e.hasCancellationNews() || s.crashes.news(e) {
			s.sendReport(e)
		}
	}
	s.grantWaiting()
	s.grantIdle()
}

// offer holds the properties of the upstream that decide which tasks it can run.
type offer struct {
	service   string
	resources task.Resources
}

func (s *State) offer() offer { return offer{s.up.Service, s.up.Offered} }

func (s *State) sendReport(e *entry) {
	s.stats.Reports++
	s.emit(SendReport{Session: e.session, Report: s.nextReport(e)})
}

// nextReport builds the next report to e, with its new credit and with those
// unsent outcomes that fit. It records them as sent.
func (s *State) nextReport(e *entry) *wire.Report {
	e.reportSeq++
	slots := uint32(s.slots())
	rep := &wire.Report{
		Seq:             e.reportSeq,
		Ack:             e.lastSeq,
		SentAt:          s.now,
		Running:         uint32(len(s.running)),
		Queued:          uint32(s.queue.len()),
		Slots:           slots,
		LogRunTimeRatio: s.runTimeRatio.value(),
		Outcomes:        s.takeUnsent(e),
		Locks:           e.lockAnswers,
		Crashes:         s.crashes.untold(s.now, e),
		Cancelled:       e.cancelled,
		Withdrawn:       e.withdrawn,
	}
	e.lockAnswers, e.cancelled, e.withdrawn = nil, nil, nil
	if current := s.offer(); e.reportedOffer != current {
		w := s.worker()
		rep.Worker, e.reportedOffer = &w, current
	}
	e.credit = s.creditFor(e)
	e.creditAt, e.reportedSlots = s.now, slots
	rep.Credit = uint32(e.credit)
	return rep
}

// takeUnsent returns the unsent outcomes of e up to MaxReportBytes and marks them
// as sent in the current report.
func (s *State) takeUnsent(e *entry) []wire.Result {
	unsent := e.unacked[e.sent:]
	if len(unsent) == 0 {
		return nil
	}
	outs := make([]wire.Result, 0, len(unsent))
	size := 0
	for _, r := range unsent {
		size += len(r.result.Outcome.Body)
		if len(outs) > 0 && size > s.cfg.MaxReportBytes {
			break
		}
		r.reportSeq = e.reportSeq
		outs = append(outs, r.result)
	}
	e.sent += len(outs)
	return outs
}

// creditFor returns how many more tasks e may send, according to the policy and
// the limits on unacknowledged outcomes.
func (s *State) creditFor(e *entry) int {
	if len(e.unacked) >= s.cfg.MaxUnacked/2 || e.unackedBytes >= s.cfg.MaxUnackedBytes/2 || s.isNearlyFull() {
		return 0
	}
	spare := s.spareCapacity()
	free := s.freeSlots()
	if e.demand.Waiting > 0 {
		free = min(free+s.cfg.Prefetch, spare)
	}
	if free <= 0 {
		return 0
	}
	who := s.listClaimants(e)
	return min(max(0, s.cfg.Policy.Credit(free, who, s.claimants)), spare)
}

// listClaimants fills s.claimants with the connected entries and returns the
// index of e.
func (s *State) listClaimants(e *entry) int {
	s.claimants = s.claimants[:0]
	who := 0
	for _, o := range s.entryList {
		if o.session == 0 {
			continue
		}
		c := Claimant{Waiting: s.validDemand(o), Rank: o.demand.Rank, Credit: o.credit, CreditAge: s.now - o.creditAt, Held: o.held}
		if o == e {
			who = len(s.claimants)
			c.Credit = 0
		}
		s.claimants = append(s.claimants, c)
	}
	return who
}

// validDemand returns the number of e's waiting tasks, or zero if its demand has
// expired.
func (s *State) validDemand(e *entry) int {
	if s.now-e.demandAt > s.cfg.DemandTTL {
		return 0
	}
	return int(e.demand.Waiting)
}

// expireReservations discards the demand of entries that did not use their credit
// within ReservationTTL, because their tasks have gone elsewhere.
func (s *State) expireReservations() {
	for _, e := range s.entryList {
		if e.credit > 0 && e.demand.Waiting > 0 && s.now >= e.creditAt+s.cfg.ReservationTTL {
			e.demand.Waiting = 0
		}
	}
}

// grantWaiting sends credit to entries that have waiting tasks and no credit, in
// order of urgency.
func (s *State) grantWaiting() {
	for s.freeSlots() > 0 {
		e := s.mostUrgent()
		if e == nil || s.creditFor(e) == 0 {
			return
		}
		s.stats.CreditReports++
		s.sendReport(e)
	}
}

// mostUrgent returns the entry with the lowest rank among those connected that have
// waiting tasks and no credit, or nil if there is none.
func (s *State) mostUrgent() *entry {
	var best *entry
	for _, e := range s.entryList {
		if e.session == 0 || e.credit > 0 || s.validDemand(e) == 0 {
			continue
		}
		if best == nil || e.demand.Rank < best.demand.Rank {
			best = e
		}
	}
	return best
}

// grantIdle sends credit for free slots to entries that have no credit and no
// tasks at this agent, at most once per IdleCreditInterval each.
func (s *State) grantIdle() {
	if s.freeSlots() <= 0 {
		return
	}
	for _, e := range s.entryList {
		if !e.needsCreditReport() || s.now < e.idleCreditAt {
			continue
		}
		if s.now < e.creditAt+s.cfg.IdleCreditInterval || s.creditFor(e) == 0 {
			e.idleCreditAt = max(s.now, e.creditAt) + s.cfg.IdleCreditInterval
			continue
		}
		s.stats.CreditReports++
		s.sendReport(e)
	}
}

// needsCreditReport reports whether e has no credit and no pending outcome whose
// report would bring it some.
func (e *entry) needsCreditReport() bool { return e.session != 0 && e.credit == 0 && e.held == 0 }
