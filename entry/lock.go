package entry

import (
	"bytes"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	// lockMembers is the number of agents that may keep the lock of a job; it is
	// held by a majority of them.
	lockMembers = 3
	// lockAnswerTimeout is how long an agent may take to answer a lock request
	// before another member is asked as well.
	lockAnswerTimeout = 150 * time.Millisecond
	// lockQueuedTimeout is how long a submission waits for the holder of its lock
	// before the remaining members are asked as well. It is longer than entries take
	// to notice that an agent which granted them a lock and held a run is lost, and
	// than that run may then go on.
	lockQueuedTimeout = 2500 * time.Millisecond
	// lockRecheckInterval is the time from one look at grants that can't be counted yet
	// to the next.
	lockRecheckInterval = 25 * time.Millisecond
	// holdersGiveUpWithin is the time from the restart of an agent within which the
	// entries that held locks there have noticed (500 ms), have requested them again
	// (150 ms) and have stopped their runs, one stop lost (205 ms), if another submission
	// has got them.
	holdersGiveUpWithin = 900 * time.Millisecond
	// maxDeferredReleases bounds the releases that wait for another update to the
	// same agent.
	maxDeferredReleases = 64
)

// lockStage is how far a submission is with the lock of its job; zero if it needs
// none or has not come to it.
type lockStage uint8

const (
	// lockAwaitsTurn: an earlier submission of the job at this entry may have
	// runs.
	lockAwaitsTurn lockStage = iota + 1
	// lockRequested: no task is queued for placement before the lock is granted.
	lockRequested
	// lockPassed: the submission has had its lock, or needs none.
	lockPassed
)

// jobLock is the state of a submission's request for the lock of its job, which
// keeps submissions of one job at several entries from having runs at the same
// time. Which agents are its members follows from their ids and that of the job.
type jobLock struct {
	stage    lockStage
	requests []lockRequest
	// members are the agents that may keep the lock, as last determined; the first
	// memberCount are set.
	members     [lockMembers]*agent
	memberCount int
	refHash     uint64
	// majority is the number of members that must grant the lock.
	majority int
	// recheckAt is when grants that could not be counted are looked at again.
	recheckAt time.Duration
	// releaseNow is set if another submission waits for the lock.
	releaseNow bool
	// previous and next are the neighbours among the submissions of the job at
	// this entry that may have runs or wait for their turn.
	previous, next *submission
	// over is set once the submission can have no more runs.
	over bool
}

// lockRequest is a request to one agent on one session.
type lockRequest struct {
	agent   *agent
	session uint64
	sentAt  time.Duration
	// state is zero until the agent has answered.
	state wire.LockState
	// failed is set if the agent did not answer or grant the lock in time, or can't
	// keep it. It may still grant the lock later.
	failed bool
	// member is set if the agent was a member when members were last determined.
	member bool
}

func (r *lockRequest) live() bool { return r.agent.link == linkOpen && r.agent.session == r.session }

// overdue reports whether the agent has not answered or granted the lock in time.
func (r *lockRequest) overdue(now time.Duration) bool {
	switch r.state {
	case 0:
		return now >= r.sentAt+lockAnswerTimeout
	case wire.LockQueued:
		return now >= r.sentAt+lockQueuedTimeout
	}
	return false
}

// request returns the request on the current session with an agent, or nil.
func (l *jobLock) request(a *agent) *lockRequest {
	for i := range l.requests {
		if r := &l.requests[i]; r.agent == a && r.live() {
			return r
		}
	}
	return nil
}

// add records a request to an agent; it replaces one on an older session.
func (l *jobLock) add(r lockRequest) {
	for i := range l.requests {
		if l.requests[i].agent == r.agent {
			l.requests[i] = r
			return
		}
	}
	l.requests = append(l.requests, r)
}

// waiting reports whether the submission waits for its lock or for its turn.
func (l *jobLock) waiting() bool { return l.stage == lockAwaitsTurn || l.stage == lockRequested }

// awaitLock queues an admitted submission once no other submission of its job can
// have runs. A later submission supersedes an earlier one at the same entry.
func (e *Entry) awaitLock(s *submission) {
	previous := e.byRef[s.sub.Ref]
	e.byRef[s.sub.Ref] = s
	if previous == nil {
		e.advanceLock(s)
		return
	}
	s.lock.stage = lockAwaitsTurn
	previous.lock.next, s.lock.previous = s, previous
	e.emitLock(s, "awaits earlier submission", nil)
	if !previous.answered {
		e.supersede(previous)
	}
}

// advanceLock requests the lock from as many members as may grant a majority, and
// queues the tasks if no agent keeps locks.
func (e *Entry) advanceLock(s *submission) {
	if s.lock.stage != lockPassed {
		s.lock.stage = lockRequested
	}
	refHash := xxhash.Sum64String(s.sub.Ref)
	members := e.lockAgentsOfHash(refHash)
	s.lock.setMembers(refHash, members)
	if e.runsEndWithin == 0 || len(members) == 0 && !e.anyKeepsLocks() {
		e.passLock(s, "no agent keeps job locks")
		return
	}
	s.lock.majority = len(members)/2 + 1
	if s.lock.stage == lockRequested && e.cutOffFromMajority(members) {
		e.answerAbandoned(s, task.ReasonLockUnavailable)
		return
	}
	e.requestLocks(s, members)
	e.checkLock(s)
}

// cutOffFromMajority reports whether too many members have been out of reach for so long
// that no majority is to be had soon. An agent that was never connected may be just being
// dialled.
func (e *Entry) cutOffFromMajority(members []*agent) bool {
	lost := 0
	for _, a := range members {
		if a.link != linkOpen && a.incarnation != 0 && e.now >= a.disconnectedAt+lockAnswerTimeout {
			lost++
		}
	}
	return len(members)-lost < len(members)/2+1
}

func (e *Entry) anyConnected() bool {
	for _, a := range e.agents {
		if a.link == linkOpen {
			return true
		}
	}
	return false
}

// anyKeepsLocks reports whether a connected agent keeps locks, also one that is not
// in lockAgents because it has announced no service yet.
func (e *Entry) anyKeepsLocks() bool {
	for _, a := range e.agents {
		if a.link == linkOpen && a.runsEndWithin > 0 {
			return true
		}
	}
	return false
}

// passLock queues the tasks of a submission that waits no longer for its lock.
func (e *Entry) passLock(s *submission, message string) {
	if s.lock.stage == lockPassed || s.answered {
		return
	}
	s.lock.stage = lockPassed
	e.trace(s, message, "after", e.now-s.arrived)
	e.enqueue(s)
}

// handleLocks handles the answers about locks in a report.
func (e *Entry) handleLocks(a *agent, answers []wire.LockAnswer) {
	a.lockUnanswered = false
	for i := range answers {
		e.lockAnswered(a, &answers[i])
	}
}

// lockAnswered handles an agent's answer about a lock.
func (e *Entry) lockAnswered(a *agent, r *wire.LockAnswer) {
	s := e.subs[r.Submission]
	if s == nil {
		s = e.lingering[r.Submission]
	}
	if s == nil {
		a.toRelease = append(a.toRelease, wire.LockRef{Ref: r.Ref, Submission: r.Submission})
		e.markDirty(a)
		return
	}
	if r.State == wire.LockRevoked {
		e.lockRevoked(s, a)
		return
	}
	q := s.lock.request(a)
	if q == nil {
		return
	}
	if q.state == 0 {
		e.turnaround.observe(e.now, e.now-q.sentAt)
	}
	q.state = r.State
	switch r.State {
	case wire.LockGranted:
		e.checkLock(s)
		return
	case wire.LockQueued:
		e.emitLock(s, "lock queued", a)
		e.arm(timer{at: q.sentAt + lockQueuedTimeout, kind: timerLock, sub: s})
	default:
		q.failed = true
		e.emitLock(s, "lock unavailable", a)
		e.advanceLock(s)
	}
}

// observeUnanswered records how long the requests of a submission that is given up
// without its lock have waited for an answer.
func (e *Entry) observeUnanswered(s *submission) {
	if s.lock.stage != lockRequested {
		return
	}
	for i := range s.lock.requests {
		if r := &s.lock.requests[i]; r.state == 0 && r.live() {
			e.turnaround.observe(e.now, e.now-r.sentAt)
		}
	}
}

// lockRevoked gives up a submission because its job was submitted again elsewhere.
func (e *Entry) lockRevoked(s *submission, a *agent) {
	e.emitLock(s, "lock revoked", a)
	s.lock.releaseNow = true
	if !s.answered {
		e.supersede(s)
	}
}

// supersede answers a submission whose job was submitted again.
func (e *Entry) supersede(s *submission) {
	state := task.Failed
	switch {
	case s.sub.Job:
	case s.mayHaveStarted():
		state = task.Unknown
	default:
		state = task.NotRun
	}
	e.answer(s, task.Answer{
		State:  state,
		Reason: task.ReasonSuperseded,
		Detail: describe(task.Outcome{State: state, Reason: task.ReasonSuperseded}),
	})
}

// lockTimedOut asks another member in place of those that have not answered within
// lockAnswerTimeout, which are asked later than others until their next report, or not
// granted the lock within lockQueuedTimeout. It counts those that can be counted by now.
func (e *Entry) lockTimedOut(s *submission) {
	if s.answered {
		return
	}
	failed := false
	for i := range s.lock.requests {
		r := &s.lock.requests[i]
		if r.failed || !r.live() || !r.overdue(e.now) {
			continue
		}
		r.failed, failed = true, true
		if r.state == 0 {
			r.agent.lockUnanswered = true
			e.turnaround.observe(e.now, e.now-r.sentAt)
			e.emitLock(s, "lock not answered", r.agent)
		}
	}
	if failed {
		e.advanceLock(s)
		return
	}
	e.checkLock(s)
}

// advanceLocks requests locks again after agents were listed, connected or lost.
func (e *Entry) advanceLocks() {
	if len(e.changedLockAgents) == 0 {
		return
	}
	if len(e.byRef) > 0 {
		for _, s := range e.affectedSubmissions() {
			if !s.lock.over {
				e.advanceLock(s)
			}
		}
	}
	e.changedLockAgents = e.changedLockAgents[:0]
}

// affectedSubmissions returns the submissions that have requested their locks, may
// have runs and are affected by a changed agent, in a deterministic order.
func (e *Entry) affectedSubmissions() []*submission {
	var out []*submission
	for _, subs := range []map[task.SubmissionID]*submission{e.subs, e.lingering} {
		for _, s := range subs {
			if s.lock.stage >= lockRequested && slices.ContainsFunc(e.changedLockAgents, s.lock.isAffectedBy) {
				out = append(out, s)
			}
		}
	}
	slices.SortFunc(out, func(a, b *submission) int { return bytes.Compare(a.id[:], b.id[:]) })
	return out
}

// releaseLocks releases the locks of a submission that can have no more runs. The
// releases go with the next update to each agent unless another submission waits.
func (e *Entry) releaseLocks(s *submission) {
	for i := range s.lock.requests {
		r := &s.lock.requests[i]
		a := r.agent
		if a.link != linkOpen {
			continue
		}
		if r.live() {
			a.locks--
		}
		a.toRelease = append(a.toRelease, wire.LockRef{Ref: s.sub.Ref, Submission: s.id})
		if s.lock.releaseNow || len(a.toRelease) >= maxDeferredReleases {
			e.markDirty(a)
		}
		e.updateExpect(a)
	}
}

// checkOver ends a submission's claim to its job once it is answered and none of
// its runs can go on.
func (e *Entry) checkOver(s *submission) {
	if s.sub.Ref == "" || !s.answered || s.lock.over {
		return
	}
	if s.inFlight > 0 || e.now < s.runsUntil {
		e.lingering[s.id] = s
		if s.inFlight == 0 {
			e.arm(timer{at: s.runsUntil, kind: timerOver, sub: s})
		}
		return
	}
	s.lock.over = true
	delete(e.lingering, s.id)
	e.releaseLocks(s)
	e.endTurn(s)
}

// endTurn removes a submission from those of its job. The next one then requests
// the lock.
func (e *Entry) endTurn(s *submission) {
	previous, next := s.lock.previous, s.lock.next
	s.lock.previous, s.lock.next = nil, nil
	if next != nil {
		next.lock.previous = previous
	} else if e.byRef[s.sub.Ref] == s {
		delete(e.byRef, s.sub.Ref)
		if previous != nil {
			e.byRef[s.sub.Ref] = previous
		}
	}
	if previous != nil {
		previous.lock.next = next
		return
	}
	if next != nil {
		e.advanceLock(next)
	}
}
