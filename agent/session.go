package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// entry is the state of one incarnation of an entry process, across its sessions.
type entry struct {
	peer  wire.Peer
	clock peerClock

	// session is zero while no connection is open.
	session   SessionID
	sessionNo uint64 // Hello.Session of the last session
	lastSeq   uint64 // sequence number of the last update of the session
	// welcomedAt is when the welcome of the session was sent. The entry sends no
	// update before it has read it.
	welcomedAt     time.Duration
	disconnectedAt time.Duration
	// lastMessageAt is when the entry last sent anything on a session, not when
	// that arrived.
	lastMessageAt time.Duration
	// graceGiven is set once a freeze has extended lastMessageAt, until a message arrives.
	graceGiven bool

	// historyLost is set if this incarnation may have had sessions whose state
	// was discarded, so that a task without a record may still have run.
	historyLost bool
	welcomeSeq  uint64

	reportSeq uint64 // sequence number of the last report
	ackedSeq  uint64 // highest acknowledged sequence number of a report
	// withdrawSeq is the sequence number of the first report that the entry got
	// on its session after a drain began; zero without a drain.
	withdrawSeq uint64
	// unacked holds the tasks with unacknowledged outcomes. The first `sent` of
	// them have been reported, in order of the reports' sequence numbers.
	unacked      []*record
	sent         int
	unackedBytes int
	held         int // number of queued and running tasks

	// demand and demandAt are the waiting tasks in the last update and its
	// arrival. credit is what remains of the credit in the last report, sent at
	// creditAt.
	demand        wire.Demand
	demandAt      time.Duration
	credit        int
	creditAt      time.Duration
	reportedSlots uint32
	reportedOffer offer
	// idleCreditAt is the earliest time of the next report that only grants
	// credit to the entry while it is idle.
	idleCreditAt time.Duration
	// crashVersion is the version of the crash records last told.
	crashVersion uint64
	// lockAnswers are sent in the next report.
	lockAnswers []wire.LockAnswer
	// cancelled and withdrawn are those of the next report.
	cancelled []wire.LockRef
	// heedsCancelled is not set for entries of older builds, which acknowledge a report
	// without having cancelled anything.
	heedsCancelled bool
	withdrawn      []wire.WithdrawalAnswer
	// forgotten is set once the entry is dropped; outcomes of its tasks are
	// then discarded.
	forgotten bool
}

// openSession handles a Hello: it accepts the session or closes it with a reason.
func (s *State) openSession(id SessionID, h *wire.Hello) {
	e, known := s.entries[h.From.Incarnation]
	if known && e.peer.ID != h.From.ID {
		s.emit(CloseSession{Session: id, Reason: CloseIncarnationTaken})
		return
	}
	if known && h.Session <= e.sessionNo {
		s.emit(CloseSession{Session: id, Reason: CloseStale})
		return
	}
	if !known {
		e = s.addEntry(h)
	}
	if e.session != 0 {
		s.endSession(e, CloseReplaced)
	}
	s.forgetOlderIncarnations(h.From)
	e.peer, e.session, e.sessionNo, e.lastSeq = h.From, id, h.Session, 0
	e.demand, e.credit = wire.Demand{}, 0
	s.sessions[id] = e
	e.heedsCancelled = h.HeedsCancelled
	e.lastMessageAt, e.graceGiven = max(e.lastMessageAt, s.now-s.observeTransit(e, h.SentAt, unknownAge)), false
	s.dropUnwanted(e, h.Pending)
	s.welcome(e, h)
}

// dropUnwanted refuses the queued tasks and stops the runs of an entry that it does
// not list as pending: it has given them up.
func (s *State) dropUnwanted(e *entry, pending []task.ID) {
	if e.held == 0 {
		return
	}
	wanted := make(map[task.ID]bool, len(pending))
	for _, id := range pending {
		wanted[id] = true
	}
	for _, r := range slices.Clone(s.queue.recs) {
		if r.entry == e && !wanted[r.id] {
			s.refuse(r, task.ReasonCancelled)
		}
	}
	for _, r := range s.running {
		if r.entry == e && !wanted[r.id] {
			s.stop(r, task.ReasonCancelled)
		}
	}
}

// addEntry adds the state of an entry incarnation that is not known yet.
func (s *State) addEntry(h *wire.Hello) *entry {
	e := &entry{}
	if h.AgentIncarnation == s.self.Incarnation {
		// The entry may have had sessions whose state was discarded. Fewer than
		// one report per microsecond is sent, so starting from the time in
		// microseconds gives sequence numbers above those already used.
		e.historyLost = len(h.Pending) > 0
		e.reportSeq = uint64(s.now / time.Microsecond)
	}
	s.entries[h.From.Incarnation] = e
	s.entryList = append(s.entryList, e)
	return e
}

// welcome sends the Welcome with the unacknowledged outcomes and with outcomes
// for the pending tasks that this incarnation does not hold.
func (s *State) welcome(e *entry, h *wire.Hello) {
	e.sent, e.crashVersion = 0, 0
	e.reportedOffer = s.offer()
	s.repeatRevocations(e)
	s.repeatCancellations(e)
	rep := s.nextReport(e)
	for _, id := range h.Pending {
		if out, ok := s.pendingOutcome(e, h, id); ok {
			rep.Outcomes = append(rep.Outcomes, wire.Result{ID: id, Outcome: out})
		}
	}
	e.welcomeSeq, e.welcomedAt = rep.Seq, s.now
	if s.drain.active {
		e.withdrawSeq = rep.Seq
	}
	w := s.worker()
	s.emit(SendWelcome{
		Session: e.session,
		Welcome: &wire.Welcome{
			From: s.self, SentAt: s.now, Worker: &w, Report: rep,
			RunsEndWithin: s.cfg.RunsEndWithin, LocksKeptFor: s.now - s.locks.since, OrphansEndWithin: s.orphansEndWithin(),
		},
	})
}

// pendingOutcome returns the outcome of a task that an entry lists as pending and
// that this incarnation does not hold. Updates on older sessions are ignored, so
// a task that has not arrived can no longer arrive.
func (s *State) pendingOutcome(e *entry, h *wire.Hello, id task.ID) (task.Outcome, bool) {
	if h.AgentIncarnation != s.self.Incarnation {
		return task.Outcome{State: task.Unknown, Reason: task.ReasonAgentRestarted}, true
	}
	if _, held := s.tasks[id]; held {
		return task.Outcome{}, false
	}
	if e.historyLost || s.finished.has(id) {
		return task.Outcome{State: task.Unknown, Reason: task.ReasonAgentRestarted}, true
	}
	return task.Outcome{State: task.NotRun, Reason: task.ReasonNeverReceived}, true
}

func (s *State) sessionClosed(id SessionID) {
	e := s.sessions[id]
	if e == nil {
		return
	}
	s.detach(e)
	if s.hasRestarted(e) {
		s.forget(e)
	}
}

// hasRestarted reports whether a later incarnation of an entry process is known: one that
// was first seen later. Incarnations are numbered by wall clocks, which may be set back.
func (s *State) hasRestarted(e *entry) bool {
	later := s.entryList[slices.Index(s.entryList, e)+1:]
	return slices.ContainsFunc(later, func(o *entry) bool { return o.peer.ID == e.peer.ID })
}

func (s *State) endSession(e *entry, reason CloseReason) {
	s.emit(CloseSession{Session: e.session, Reason: reason})
	s.detach(e)
}

// detach discards the session of an entry with its demand and credit. The tasks
// of the entry stay.
func (s *State) detach(e *entry) {
	delete(s.sessions, e.session)
	e.session, e.disconnectedAt = 0, s.now
	e.lockAnswers, e.cancelled, e.withdrawn = nil, nil, nil
	e.demand, e.credit = wire.Demand{}, 0
}

// handleUpdate applies an entry's update: its acknowledgement, its demand, its
// assignments, its cancellations and its requests for job locks. It ignores
// duplicates and closes a session with inconsistent sequence numbers or too many
// unacknowledged outcomes.
func (s *State) handleUpdate(id SessionID, u *wire.Update) {
	e := s.sessions[id]
	if e == nil || u.Seq <= e.lastSeq {
		s.stats.Duplicates++
		return
	}
	lag := s.observeTransit(e, u.SentAt, s.now-e.welcomedAt)
	e.lastMessageAt, e.graceGiven = max(e.lastMessageAt, s.now-lag), false
	switch {
	case u.Seq != e.lastSeq+1:
		s.endSession(e, CloseGap)
		return
	case u.Ack > e.reportSeq:
		s.endSession(e, CloseBadAck)
		return
	}
	s.acknowledge(e, u.Ack)
	if s.exceedsUnackedLimits(e, u) {
		s.endSession(e, CloseUnacked)
		return
	}
	e.lastSeq = u.Seq
	e.demand, e.demandAt = u.Demand, s.now
	e.credit = max(0, e.credit-len(u.Tasks))
	for i := range u.Tasks {
		s.handleAssignment(e, &u.Tasks[i], lag)
	}
	for _, id := range u.Cancel {
		s.cancel(e, id)
	}
	s.handleLocks(e, u, lag)
}

// exceedsUnackedLimits reports whether accepting an update could exceed the
// limits on unacknowledged outcomes kept for an entry.
func (s *State) exceedsUnackedLimits(e *entry, u *wire.Update) bool {
	return len(e.unacked)+len(u.Tasks)+len(u.Cancel) > s.cfg.MaxUnacked ||
		len(u.Tasks) > 0 && e.unackedBytes > s.cfg.MaxUnackedBytes
}

// observeTransit returns the transit delay of a message that was sent at most maxAge
// ago. If the message shows that the delay of earlier ones was underestimated, the
// deadlines of the entry's queued tasks are moved earlier by the difference.
func (s *State) observeTransit(e *entry, sentAt, maxAge time.Duration) time.Duration {
	lag, correction := e.clock.observe(s.now, sentAt, maxAge)
	if correction == 0 {
		return lag
	}
	for _, r := range s.queue.recs {
		if r.entry == e {
			r.startBy -= correction
			r.runBy -= correction
		}
	}
	return lag
}

// acknowledge drops the outcomes in reports up to sequence number ack. Their ids
// are kept in s.finished.
func (s *State) acknowledge(e *entry, ack uint64) {
	e.ackedSeq = max(e.ackedSeq, ack)
	if ack >= e.welcomeSeq {
		e.historyLost = false
	}
	n := 0
	for n < e.sent && e.unacked[n].reportSeq <= ack {
		s.release(e.unacked[n])
		n++
	}
	e.unacked = slices.Delete(e.unacked, 0, n)
	e.sent -= n
}

// release drops the record of an ended task and keeps its id, so that the task
// does not start again.
func (s *State) release(r *record) {
	delete(s.tasks, r.id)
	s.hold(r, 0)
	r.entry.unackedBytes -= len(r.result.Outcome.Body)
	s.finished.add(r.id)
}

// forgetOlderIncarnations drops the disconnected older incarnations of an entry
// process that has restarted.
func (s *State) forgetOlderIncarnations(p wire.Peer) {
	for _, e := range slices.Clone(s.entryList) {
		if e.session == 0 && e.peer.ID == p.ID && e.peer.Incarnation != p.Incarnation {
			s.forget(e)
		}
	}
}

// forget drops all state of an entry incarnation that will not reconnect.
func (s *State) forget(e *entry) {
	e.forgotten = true
	s.forgetLocks(e)
	for _, r := range slices.Clone(s.queue.recs) {
		if r.entry == e {
			s.refuse(r, task.ReasonEntryRestarted)
		}
	}
	for _, r := range s.running {
		if r.entry == e {
			s.stop(r, task.ReasonEntryRestarted)
		}
	}
	for _, r := range e.unacked {
		s.release(r)
	}
	e.unacked, e.sent = nil, 0
	delete(s.entries, e.peer.Incarnation)
	s.entryList = slices.DeleteFunc(s.entryList, func(o *entry) bool { return o == e })
}

// refuseOrphans refuses the queued tasks of entries that have sent no message for
// OrphanAfter.
func (s *State) refuseOrphans() {
	for _, r := range slices.Clone(s.queue.recs) {
		if s.isOrphan(r.entry) {
			s.refuse(r, task.ReasonEntryGone)
		}
	}
}

// stopOrphans stops the runs of such entries.
func (s *State) stopOrphans() {
	for _, r := range s.running {
		if s.isOrphan(r.entry) {
			s.stop(r, task.ReasonEntryGone)
		}
	}
}

func (s *State) isOrphan(e *entry) bool {
	return s.cfg.OrphanAfter > 0 && s.now >= e.lastMessageAt+s.cfg.OrphanAfter
}

// expireEntries forgets entries that have had no session for EntryTTL.
func (s *State) expireEntries() {
	for i := 0; i < len(s.entryList); i++ {
		e := s.entryList[i]
		if e.session == 0 && s.now >= e.disconnectedAt+s.cfg.EntryTTL {
			s.forget(e)
			i--
		}
	}
}
