package agent

import (
	"slices"
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// maxLocks bounds the number of job locks that an agent keeps.
	maxLocks = 1 << 14
	// lockSweepInterval is the shortest time between two searches of a full table
	// for expired locks.
	lockSweepInterval = time.Second
)

// lockClaim is a submission that holds a job lock or waits for it.
type lockClaim struct {
	entry      uint64 // incarnation
	submission task.SubmissionID
	// arrivedAt is when the submission arrived at its entry.
	arrivedAt time.Duration
	// until is when the submission can have no more runs.
	until time.Duration
	// toldSeq is the sequence number of the report that tells the entry on its session
	// that the job is cancelled; zero without one.
	toldSeq uint64
}

// jobLock is the lock of one job. The submission that waits for it is younger than
// the holder, which has been told that the lock is revoked.
type jobLock struct {
	ref    string
	holder lockClaim
	waiter *lockClaim
}

// locks is the table of job locks. It is soft state: an entry requests its locks
// elsewhere when it loses its session.
type locks struct {
	byRef map[string]*jobLock
	// contended lists the locks with a waiter.
	contended []*jobLock
	sweepAt   time.Duration
	// since is the time of the first event; started is set from then on.
	since   time.Duration
	started bool
}

// startLocks records the time of the first event.
func (s *State) startLocks() {
	if !s.locks.started {
		s.locks.started, s.locks.since = true, s.now
	}
}

// orphansEndWithin bounds the time from the end of an entry to the end of its runs at all
// agents.
func (s *State) orphansEndWithin() time.Duration {
	if s.cfg.RunsEndWithin == 0 {
		return 0
	}
	return s.cfg.OrphanAfter + freezeGrace + s.cfg.RunsEndWithin
}

// handleLocks applies the releases, requests and withdrawals of an update. Each request
// is answered in the next report.
func (s *State) handleLocks(e *entry, u *wire.Update, lag time.Duration) {
	for i := range u.Release {
		s.releaseLock(u.Release[i].Ref, u.Release[i].Submission)
	}
	for i := range u.Acquire {
		r := &u.Acquire[i]
		s.acquireLock(r.Ref, lockClaim{
			entry:      e.peer.Incarnation,
			submission: r.Submission,
			arrivedAt:  s.now - r.Age - lag,
			until:      s.now + r.Within,
		})
		s.claimed(r.Ref)
	}
	s.handleWithdrawals(e, u.Withdraw, lag)
}

// acquireLock decides on a request. The younger submission of a job wins, because
// its caller has broken off the older one. A submission that may have runs keeps
// the lock until its entry releases it or its time is up.
func (s *State) acquireLock(ref string, c lockClaim) {
	l := s.locks.byRef[ref]
	switch {
	case l == nil:
		s.createLock(ref, c)
	case l.holder.submission == c.submission:
		l.holder.until = max(l.holder.until, c.until)
		if l.waiter != nil {
			s.answerLock(l, c, wire.LockRevoked)
			return
		}
		s.answerLock(l, c, wire.LockGranted)
	case l.waiter != nil && l.waiter.submission == c.submission:
		s.answerLock(l, c, wire.LockQueued)
	case l.holder.entry == c.entry || s.now >= l.holder.until:
		// An entry requests the lock for its next submission of a job only once
		// the previous one has no more runs.
		s.passLock(l)
		s.acquireLock(ref, c)
	case l.waiter != nil && c.arrivedAt < l.waiter.arrivedAt, c.arrivedAt < l.holder.arrivedAt:
		s.answerLock(l, c, wire.LockRevoked)
	default:
		s.queueForLock(l, c)
	}
}

func (s *State) createLock(ref string, c lockClaim) {
	l := &jobLock{ref: ref, holder: c}
	if !s.hasRoomForLock() {
		s.answerLock(l, c, wire.LockUnavailable)
		return
	}
	s.locks.byRef[ref] = l
	s.answerLock(l, c, wire.LockGranted)
}

// hasRoomForLock reports whether another lock can be kept. If the table is full, it
// first removes the expired locks.
func (s *State) hasRoomForLock() bool {
	t := &s.locks
	if s.cfg.RunsEndWithin == 0 {
		return false
	}
	if len(t.byRef) < maxLocks {
		return true
	}
	if s.now < t.sweepAt {
		return false
	}
	t.sweepAt = s.now + lockSweepInterval
	for ref, l := range t.byRef {
		if l.waiter == nil && s.now >= l.holder.until {
			delete(t.byRef, ref)
		}
	}
	return len(t.byRef) < maxLocks
}

// queueForLock makes c, which is younger than the holder and the waiter, the only
// waiter.
func (s *State) queueForLock(l *jobLock, c lockClaim) {
	if l.waiter != nil {
		s.answerLock(l, *l.waiter, wire.LockRevoked)
	} else {
		s.locks.contended = append(s.locks.contended, l)
	}
	l.waiter = &c
	s.answerLock(l, l.holder, wire.LockRevoked)
	s.answerLock(l, c, wire.LockQueued)
}

// releaseLock ends the claim of a submission, if it has one.
func (s *State) releaseLock(ref string, id task.SubmissionID) {
	l := s.locks.byRef[ref]
	switch {
	case l == nil:
	case l.holder.submission == id:
		s.passLock(l)
	case l.waiter != nil && l.waiter.submission == id:
		s.dropWaiter(l)
	}
}

// passLock ends the holder's claim: the lock goes to the waiter or is deleted.
func (s *State) passLock(l *jobLock) {
	if l.waiter == nil {
		delete(s.locks.byRef, l.ref)
		return
	}
	l.holder = *l.waiter
	s.dropWaiter(l)
	s.answerLock(l, l.holder, wire.LockGranted)
}

func (s *State) dropWaiter(l *jobLock) {
	l.waiter = nil
	s.locks.contended = slices.DeleteFunc(s.locks.contended, func(o *jobLock) bool { return o == l })
}

// answerLock adds the state of a claim to the next report to its entry.
func (s *State) answerLock(l *jobLock, c lockClaim, state wire.LockState) {
	e := s.entries[c.entry]
	if e == nil || e.session == 0 {
		return
	}
	e.lockAnswers = append(e.lockAnswers, wire.LockAnswer{Ref: l.ref, Submission: c.submission, State: state})
}

// repeatRevocations tells an entry on its new session which of its locks another
// submission waits for.
func (s *State) repeatRevocations(e *entry) {
	e.lockAnswers = nil
	for _, l := range s.locks.contended {
		if l.holder.entry == e.peer.Incarnation {
			s.answerLock(l, l.holder, wire.LockRevoked)
		}
	}
}

// expireLocks passes on the contended locks whose holders can have no more runs.
// The other locks are checked when they are requested.
func (s *State) expireLocks() {
	for i := 0; i < len(s.locks.contended); i++ {
		if l := s.locks.contended[i]; s.now >= l.holder.until {
			s.passLock(l)
			i--
		}
	}
}

func (s *State) addLockDeadlines(t *earliest) {
	for _, l := range s.locks.contended {
		t.add(l.holder.until)
	}
}

// forgetLocks handles the locks of an entry incarnation that has ended. Other
// agents may still hold its runs, but not for longer than orphaned runs last. An
// agent that was paused adds freezeGrace to the orphan time-out.
func (s *State) forgetLocks(e *entry) {
	until := s.now + s.orphansEndWithin()
	for _, l := range s.locks.byRef {
		if l.holder.entry == e.peer.Incarnation && s.cfg.OrphanAfter > 0 {
			l.holder.until = min(l.holder.until, until)
		}
	}
	for _, l := range slices.Clone(s.locks.contended) {
		if l.waiter.entry == e.peer.Incarnation {
			s.dropWaiter(l)
		}
	}
}
