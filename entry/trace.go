package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// maxTrace is the maximum number of decisions kept for one submission.
const maxTrace = 64

// Decision is a log record of a decision about a submission or an agent and of
// the inputs to it.
type Decision struct {
	// Ref is the caller's reference of the submission, or its ID if there is
	// none.
	Ref     string
	Message string
	// At is the time of the decision.
	At time.Duration
	// Inputs are alternating keys and values.
	Inputs []any
	// Incomplete marks decisions about a submission that did not complete.
	Incomplete bool
}

func (Decision) effect() {}

// trace records a decision about a submission until the submission ends.
func (e *Entry) trace(s *submission, message string, inputs ...any) {
	if !e.opts.Trace || len(s.trace) >= maxTrace {
		return
	}
	s.trace = append(s.trace, Decision{Ref: s.ref(), Message: message, At: e.now, Inputs: inputs})
}

func (s *submission) ref() string {
	if s.sub.Ref != "" {
		return s.sub.Ref
	}
	return s.id.String()
}

// emitTrace emits the decisions about a submission that has ended: all of them
// if it did not complete or an evacuation moved its tasks, otherwise those of one
// submission in 256.
func (e *Entry) emitTrace(s *submission, a *task.Answer) {
	if !e.opts.Trace {
		return
	}
	incomplete := a.State != task.Complete
	if incomplete || s.displaced || s.id[len(s.id)-1] == 0 {
		for _, d := range s.trace {
			d.Incomplete = incomplete
			e.emit(d)
		}
	}
	e.emit(Decision{Ref: s.ref(), Message: "answered", At: e.now, Incomplete: incomplete, Inputs: []any{
		"submission", s.id, "state", a.State, "reason", a.Reason, "after", e.now - s.arrived, "objective", s.sub.Objective, "why", a.Detail,
	}})
	s.trace = nil
}

// emitRefusal emits the decision not to admit a submission.
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

// emitLock emits a change of a submission's request for the lock of its job.
func (e *Entry) emitLock(s *submission, message string, a *agent) {
	if !e.opts.Trace {
		return
	}
	inputs := []any{"submission", s.id, "age", e.now - s.arrived}
	if a != nil {
		inputs = append(inputs, "agent", a.ID)
	}
	e.emit(Decision{Ref: s.ref(), Message: message, At: e.now, Inputs: inputs})
}

// emitAgentChange emits a change of an agent's slow state.
func (e *Entry) emitAgentChange(message string, a *agent, reportedSlow, overdue bool) {
	if !e.opts.Trace {
		return
	}
	e.emit(Decision{Message: message, At: e.now, Inputs: []any{
		"agent", a.ID, "pace", a.reportedLogRatio, "behind", reportedSlow, "overdue", overdue, "own-mean", a.runTimeRatio.mean, "service-mean", a.svc.runTimeRatio.mean,
		"outstanding", a.Outstanding,
	}})
}
