package entry

import "github.com/fireflytray/fireflytray/wire"

// How a submission gets its lock: which members it asks, and which grants count.

// lockGranted reports whether a majority of the members has granted the lock, without those
// that may not know that another submission holds it. uncounted is set if there are any of
// them.
func (e *Entry) lockGranted(l *jobLock) (granted, uncounted bool) {
	n := 0
	for i := range l.requests {
		r := &l.requests[i]
		if !r.member || r.state != wire.LockGranted || !r.live() {
			continue
		}
		if e.knowsLocks(r.agent) {
			n++
		} else {
			uncounted = true
		}
	}
	return n >= l.majority, uncounted
}

// requestLocks requests the lock from a majority of the members that know all locks, or,
// for want of them, from others: last from those that can't be counted yet.
func (e *Entry) requestLocks(s *submission, members []*agent) {
	for order := askFirst; order <= askLast; order++ {
		asked := e.countAsked(&s.lock, order == askLast)
		for _, a := range members {
			if asked < s.lock.majority && a.link == linkOpen && e.askOrder(a) == order && s.lock.request(a) == nil {
				e.requestLock(s, a)
				asked++
			}
		}
	}
}

// askOrder ranks the members of a lock for a request.
type askOrder uint8

const (
	askFirst askOrder = iota
	// askSlow: the agent is likely to answer late.
	askSlow
	// askLast: the agent does not know the locks that its predecessor has granted.
	askLast
)

func (e *Entry) askOrder(a *agent) askOrder {
	switch {
	case !e.knowsLocks(a):
		return askLast
	case a.lockUnanswered:
		return askSlow
	}
	return askFirst
}

// knowsLocks reports whether the agent knows all of its locks that are in use, or no
// lock that it does not know is.
func (e *Entry) knowsLocks(a *agent) bool {
	if e.now < a.lockReadyAt && e.allRestarted() {
		for _, b := range e.agents {
			b.lockReadyAt = e.now
		}
	}
	return e.now >= a.lockReadyAt
}

// allRestarted reports whether every agent was restarted a while ago and has found that no
// run of its predecessor is left.
func (e *Entry) allRestarted() bool {
	for _, a := range e.agents {
		if a.link != linkOpen || !a.announced || e.now >= a.lockReadyAt || e.now < a.locksKeptSince+holdersGiveUpWithin {
			return false
		}
	}
	return true
}

// countAsked returns the number of requests to members that have not failed. Those to
// members that can't be counted yet are included only if unready is set.
func (e *Entry) countAsked(l *jobLock, unready bool) int {
	n := 0
	for i := range l.requests {
		if r := &l.requests[i]; r.member && r.live() && !r.failed && (unready || e.knowsLocks(r.agent)) {
			n++
		}
	}
	return n
}

func (e *Entry) requestLock(s *submission, a *agent) {
	if s.lock.stage == lockPassed {
		e.emitLock(s, "lock moved", a)
	}
	s.lock.add(lockRequest{agent: a, session: a.session, sentAt: e.now, member: true})
	a.toAcquire = append(a.toAcquire, wire.LockRequest{
		Ref:        s.sub.Ref,
		Submission: s.id,
		Age:        e.now - s.arrived + s.unread,
		Within:     max(s.deadline-e.now, 0) + e.runsEndWithin,
	})
	a.locks++
	e.markDirty(a)
	e.arm(timer{at: e.now + lockAnswerTimeout, kind: timerLock, sub: s})
}

// checkLock queues the tasks of a submission once its lock is granted. It checks again
// later while some grants can't be counted yet.
func (e *Entry) checkLock(s *submission) {
	if s.lock.stage != lockRequested || s.answered {
		return
	}
	granted, uncounted := e.lockGranted(&s.lock)
	switch {
	case granted:
		e.passLock(s, "lock granted")
	case uncounted && e.now >= s.lock.recheckAt:
		s.lock.recheckAt = e.now + lockRecheckInterval
		e.arm(timer{at: s.lock.recheckAt, kind: timerLock, sub: s})
	}
}
