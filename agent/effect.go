package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Effect is an action that the driver executes.
type Effect interface{ effect() }

// SendWelcome accepts a session.
type SendWelcome struct {
	Session SessionID
	Welcome *wire.Welcome
}

// SendReport sends a report on a session.
type SendReport struct {
	Session SessionID
	Report  *wire.Report
}

// CloseSession closes a session's connection.
type CloseSession struct {
	Session SessionID
	Reason  CloseReason
}

// StartRun starts a task at the upstream.
type StartRun struct {
	Run RunID
	ID  task.ID
	// Name is the task's name at the upstream; if empty, its id is used.
	Name    string
	Payload []byte
	// Declared is the run time that the caller expects; zero if unknown.
	Declared time.Duration
	// StartBy is the time, on the clock of Step, after which the request must
	// not be written. RunBy is the deadline for the end of the run.
	StartBy time.Duration
	RunBy   time.Duration
}

// StopRun asks the upstream to stop a task. A RunEnded follows if the upstream
// reports the end.
type StopRun struct {
	Run RunID
	ID  task.ID
}

// AbandonRun closes the connection of a run; the end of the run is ignored.
type AbandonRun struct {
	Run RunID
	ID  task.ID
}

// CheckRun queries the upstream on a new connection about a run that has not
// responded. A RunEnded or RunChecked follows.
type CheckRun struct {
	Run    RunID
	ID     task.ID
	Status bool
}

// ProbeUpstream checks the upstream's health on a new connection. A Probed
// follows.
type ProbeUpstream struct{ Instance string }

// UseUpstream sets the upstream for all further runs.
type UseUpstream struct{ Upstream Upstream }

// AnnounceWorker sends the description of this agent's worker to the control
// hosts.
type AnnounceWorker struct {
	Worker  wire.Worker
	Leaving bool
}

// Drained signals that the process may exit.
type Drained struct {
	// Unacked is the number of outcomes that no entry has acknowledged.
	Unacked int
}

// Decision describes, for the log, the outcome of a task that did not complete,
// for example because it was refused, stopped or cut off.
type Decision struct {
	// Task is the task's name at the upstream or, if that is empty, its id.
	Task   string
	Entry  string
	State  string
	Reason task.Reason
	// Waited is the time the task spent queued at this agent, Ran its run time.
	Waited, Ran     time.Duration
	Running, Queued int
}

func (Decision) effect()       {}
func (SendWelcome) effect()    {}
func (SendReport) effect()     {}
func (CloseSession) effect()   {}
func (StartRun) effect()       {}
func (StopRun) effect()        {}
func (AbandonRun) effect()     {}
func (CheckRun) effect()       {}
func (ProbeUpstream) effect()  {}
func (UseUpstream) effect()    {}
func (AnnounceWorker) effect() {}
func (Drained) effect()        {}

// CloseReason is the reason why the agent closes a session.
type CloseReason string

// Reasons for closing a session.
const (
	CloseReplaced         CloseReason = "replaced by a newer session"
	CloseIncarnationTaken CloseReason = "incarnation belongs to another entry"
	CloseStale            CloseReason = "session number is not newer"
	CloseGap              CloseReason = "update sequence has a gap"
	CloseBadAck           CloseReason = "acknowledgement of a report not sent"
	CloseUnacked          CloseReason = "too many outcomes not acknowledged"
)
