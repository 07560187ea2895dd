package lease

import (
	"time"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

// Event is something that happened outside the reducer.
type Event interface{ event() }

// Effect is something that the driver carries out.
type Effect interface{ effect() }

// Announced reports that the upstream has announced itself. Its Instance
// identifies one incarnation of its process.
type Announced struct {
	Upstream agent.Upstream
	// ID identifies the process across restarts.
	ID string
	// Born orders the incarnations of the processes at this agent; Seq orders
	// the announcements of one incarnation. A stale announcement is ignored.
	Born uint64
	Seq  uint64
	// Clock is the upstream's clock; zero if unknown.
	Clock time.Duration
}

// Left reports that the upstream shuts down gracefully. Its process may go on for a
// while.
type Left struct{ ID string }

// Start requests a run.
type Start struct{ Run agent.StartRun }

// Stop requests the end of a run.
type Stop struct{ Run agent.RunID }

// Evacuate sets whether the upstream's failure domain is evacuated: no run starts, and
// no start is repeated, while it is.
type Evacuate struct{ Active bool }

// Probe requests a check whether the upstream answers.
type Probe struct{ Instance string }

// Tick reports that the time returned by Next has come.
type Tick struct{}

// CallID identifies one call to the upstream.
type CallID uint64

// StartAnswered is the outcome of a StartCall.
type StartAnswered struct {
	Call   CallID
	Result StartResult
	// Clock is the upstream's clock; zero if the answer did not contain it.
	Clock time.Duration
}

// StopAnswered is the outcome of a StopCall.
type StopAnswered struct {
	Call   CallID
	Result StopResult
}

// HoldAnswered is the outcome of a HoldCall.
type HoldAnswered struct {
	Call   CallID
	Result HoldResult
	View   View
}

func (Announced) event()     {}
func (Left) event()          {}
func (Start) event()         {}
func (Stop) event()          {}
func (Evacuate) event()      {}
func (Probe) event()         {}
func (Tick) event()          {}
func (StartAnswered) event() {}
func (StopAnswered) event()  {}
func (HoldAnswered) event()  {}

// Target identifies the process to which a call is sent.
type Target struct {
	// Addr is the host:port, Instance the expected incarnation of the process.
	Addr     string
	Instance string
}

// StartCall starts a run.
type StartCall struct {
	Call    CallID
	Target  Target
	Task    string
	Run     uint32
	Payload []byte
	// Until is the end of the lease on the upstream's clock.
	Until time.Duration
	Fence uint64
}

// StopCall stops a run.
type StopCall struct {
	Call   CallID
	Target Target
	Task   string
	Run    uint32
	Fence  uint64
}

// HoldCall renews the lease of all runs, acknowledges ended runs up to AckSeq
// and requests the lists of running and ended runs.
type HoldCall struct {
	Call   CallID
	Target Target
	AckSeq uint64
	// Until is the end of the lease on the upstream's clock; with zero the
	// lease is not renewed.
	Until time.Duration
	Fence uint64
	// Wait is how long the upstream may delay the answer until a run ends;
	// AnswerTimeout bounds the time that the answer takes beyond that.
	Wait          time.Duration
	AnswerTimeout time.Duration
}

// Notify passes an event to the agent's reducer.
type Notify struct{ Event agent.Event }

// LogLine is a log line about a change of the state.
type LogLine struct {
	Text    string
	KeyVals []any
}

func (StartCall) effect() {}
func (StopCall) effect()  {}
func (HoldCall) effect()  {}
func (Notify) effect()    {}
func (LogLine) effect()   {}

// StartResult is an upstream's answer to a start.
type StartResult uint8

// The answers to a start.
const (
	// StartLost means that there was no answer: the start may have been
	// carried out, or may be later.
	StartLost StartResult = iota
	// StartAccepted means that the run has started.
	StartAccepted
	// StartFenced means that the token was lower than one seen before.
	StartFenced
	// StartStale means that the upstream has already had a run of the task
	// with the same or a higher number.
	StartStale
	// StartNoCapacity means that the upstream has no free capacity.
	StartNoCapacity
	// StartExpired means that the lease had expired before the start arrived.
	StartExpired
	// StartUnhealthy means that the upstream refuses to start anything.
	StartUnhealthy
	// StartInvalid means that the upstream can't decode the start.
	StartInvalid
	// StartWrongInstance means that a process with another id answered.
	StartWrongInstance
	// StartAcceptedByOther means that another incarnation of the process has started
	// the run.
	StartAcceptedByOther
	// StartNotSent means that the upstream could not be reached, so that the start is
	// not carried out.
	StartNotSent
)

// answered reports whether the upstream's process has answered. One that is unhealthy
// may refuse everything.
func (r StartResult) answered() bool {
	switch r {
	case StartLost, StartNotSent, StartUnhealthy, StartWrongInstance, StartAcceptedByOther:
		return false
	}
	return true
}

// StopResult is an upstream's answer to a stop.
type StopResult uint8

// The answers to a stop.
const (
	// StopLost means that there was no answer: the stop may have been carried
	// out, or may be later.
	StopLost StopResult = iota
	// StopAccepted means that the run ends soon, and can't start if it has not.
	StopAccepted
	// StopFenced means that the token was lower than one seen before.
	StopFenced
	// StopRefused means that the upstream did nothing.
	StopRefused
)

// HoldResult is an upstream's answer to a hold.
type HoldResult uint8

// The answers to a hold.
const (
	// HoldLost means that there was no answer.
	HoldLost HoldResult = iota
	// HoldOK means that the view is valid.
	HoldOK
	// HoldFenced means that the token was lower than one seen before.
	HoldFenced
	// HoldWrongInstance means that a process with another id answered, which does
	// nothing that is meant for the upstream.
	HoldWrongInstance
	// HoldSuccessor means that another incarnation of the process answered, which may
	// have carried out calls that were meant for the one before.
	HoldSuccessor
	// HoldRefused means that the host refused the connection, so that no process
	// listens at the upstream's address.
	HoldRefused
)

// View is an upstream's report about its runs.
type View struct {
	// Clock is the upstream's clock.
	Clock   time.Duration
	Running []Running
	// Ended lists ended runs above the acknowledged sequence number, the oldest
	// first. The list may be incomplete.
	Ended []Ended
}

// Running is one run in progress.
type Running struct {
	Task string
	Run  uint32
	// Percent is the progress of the work.
	Percent int
}

// Ended is one run that has ended.
type Ended struct {
	// Seq numbers the ended runs of one incarnation from 1.
	Seq  uint64
	Task string
	Run  uint32
	How  EndKind
}

// EndKind says how a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	EndLeaseExpired
	// EndGroupFailed means that the run ended because others of its group ended
	// or were missing.
	EndGroupFailed
)

// runKey identifies a run at the upstream.
type runKey struct {
	task string
	run  uint32
}

func keyOf(r agent.StartRun) runKey {
	name := r.Name
	if name == "" {
		name = taskName(r.ID)
	}
	return runKey{name, r.ID.Attempt + 1}
}

func taskName(id task.ID) string { return id.String() }
