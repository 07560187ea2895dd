// Package task defines the data types shared by all roles: submissions, tasks,
// outcomes and the resources of a worker. It has no behaviour beyond formatting,
// parsing, comparison and arithmetic on resources.
package task

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

//go:generate go tool msgp -tests=false -io=false

// SubmissionID identifies one submission of a job or a request. It is never
// reused: the first eight bytes are the entry's incarnation, the last eight are a
// counter of its submissions.
type SubmissionID [16]byte

// NewSubmissionID returns the id of submission n of an entry incarnation.
func NewSubmissionID(incarnation, n uint64) SubmissionID {
	var id SubmissionID
	binary.BigEndian.PutUint64(id[:8], incarnation)
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// Incarnation returns the incarnation of the entry that created the id.
func (id SubmissionID) Incarnation() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// String returns the id as 32 hexadecimal digits.
func (id SubmissionID) String() string { return hex.EncodeToString(id[:]) }

// ParseSubmissionID parses the form that String returns.
func ParseSubmissionID(s string) (SubmissionID, error) {
	var id SubmissionID
	if len(s) != 2*len(id) {
		return id, fmt.Errorf("submission id %q: want %d hexadecimal digits", s, 2*len(id))
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return id, fmt.Errorf("submission id %q: %w", s, err)
	}
	return id, nil
}

// ID identifies one attempt at one task: a submission, the task's index within
// it, and the attempt. An entry makes attempt n+1 only if attempt n did not run,
// if it failed and Submission.Restart allows another run, or, for an idempotent
// request, within the retry budget. An agent starts each ID at most once.
type ID struct {
	Submission SubmissionID `msg:"s"`
	Index      uint32       `msg:"i"`
	Attempt    uint32       `msg:"a"`
}

// String returns the id as submission.index.attempt, which is safe in a URL.
func (id ID) String() string {
	return fmt.Sprintf("%s.%d.%d", id.Submission, id.Index, id.Attempt)
}

// Resources is what a task needs or a worker offers.
type Resources struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU uint32 `msg:"c"`
	// MemoryMB is memory in units of 1,000,000 bytes.
	MemoryMB uint32 `msg:"m"`
	// Accelerators is a count of whole devices.
	Accelerators uint32 `msg:"a"`
}

// Fits reports whether offered covers r.
func (r Resources) Fits(offered Resources) bool {
	return r.MilliCPU <= offered.MilliCPU &&
		r.MemoryMB <= offered.MemoryMB &&
		r.Accelerators <= offered.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; each component is at least zero.
func (r Resources) Sub(o Resources) Resources {
	return Resources{saturatingSub(r.MilliCPU, o.MilliCPU), saturatingSub(r.MemoryMB, o.MemoryMB), saturatingSub(r.Accelerators, o.Accelerators)}
}

// Max returns the larger of each component of r and o.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

func saturatingSub(a, b uint32) uint32 {
	if b > a {
		return 0
	}
	return a - b
}

// Spec is a task as declared by its caller.
type Spec struct {
	// Name is the task's name at the upstream; if empty, the task's id is used.
	Name string `msg:"m,omitempty"`
	// Payload is passed to the upstream without inspection.
	Payload []byte `msg:"p"`
	// DeclaredRunTime is the run time that the caller expects; zero if unknown.
	// It is often inaccurate and serves only as a hint.
	DeclaredRunTime time.Duration `msg:"d"`
	// Need is the worker resources that the task requires besides a slot.
	Need Resources `msg:"n"`
}

// State is the final state of a task, request or job.
type State uint8

// The states. Only NotRun guarantees that nothing was started.
const (
	// Complete means that the upstream reported success.
	Complete State = iota + 1
	// Failed means that the task ran and failed, or was stopped.
	Failed
	// NotRun means that the task never started and never will.
	NotRun
	// Unknown means that the task may or may not have run.
	Unknown
)

// String returns the state as it appears in answers.
func (s State) String() string {
	switch s {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Reason is the cause for which a task, request or job did not complete.
type Reason string

// The reasons, as they appear in answers, metrics and the load tool.
const (
	ReasonNone              Reason = ""
	ReasonUpstreamError     Reason = "upstream_error"
	ReasonUpstreamGone      Reason = "upstream_gone"   // the upstream was lost or unreachable
	ReasonAgentGone         Reason = "agent_gone"      // the agent was lost while it held the task
	ReasonAgentRestarted    Reason = "agent_restarted" // the agent restarted while it held the task
	ReasonCutOff            Reason = "cut_off"         // the upstream terminated the task before completion
	ReasonStalled           Reason = "stalled"         // the run made no progress although its upstream answered
	ReasonDeadline          Reason = "deadline"
	ReasonStartExpired      Reason = "start_expired" // the latest start time had passed
	ReasonCancelled         Reason = "cancelled"
	ReasonBusy              Reason = "busy"
	ReasonDraining          Reason = "draining"          // the agent or its upstream is shutting down
	ReasonSuspended         Reason = "suspended"         // the agent sends no tasks to its upstream after failures
	ReasonCrashesUpstreams  Reason = "crashes_upstreams" // the task crashes the upstreams that start it
	ReasonQuarantined       Reason = "quarantined"       // tasks of its kind crash upstreams, and those set aside for them are down
	ReasonEvacuated         Reason = "evacuated"         // operators have evacuated the failure domain
	ReasonNeverFits         Reason = "never_fits"        // the task needs more resources than the worker offers
	ReasonNoUpstream        Reason = "no_upstream"       // no upstream is announced
	ReasonUnknownService    Reason = "unknown_service"
	ReasonUnknownTeam       Reason = "unknown_team"
	ReasonQuota             Reason = "quota"
	ReasonOverload          Reason = "overload"
	ReasonTooLarge          Reason = "too_large"
	ReasonClaimedElsewhere  Reason = "claimed_elsewhere"      // another submission holds the idempotency key, without an outcome yet
	ReasonClaimsUnavailable Reason = "claims_unavailable"     // idempotency keys can't be claimed at present
	ReasonClaimMismatch     Reason = "idempotency_key_reused" // the idempotency key was used for a different request
	ReasonSiblingFailed     Reason = "sibling_failed"         // another task of the job failed
	ReasonNeverReceived     Reason = "never_received"         // the task did not reach the agent
	ReasonEntryRestarted    Reason = "entry_restarted"        // the entry incarnation that sent the task will not reconnect
	ReasonEntryGone         Reason = "entry_gone"             // the agent received no message from the entry for too long
	ReasonCallerGone        Reason = "caller_gone"
	ReasonSuperseded        Reason = "superseded"       // the same job was submitted again
	ReasonLockUnavailable   Reason = "lock_unavailable" // the entry is cut off from most agents that keep the job's lock
	ReasonDuplicateTaskID   Reason = "duplicate_task_id"
)

// Outcome is how one task ended.
type Outcome struct {
	State  State  `msg:"s"`
	Reason Reason `msg:"r"`
	// Body is the upstream's answer.
	Body []byte `msg:"b"`
	// Ran is how long the task ran at its upstream; zero if it never started.
	Ran time.Duration `msg:"t"`
	// Where is the id of the agent that ran or refused the task, or was lost while
	// it held the task.
	Where string `msg:"w"`
}
