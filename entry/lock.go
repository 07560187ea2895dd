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
	// lockAnswerTimeout is how long an agent may take to answer a lock request.
	lockAnswerTimeout = 150 * time.Millisecond
	// maxUnansweredLocks is how many agents may fail to answer before a job runs
	// without a lock.
	maxUnansweredLocks = 2
	// lockSettleTime is how long the lock of a job is also requested from the next
	// agent after its agent comes back. Entries that have runs of older jobs
	// request the locks of these from it meanwhile.
	lockSettleTime = time.Second
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
	// lockPassed: the submission has its lock, or goes on without one.
	lockPassed
)

// jobLock is the state of a submission's request for the lock of its job, which
// keeps submissions of one job at several entries from having runs at the same
// time. Each agent may keep locks; which one does for a job follows from the ids
// of both.
type jobLock struct {
	stage    lockStage
	requests []lockRequest
	// unanswered counts the agents that did not answer or can't keep the lock.
	unanswered int
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
	// failed is set if the agent did not answer in time or can't keep the lock.
	failed bool
}

func (r *lockRequest) live() bool { return r.agent.link == linkOpen && r.agent.session == r.session }

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

// progress reports whether an answer or a grant is pending, and whether the lock
// was granted at any agent.
func (l *jobLock) progress() (pending, granted bool) {
	for i := range l.requests {
		r := &l.requests[i]
		switch {
		case !r.live() || r.failed:
		case r.state == wire.LockGranted:
			granted = true
		default:
			pending = true
		}
	}
	return pending, granted
}

// waiting reports whether the submission waits for its lock or for its turn.
func (l *jobLock) waiting() bool { return l.stage == lockAwaitsTurn || l.stage == lockRequested }

// lockScore ranks the agents for the lock of a job; the highest score wins. It
// mixes the hashes of both ids with the finalizer of MurmurHash3.
func lockScore(agentHash, refHash uint64) uint64 {
	x := agentHash ^ refHash
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// setLockAgent records whether an agent of the service keeps locks.
func (s *service) setLockAgent(a *agent, on bool) {
	for i, o := range s.lockAgents {
		if o == a {
			if !on {
				s.lockAgents = append(s.lockAgents[:i], s.lockAgents[i+1:]...)
			}
			return
		}
	}
	if on {
		s.lockAgents = append(s.lockAgents, a)
	}
}

// lockAgents returns the agent that keeps the lock of a job and, if that agent has
// come back only recently, the one that kept it meanwhile. Agents that failed to
// answer are passed over.
func (e *Entry) lockAgents(s *submission) (first, settled *agent) {
	refHash := xxhash.Sum64String(s.sub.Ref)
	var firstScore, settledScore uint64
	for _, a := range s.svc.lockAgents {
		score := lockScore(a.lockHash, refHash)
		if score <= settledScore || a.lockUnanswered {
			continue
		}
		if r := s.lock.request(a); r != nil && r.failed {
			continue
		}
		if score > firstScore {
			first, firstScore = a, score
		}
		if e.now >= a.lockSettledAt {
			settled, settledScore = a, score
		}
	}
	return first, settled
}

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

// advanceLock requests the lock wherever it is kept now and has not been requested
// yet, and queues the tasks if nothing is left to wait for.
func (e *Entry) advanceLock(s *submission) {
	if s.lock.stage != lockPassed {
		s.lock.stage = lockRequested
	}
	if s.lock.unanswered < maxUnansweredLocks {
		first, settled := e.lockAgents(s)
		e.requestLock(s, first)
		e.requestLock(s, settled)
	}
	e.checkLock(s)
}

func (e *Entry) requestLock(s *submission, a *agent) {
	if a == nil || s.lock.request(a) != nil {
		return
	}
	if s.lock.stage == lockPassed {
		e.emitLock(s, "lock moved", a)
	}
	s.lock.add(lockRequest{agent: a, session: a.session, sentAt: e.now})
	a.toAcquire = append(a.toAcquire, wire.LockRequest{
		Ref:        s.sub.Ref,
		Submission: s.id,
		Age:        e.now - s.arrived,
		Within:     max(s.deadline-e.now, 0) + s.svc.runsEndWithin,
	})
	a.locks++
	e.markDirty(a)
	e.arm(timer{at: e.now + lockAnswerTimeout, kind: timerLock, sub: s})
}

// checkLock queues the tasks of a submission once its lock is granted by every
// agent that was asked, or if no agent keeps it.
func (e *Entry) checkLock(s *submission) {
	if s.lock.stage != lockRequested || s.answered {
		return
	}
	pending, granted := s.lock.progress()
	if pending {
		return
	}
	s.lock.stage = lockPassed
	if granted {
		e.trace(s, "lock granted", "after", e.now-s.arrived)
	} else {
		e.emitLock(s, "no agent keeps job locks", nil)
	}
	e.enqueue(s)
}

// handleLocks handles the answers about locks in a report.
func (e *Entry) handleLocks(a *agent, answers []wire.LockAnswer) {
	for i := range answers {
		e.lockAnswered(a, &answers[i])
	}
	if a.lockUnanswered {
		a.lockUnanswered = false
		e.lockAgentChanged(a.svc)
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
	q.state = r.State
	switch r.State {
	case wire.LockQueued:
		e.emitLock(s, "lock queued", a)
	case wire.LockUnavailable:
		e.lockFailed(s, q)
		e.advanceLock(s)
		return
	}
	e.checkLock(s)
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

// lockTimedOut gives up the requests that were not answered within
// lockAnswerTimeout. Their agents are passed over until their next report.
func (e *Entry) lockTimedOut(s *submission) {
	if s.answered {
		return
	}
	failed := false
	for i := range s.lock.requests {
		r := &s.lock.requests[i]
		if !r.live() || r.failed || r.state != 0 || e.now < r.sentAt+lockAnswerTimeout {
			continue
		}
		r.agent.lockUnanswered = true
		e.lockFailed(s, r)
		failed = true
	}
	if failed {
		e.advanceLock(s)
	}
}

func (e *Entry) lockFailed(s *submission, r *lockRequest) {
	r.failed = true
	s.lock.unanswered++
	e.emitLock(s, "lock not answered", r.agent)
}

// lockAgentChanged requests the locks of a service again after one of its agents
// connected, was lost or answered again.
func (e *Entry) lockAgentChanged(svc *service) {
	if len(e.byRef) == 0 {
		return
	}
	for _, s := range e.lockedSubmissions(svc) {
		if !s.lock.over {
			e.advanceLock(s)
		}
	}
}

// lockedSubmissions returns the submissions of a service that have requested their
// locks and may have runs, in a deterministic order.
func (e *Entry) lockedSubmissions(svc *service) []*submission {
	var out []*submission
	for _, subs := range []map[task.SubmissionID]*submission{e.subs, e.lingering} {
		for _, s := range subs {
			if s.svc == svc && s.lock.stage >= lockRequested {
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
		if !r.live() {
			continue
		}
		a := r.agent
		a.locks--
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
