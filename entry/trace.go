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
	Ref  string
	What string
	// At is when it was decided.
	At time.Duration
	// Inputs are pairs of keys and values.
	Inputs []any
	// Bad marks the decisions about a submission that did not complete.
	Bad bool
}

func (Decision) effect() {}

// trace keeps a decision about a submission until it ends.
func (e *Entry) trace(s *submission, what string, inputs ...any) {
	if !e.opts.Trace || len(s.trace) >= maxTrace {
		return
	}
	s.trace = append(s.trace, Decision{Ref: s.ref(), What: what, At: e.now, Inputs: inputs})
}

func (s *submission) ref() string {
	if s.sub.Ref != "" {
		return s.sub.Ref
	}
	return s.id.String()
}

// explain hands out the decisions about a submission that has ended: all of
// them if it ended badly, and of one in 256 of the others.
func (e *Entry) explain(s *submission, a *task.Answer) {
	if !e.opts.Trace {
		return
	}
	bad := a.State != task.Complete
	if bad || s.id[len(s.id)-1] == 0 {
		for _, d := range s.trace {
			d.Bad = bad
			e.emit(d)
		}
	}
	e.emit(Decision{Ref: s.ref(), What: "answered", At: e.now, Bad: bad, Inputs: []any{
		"state", a.State, "reason", a.Reason, "after", e.now - s.arrived, "objective", s.sub.Objective, "why", a.Detail,
	}})
	s.trace = nil
}

// explainRefusal hands out the decision not to admit a submission.
func (e *Entry) explainRefusal(ev *Submit, svc *service, r *refusal) {
	if !e.opts.Trace {
		return
	}
	inputs := []any{"reason", r.reason, "why", r.detail, "retry-after", r.after, "tasks", len(ev.Sub.Tasks)}
	if svc != nil {
		inputs = append(inputs, "waiting", svc.q.Len(), "agents", svc.pool.Len(), "free", svc.pool.Free())
	}
	if e.cfg != nil {
		inputs = append(inputs, "config", e.cfg.Index)
	}
	ref := ev.Sub.Ref
	if ref == "" {
		ref = ev.ID.String()
	}
	e.emit(Decision{Ref: ref, What: "refused", At: e.now, Bad: true, Inputs: inputs})
}

// note hands out a changed belief about an agent.
func (e *Entry) note(what string, a *agent, behind, overdue bool) {
	if !e.opts.Trace {
		return
	}
	e.emit(Decision{What: what, At: e.now, Inputs: []any{
		"agent", a.ID, "pace", a.pace, "behind", behind, "overdue", overdue, "own-mean", a.speed.mean, "service-mean", a.svc.speed.mean,
		"outstanding", a.Outstanding,
	}})
}
