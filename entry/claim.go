package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// claimStage is how far a submission with an idempotency key has come.
type claimStage uint8

const (
	claimNone claimStage = iota
	claimRequested
	claimHeld
)

// defaultKeyRetention is how long a key is remembered where the service names none.
const defaultKeyRetention = 24 * time.Hour

// claim asks control for the submission's key; nothing runs before it is
// granted.
func (e *Entry) claim(s *submission) {
	e.lastRequest++
	s.claimRequest = e.lastRequest
	s.claim = claimRequested
	e.claims[s.claimRequest] = s
	keep := s.svc.cfg.KeyKeep
	if keep <= 0 {
		keep = defaultKeyRetention
	}
	e.emit(SendClaim{wire.Claim{
		Request:    s.claimRequest,
		Team:       s.sub.Team,
		Service:    s.sub.Service,
		Key:        s.sub.IdempotencyKey,
		BodyDigest: xxhash.Sum64(s.sub.Tasks[0].Payload),
		Owner:      s.id,
		Keep:       keep,
	}})
	e.arm(timer{at: s.deadline, kind: timerDeadline, sub: s})
}

// claimReplied lets the owner of a key run and tells everybody else what
// became of it.
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
		s.claim = claimHeld
		e.enqueue(s)
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

// releaseUnusedClaim frees a key that was granted after its submission was answered
// as not run.
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

// replay answers with the outcome of the first submission of the key.
func (e *Entry) replay(s *submission, r wire.ClaimReply) {
	s.claim = claimNone
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

func (e *Entry) answerClaim(s *submission, st task.State, why task.Reason, after time.Duration) {
	s.claim = claimNone
	e.answer(s, task.Answer{
		State:      st,
		Reason:     why,
		Detail:     describe(task.Outcome{State: st, Reason: why}),
		RetryAfter: after,
	})
}

// resolveClaim records the outcome of a granted key. An outcome that is not
// run frees the key. If the record is lost, the key stays held: a resend is
// then told that the outcome is unknown, and nothing runs twice.
func (e *Entry) resolveClaim(s *submission, a task.Answer) {
	if s.claim != claimHeld {
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
