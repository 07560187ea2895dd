package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// maxTrace bounds the decisions kept for one submission.
const maxTrace = 64

// Decision is a decision about a submission, for the log: what was decided and
// the inputs that decided it.
type Decision struct {
	// Ref is what the caller calls the submission, or else its id.
	Ref     string
	Message string
	// At is when it was decided.
	At time.Duration
	// Inputs are pairs of keys and values.
	Inputs []any
	// Incomplete marks the decisions about a submission that did not complete.
	Incomplete bool
}

func (Decision) effect() {}

// trace keeps a decision about a submission until it ends.
func (e *Entry) trace(s *submission, what string, inputs ...any) {
	if !e.opts.Trace || len(s.trace) >= maxTrace {
		return
	}
	s.trace = append(s.trace, Decision{Ref: s.ref(), Message: what, At: e.now, Inputs: inputs})
}

func (s *submission) ref() string {
	if s.sub.Ref != "" {
		return s.sub.Ref
	}
	return s.id.String()
}

// emitTrace hands out the decisions about a submission that has ended: all of
// them if it ended badly, and of one in 256 of the others.
func (e *Entry) emitTrace(s *submission, a *task.Answer) {
	if !e.opts.Trace {
		return
	}
	bad := a.State != task.Complete
	if bad || s.id[len(s.id)-1] == 0 {
		for _, d := range s.trace {
			d.Incomplete = bad
			e.emit(d)
		}
	}
	e.emit(Decision{Ref: s.ref(), Message: "answered", At: e.now, Incomplete: bad, Inputs: []any{
		"state", a.State, "reason", a.Reason, "after", e.now - s.arrived, "objective", s.sub.Objective, "why", a.Detail,
	}})
	s.trace = nil
}

// emitRefusal hands out the decision not to admit a submission.
func (e *Entry) emitRefusal(ev *Submit, svc *service, r *refusal) {
	if !e.opts.Trace {
		return
	}
	inputs := []any{"reason", r.reason, "why", r.detail, "retry-after", r.retryAfter, "tasks", len(ev.Sub.Tasks)}
	if svc != nil {
		inputs = append(inputs, "waiting", svc.q.Len(), "agents", svc.pool.Len(), "free", svc.pool.Available())
	}
	if e.cfg != nil {
		inputs = append(inputs, "config", e.cfg.Index)
	}
	ref := ev.Sub.Ref
	if ref == "" {
		ref = ev.ID.String()
	}
	e.emit(Decision{Ref: ref, Message: "refused", At: e.now, Incomplete: true, Inputs: inputs})
}

// emitAgentChange hands out a changed belief about an agent.
func (e *Entry) emitAgentChange(what string, a *agent, behind, overdue bool) {
	if !e.opts.Trace {
		return
	}
	e.emit(Decision{Message: what, At: e.now, Inputs: []any{
		"agent", a.ID, "pace", a.pace, "behind", behind, "overdue", overdue, "own-mean", a.runTimeRatio.mean, "service-mean", a.svc.runTimeRatio.mean,
		"outstanding", a.Outstanding,
	}})
}
