package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// SessionID names one connection of an entry. The driver never reuses one.
type SessionID uint64

// RunID names one attempt to run a task at the upstream.
type RunID uint64

// Event is something that happened outside the reducer.
type Event interface{ event() }

// SessionOpened says that an entry has connected and sent its Hello.
type SessionOpened struct {
	Session SessionID
	Hello   *wire.Hello
}

// UpdateReceived carries an entry's update.
type UpdateReceived struct {
	Session SessionID
	Update  *wire.Update
}

// SessionClosed says that a connection has ended.
type SessionClosed struct{ Session SessionID }

// Announced says that an upstream has announced itself or renewed its lease.
type Announced struct{ Upstream Upstream }

// Left says that an upstream leaves: it starts nothing more.
type Left struct{ Instance string }

// RunEnded says how an attempt ended.
type RunEnded struct {
	Run  RunID
	End  End
	Body []byte
	Ran  time.Duration
}

// RunChecked is what another connection told about a run that is silent.
type RunChecked struct {
	Run     RunID
	Verdict Verdict
}

// Probed says whether the upstream answered a probe.
type Probed struct {
	Instance string
	OK       bool
}

// Silent says that the upstream answers no calls.
type Silent struct{ Instance string }

// Stalled says that a run makes no progress although its upstream answers.
type Stalled struct{ Run RunID }

// Usage is what the platform measured on the worker some time ago.
type Usage struct {
	InUse task.Resources
	// Age is how long ago the measurement was taken.
	Age time.Duration
}

// Tick says that the time which Next named has come.
type Tick struct{}

// Drain asks to start nothing more and to end once every result is delivered.
type Drain struct{}

func (SessionOpened) event()  {}
func (UpdateReceived) event() {}
func (SessionClosed) event()  {}
func (Announced) event()      {}
func (Left) event()           {}
func (RunEnded) event()       {}
func (RunChecked) event()     {}
func (Probed) event()         {}
func (Silent) event()         {}
func (Stalled) event()        {}
func (Usage) event()          {}
func (Tick) event()           {}
func (Drain) event()          {}

// Upstream is an announcement.
type Upstream struct {
	// Instance differs between two runs of the upstream.
	Instance    string
	Service     string
	Addr        string
	Slots       uint32
	Connections uint32
	Offered     task.Resources
	Rack        string
	Lease       time.Duration
	Draining    bool
	// CanStatus says that the upstream answers questions about a task.
	CanStatus bool
	// CanStop says that the upstream can stop a running task.
	CanStop bool
	// Leased says that runs end by themselves unless they are held, and that
	// the end of each is always learned. Resources bound them, not slots.
	Leased bool
}

// End says how an attempt to run a task ended.
type End uint8

// The ends. Only EndRefused, EndBusy, EndRejected and EndExpired promise
// that the upstream started nothing.
const (
	// EndComplete means that the upstream answered with success.
	EndComplete End = iota + 1
	// EndFailed means that the upstream ran the task and it failed.
	EndFailed
	// EndStopped means that the upstream confirmed the stop of a running task.
	EndStopped
	// EndLost means that the connection failed after the request was written
	// in part or whole.
	EndLost
	// EndRefused means that no connection could be made.
	EndRefused
	// EndBusy means that the upstream refused the task without starting it.
	EndBusy
	// EndRejected means that the upstream surely never started the task, for a
	// reason that says nothing of its health or load.
	EndRejected
	// EndCutOff means that the upstream ended the task before it was done, and
	// that it surely runs no more.
	EndCutOff
	// EndExpired means that the start deadline passed before the request was
	// written.
	EndExpired
)

// Verdict is the answer to a question about a silent run.
type Verdict uint8

// The verdicts.
const (
	// VerdictRunning means that the upstream still runs the task, or can't say
	// but is well.
	VerdictRunning Verdict = iota + 1
	// VerdictMissing means that the upstream knows nothing of the task.
	VerdictMissing
	// VerdictUnreachable means that the upstream did not answer.
	VerdictUnreachable
)
