package agent

import (
	"time"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// SessionID identifies one connection of an entry. The driver never reuses an
// id.
type SessionID uint64

// RunID identifies one attempt to run a task at the upstream.
type RunID uint64

// Event is an input of the reducer.
type Event interface{ event() }

// SessionOpened reports that an entry has connected and sent its Hello.
type SessionOpened struct {
	Session SessionID
	Hello   *wire.Hello
}

// UpdateReceived carries an entry's update.
type UpdateReceived struct {
	Session SessionID
	Update  *wire.Update
}

// SessionClosed reports that a connection has closed.
type SessionClosed struct{ Session SessionID }

// Announced reports that an upstream has announced itself or renewed its lease.
type Announced struct{ Upstream Upstream }

// Left reports that an upstream is leaving and accepts no more tasks.
type Left struct{ Instance string }

// RunEnded reports how an attempt to run a task ended.
type RunEnded struct {
	Run  RunID
	End  End
	Body []byte
	Ran  time.Duration
}

// RunChecked is the result of a CheckRun.
type RunChecked struct {
	Run     RunID
	Verdict Verdict
}

// Probed reports whether the upstream answered a health probe.
type Probed struct {
	Instance string
	OK       bool
}

// Silent reports that the upstream does not answer calls.
type Silent struct {
	Instance string
	// Failed is set if the calls failed at once, as with a refused connection, so that
	// the upstream has answered until a moment ago.
	Failed bool
	// Unstarted lists the runs that the upstream may never have seen, Possible those of
	// them whose starts were sent.
	Unstarted, Possible []RunID
}

// Crashed reports that the process of an upstream has ended without leaving first.
// It precedes the ends of its runs.
type Crashed struct {
	Instance string
	// Unstarted and Possible are those of Silent.
	Unstarted, Possible []RunID
}

// Stalled reports that a run makes no progress although its upstream answers.
type Stalled struct{ Run RunID }

// Usage reports the platform's latest measurement of the worker's resources.
type Usage struct {
	InUse task.Resources
	// Age is the age of the measurement.
	Age time.Duration
}

// ConfigChanged carries what a configuration of the fleet orders for this agent.
type ConfigChanged struct {
	// Index is that of the configuration.
	Index uint64
	// Evacuated is set if the agent's failure domain gets no new work.
	Evacuated bool
}

// Tick reports that the time returned by State.Next has been reached.
type Tick struct{}

// Drain starts a graceful shutdown: no more tasks start, and the agent exits
// once every result is delivered.
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
func (Crashed) event()        {}
func (Stalled) event()        {}
func (Usage) event()          {}
func (ConfigChanged) event()  {}
func (Tick) event()           {}
func (Drain) event()          {}

// Upstream is an upstream's announcement.
type Upstream struct {
	// Instance changes with each restart of the upstream.
	Instance    string
	Service     string
	Addr        string
	Slots       uint32
	Connections uint32
	Offered     task.Resources
	Rack        string
	Lease       time.Duration
	Draining    bool
	// CanStatus is set if the upstream answers status queries about a task.
	CanStatus bool
	// CanStop is set if the upstream can stop a running task.
	CanStop bool
	// Leased is set if each run ends on its own unless its lease is renewed, and
	// its end is always reported. Concurrency is then limited by resources
	// instead of slots.
	Leased bool
	// ColdFor is how much longer the upstream remains slow after its start; zero if
	// it is warm or does not say.
	ColdFor time.Duration
}

// End is how an attempt to run a task ended.
type End uint8

// Values of End. Only EndRefused, EndBusy, EndRejected, EndExpired and EndEvacuated
// guarantee that the upstream did not start the task.
const (
	// EndComplete means that the upstream answered with success.
	EndComplete End = iota + 1
	// EndFailed means that the upstream ran the task and it failed.
	EndFailed
	// EndStopped means that the upstream confirmed the stop of a running task.
	EndStopped
	// EndLost means that the connection failed after the request was partly or
	// fully written.
	EndLost
	// EndRefused means that no connection could be made, or that a leased
	// upstream is unhealthy and starts nothing.
	EndRefused
	// EndBusy means that the upstream rejected the task as busy, without
	// starting it.
	EndBusy
	// EndRejected means that the upstream certainly never started the task, for
	// a reason unrelated to its health or load.
	EndRejected
	// EndCutOff means that the upstream terminated the task before completion,
	// and that the task certainly no longer runs.
	EndCutOff
	// EndExpired means that the start deadline passed before the request was
	// written.
	EndExpired
	// EndEvacuated means that the start was not carried out, and is not repeated
	// because the failure domain is evacuated.
	EndEvacuated
)

// Verdict is the result of a query about a run that has not responded.
type Verdict uint8

// Values of Verdict.
const (
	// VerdictRunning means that the upstream still runs the task, or is healthy
	// but has no status for it.
	VerdictRunning Verdict = iota + 1
	// VerdictMissing means that the upstream does not know the task.
	VerdictMissing
	// VerdictUnreachable means that the upstream did not answer.
	VerdictUnreachable
)
