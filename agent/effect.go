package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Effect is something that the driver carries out.
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

// CloseSession ends a connection.
type CloseSession struct {
	Session SessionID
	Reason  CloseReason
}

// StartRun starts a task at the upstream.
type StartRun struct {
	Run RunID
	ID  task.ID
	// Name is what the task is called at the upstream; empty for its id.
	Name    string
	Payload []byte
	// Declared is the run time that the caller expects; zero if unknown.
	Declared time.Duration
	// StartBy is the time, by the clock of Step, after which the request must
	// not be written any more; RunBy bounds the end of the run.
	StartBy time.Duration
	RunBy   time.Duration
}

// StopRun asks the upstream to stop a task; a RunEnded follows if it can say.
type StopRun struct {
	Run RunID
	ID  task.ID
}

// AbandonRun gives a run up: its connection is closed and its end is ignored.
type AbandonRun struct {
	Run RunID
	ID  task.ID
}

// CheckRun asks the upstream about a silent run on a new connection. A
// RunEnded or RunChecked follows.
type CheckRun struct {
	Run    RunID
	ID     task.ID
	Status bool
}

// ProbeUpstream asks on a new connection whether the upstream is well. A
// Probed follows.
type ProbeUpstream struct{ Instance string }

// UseUpstream names the upstream to which runs go from now on.
type UseUpstream struct{ Upstream Upstream }

// AnnounceWorker tells the control hosts what this agent offers.
type AnnounceWorker struct {
	Worker  wire.Worker
	Leaving bool
}

// Drained says that the process may exit.
type Drained struct {
	// Unacked counts the outcomes that no entry has acknowledged.
	Unacked int
}

// Decision says what became of a task that was refused, stopped or cut off, for
// the log.
type Decision struct {
	// Task is what the task is called at the upstream, or else its id.
	Task   string
	Entry  string
	State  string
	Reason task.Reason
	// Waited and Ran are how long it waited here and ran.
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

// CloseReason says why the agent ends a session.
type CloseReason string

// The reasons to end a session.
const (
	CloseReplaced         CloseReason = "replaced by a newer session"
	CloseIncarnationTaken CloseReason = "incarnation belongs to another entry"
	CloseStale            CloseReason = "session number is not newer"
	CloseGap              CloseReason = "update sequence has a gap"
	CloseBadAck           CloseReason = "acknowledgement of a report not sent"
	CloseUnacked          CloseReason = "too many outcomes not acknowledged"
)
