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
	Name string
	// Instance is that of the upstream for which the start was decided.
	Instance string
	Payload  []byte
	// Declared is the run time that the caller expects; zero if unknown.
	Declared time.Duration
	Need     task.Resources
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

// Evacuation reports that the evacuation of the agent's failure domain has begun or
// ended. While it is active, nothing may start at the upstream, repeated starts
// included.
type Evacuation struct {
	Active bool
	// Index is that of the configuration with the order.
	Index uint64
	// Refused counts the queued tasks that were refused, Running those that go on.
	Refused, Running int
}

// ColdUpstream reports, for the log, that the upstream says that it is cold.
type ColdUpstream struct {
	Instance string
	For      time.Duration
}

// UpstreamCrash describes, for the log, a crash of the upstream or a change of what
// is known of it.
type UpstreamCrash struct {
	Instance string
	State    wire.CrashState
	// Age is the time since the crash was noticed.
	Age time.Duration
	// Runs are the runs that were in progress, those that had started last first, Possible
	// those whose starts got no answer.
	Runs, Possible []wire.CrashedRun
}

// Drained signals that the process may exit.
type Drained struct {
	// Unacked is the number of outcomes that no entry has acknowledged.
	Unacked int
}

// TaskRef names a task for the log as the agent, its entry and its upstream know it.
type TaskRef struct {
	// Task is the task's name at the upstream or, if that is empty, its id.
	Task string
	// Run numbers the attempts of the submission's task from 1.
	Run        uint32
	Submission task.SubmissionID
	// Entry and Incarnation identify the process that sent the task.
	Entry       string
	Incarnation uint64
	// Instance is that of the upstream.
	Instance string
}

// RunStarted describes, for the log, a run that is passed to the upstream.
type RunStarted struct {
	TaskRef
	// Waited is the time the task spent queued at this agent.
	Waited          time.Duration
	Running, Queued int
}

// StopOrdered describes, for the log, that the upstream is requested to stop a run.
type StopOrdered struct {
	TaskRef
	Reason task.Reason
	Ran    time.Duration
	// EntrySilent is the time since the last message of the entry.
	EntrySilent time.Duration
}

// Decision describes, for the log, the outcome of a task.
type Decision struct {
	TaskRef
	State  string
	Reason task.Reason
	// Waited is the time the task spent queued at this agent, Ran its run time.
	Waited, Ran     time.Duration
	Running, Queued int
}

// Paused reports, for the log, that the process was paused: an event arrived that much
// later than the requested tick, and the time-outs have been restarted.
type Paused struct{ For time.Duration }

func (RunStarted) effect()     {}
func (StopOrdered) effect()    {}
func (Paused) effect()         {}
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
func (Evacuation) effect()     {}
func (ColdUpstream) effect()   {}
func (UpstreamCrash) effect()  {}
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
