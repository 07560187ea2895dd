// Package task holds the nouns that every role shares: submissions, tasks,
// outcomes and the resources of a worker. It has no behaviour beyond
// formatting and comparison.
package task

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"
)

//go:generate go tool msgp -tests=false -io=false

// SubmissionID identifies one submission of a job or a request. It is never
// reused: the first eight bytes name the entry's incarnation, the last eight
// count its submissions.
type SubmissionID [16]byte

// NewSubmissionID returns the id of submission n of an entry incarnation.
func NewSubmissionID(incarnation, n uint64) SubmissionID {
	var id SubmissionID
	binary.BigEndian.PutUint64(id[:8], incarnation)
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

// Incarnation returns the incarnation of the entry that made the id.
func (id SubmissionID) Incarnation() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// String returns the id as 32 hexadecimal digits.
func (id SubmissionID) String() string { return hex.EncodeToString(id[:]) }

// ParseSubmissionID reads the form that String writes.
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
// it, and the attempt. An entry makes attempt n+1 only after it was told that
// attempt n did not run, or, for an idempotent request, within its retry
// budget. An agent starts each ID at most once.
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

// Fits reports whether r can be met from what is offered.
func (r Resources) Fits(offered Resources) bool {
	return r.MilliCPU <= offered.MilliCPU &&
		r.MemoryMB <= offered.MemoryMB &&
		r.Accelerators <= offered.Accelerators
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o, and zero where o is the larger.
func (r Resources) Sub(o Resources) Resources {
	return Resources{saturatingSub(r.MilliCPU, o.MilliCPU), saturatingSub(r.MemoryMB, o.MemoryMB), saturatingSub(r.Accelerators, o.Accelerators)}
}

func saturatingSub(a, b uint32) uint32 {
	if b > a {
		return 0
	}
	return a - b
}

// Spec is a task as its caller declared it.
type Spec struct {
	// Name is what the task is called at the upstream; empty for its id.
	Name string `msg:"m,omitempty"`
	// Payload is handed to the upstream unread.
	Payload []byte `msg:"p"`
	// DeclaredRunTime is the run time that the caller expects; zero if unknown. It
	// is often far off and only ever a hint.
	DeclaredRunTime time.Duration `msg:"d"`
	// Need is what the task takes of its worker besides a slot.
	Need Resources `msg:"n"`
}

// State says how a task, request or job ended.
type State uint8

// The states. Only NotRun promises that nothing was started.
const (
	// Complete means that the upstream answered with success.
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

// Reason says why a task, request or job did not complete.
type Reason string

// The reasons, as they appear in answers, metrics and the load tool.
const (
	ReasonNone              Reason = ""
	ReasonUpstreamError     Reason = "upstream_error"
	ReasonUpstreamGone      Reason = "upstream_gone"
	ReasonAgentGone         Reason = "agent_gone"
	ReasonAgentRestarted    Reason = "agent_restarted"
	ReasonCutOff            Reason = "cut_off"
	ReasonStalled           Reason = "stalled"
	ReasonDeadline          Reason = "deadline"
	ReasonStartExpired      Reason = "start_expired"
	ReasonCancelled         Reason = "cancelled"
	ReasonBusy              Reason = "busy"
	ReasonDraining          Reason = "draining"
	ReasonSuspended         Reason = "suspended"
	ReasonNeverFits         Reason = "never_fits"
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonUnknownService    Reason = "unknown_service"
	ReasonUnknownTeam       Reason = "unknown_team"
	ReasonQuota             Reason = "quota"
	ReasonOverload          Reason = "overload"
	ReasonTooLarge          Reason = "too_large"
	ReasonClaimedElsewhere  Reason = "claimed_elsewhere"
	ReasonClaimsUnavailable Reason = "claims_unavailable"
	ReasonClaimMismatch     Reason = "idempotency_key_reused"
	ReasonSiblingFailed     Reason = "sibling_failed"
	ReasonNeverReceived     Reason = "never_received"
	ReasonEntryRestarted    Reason = "entry_restarted"
	ReasonEntryGone         Reason = "entry_gone"
	ReasonCallerGone        Reason = "caller_gone"
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
	// Where names the worker that ran it.
	Where string `msg:"w"`
}
