package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// claimStage is the state of a submission's idempotency claim.
type claimStage uint8

const (
	claimNone claimStage = iota
	claimRequested
	claimHeld
)

// defaultKeyRetention is how long a key is kept if the service does not
// configure it.
const defaultKeyRetention = 24 * time.Hour

// maxClockStep is by how much the wall clock of a control host, by which claims expire,
// may step ahead while a request runs.
const maxClockStep = 10 * time.Second

// requestClaim requests the submission's idempotency key from control. Nothing
// runs before the claim is granted.
func (e *Entry) requestClaim(s *submission) {
	e.lastRequest++
	s.claimRequest = e.lastRequest
	s.claimStage = claimRequested
	e.claims[s.claimRequest] = s
	retention := s.svc.cfg.KeyKeep
	if retention <= 0 {
		retention = defaultKeyRetention
	}
	retention = max(retention, s.deadline-e.now+e.runsEndWithin+maxClockStep)
	e.emit(SendClaim{wire.Claim{
		Request:    s.claimRequest,
		Team:       s.sub.Team,
		Service:    s.sub.Service,
		Key:        s.sub.IdempotencyKey,
		BodyDigest: xxhash.Sum64(s.sub.Tasks[0].Payload),
		Owner:      s.id,
		Keep:       retention,
	}})
	e.arm(timer{at: s.deadline, kind: timerDeadline, sub: s})
}

// claimReplied enqueues the submission if its claim was granted and otherwise
// answers it with the state of the key.
func (e *Entry) claimReplied(r wire.ClaimReply) {
	s := e.claims[r.Request]
	if s == nil {
		return
	}
	delete(e.claims, r.Request)
	if s.answered {
		e.releaseUnusedClaim(s, r)
		return
	}
	switch r.State {
	case wire.ClaimGranted:
		s.claimStage = claimHeld
		e.start(s)
	case wire.ClaimDone:
		e.replay(s, r)
	case wire.ClaimPending:
		e.answerClaim(s, task.Unknown, task.ReasonClaimedElsewhere, max(r.RetryAfter, claimRetryAfter))
	case wire.ClaimMismatch:
		e.answerClaim(s, task.NotRun, task.ReasonClaimMismatch, 0)
	default:
		e.answerClaim(s, task.NotRun, task.ReasonClaimsUnavailable, max(r.RetryAfter, claimRetryAfter))
	}
}

// releaseUnusedClaim releases a key that was granted after its submission was
// answered as not run.
func (e *Entry) releaseUnusedClaim(s *submission, r wire.ClaimReply) {
	if r.State != wire.ClaimGranted {
		return
	}
	e.emit(SendResolve{wire.Resolve{
		Request: r.Request,
		Team:    s.sub.Team,
		Service: s.sub.Service,
		Key:     s.sub.IdempotencyKey,
		Owner:   s.id,
		Outcome: task.Outcome{State: task.NotRun, Reason: task.ReasonDeadline},
	}})
}

// replay answers with the outcome of the first submission that used the key.
func (e *Entry) replay(s *submission, r wire.ClaimReply) {
	s.claimStage = claimNone
	if r.Outcome == nil {
		e.answerClaim(s, task.Unknown, task.ReasonClaimedElsewhere, claimRetryAfter)
		return
	}
	a := task.Answer{State: r.Outcome.State, Reason: r.Outcome.Reason, Replayed: true}
	if a.State == task.Complete {
		a.Outcomes = []task.Outcome{*r.Outcome}
	} else {
		a.Detail = describe(*r.Outcome)
	}
	e.answer(s, a)
}

func (e *Entry) answerClaim(s *submission, st task.State, reason task.Reason, retryAfter time.Duration) {
	s.claimStage = claimNone
	e.answer(s, task.Answer{
		State:      st,
		Reason:     reason,
		Detail:     describe(task.Outcome{State: st, Reason: reason}),
		RetryAfter: retryAfter,
	})
}

// resolveClaim records the outcome of a granted claim. The outcome "not run"
// releases the key. If the record is lost, the key stays held: a resent
// submission gets the answer that the outcome is unknown, and nothing runs
// twice.
func (e *Entry) resolveClaim(s *submission, a task.Answer) {
	if s.claimStage != claimHeld {
		return
	}
	o := task.Outcome{State: a.State, Reason: a.Reason}
	if len(a.Outcomes) > 0 {
		o = a.Outcomes[0]
	}
	e.lastRequest++
	e.emit(SendResolve{wire.Resolve{
		Request: e.lastRequest,
		Team:    s.sub.Team,
		Service: s.sub.Service,
		Key:     s.sub.IdempotencyKey,
		Owner:   s.id,
		Outcome: o,
	}})
}
