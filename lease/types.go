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

// Announced says that the upstream has announced itself. Its Instance names one
// life of its process.
type Announced struct {
	Upstream agent.Upstream
	// ID is what the process is called over its lives.
	ID string
	// Born orders the lives of the processes at this agent; Seq orders the
	// announcements of one life. A late announcement changes nothing.
	Born uint64
	Seq  uint64
}

// Left says that the upstream has ended in good order.
type Left struct{ ID string }

// Start asks for a run.
type Start struct{ Run agent.StartRun }

// Stop asks for the end of a run.
type Stop struct{ Run agent.RunID }

// Probe asks whether the upstream answers.
type Probe struct{ Instance string }

// Tick says that the time which Next named has come.
type Tick struct{}

// CallID names one call to the upstream.
type CallID uint64

// StartAnswered is what became of a StartCall.
type StartAnswered struct {
	Call   CallID
	Result StartResult
	// Clock is the upstream's clock; zero if the answer had none.
	Clock time.Duration
}

// StopAnswered is what became of a StopCall; OK says that it was answered.
type StopAnswered struct {
	Call CallID
	OK   bool
}

// HoldAnswered is what became of a HoldCall.
type HoldAnswered struct {
	Call   CallID
	Result HoldResult
	View   View
}

func (Announced) event()     {}
func (Left) event()          {}
func (Start) event()         {}
func (Stop) event()          {}
func (Probe) event()         {}
func (Tick) event()          {}
func (StartAnswered) event() {}
func (StopAnswered) event()  {}
func (HoldAnswered) event()  {}

// Target names the process to which a call goes.
type Target struct {
	// Addr is the host:port, Instance the life of the process that is meant.
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

// HoldCall renews the lease of all runs, acknowledges ends up to Seen and asks
// for the lists.
type HoldCall struct {
	Call   CallID
	Target Target
	AckSeq uint64
	// Until is the end of the lease on the upstream's clock; zero renews
	// nothing.
	Until time.Duration
	Fence uint64
	// Wait is how long the answer may wait for an end, Within how long it may
	// take beyond that.
	Wait          time.Duration
	AnswerTimeout time.Duration
}

// Notify hands an event to the agent's reducer.
type Notify struct{ Event agent.Event }

// LogLine is a line for the log about a changed belief.
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
	// carried out, or may still be.
	StartLost StartResult = iota
	// StartAccepted means that the run is there.
	StartAccepted
	// StartFenced means that the token was lower than one seen before.
	StartFenced
	// StartStale means that a run of the same number or a higher one has been
	// there.
	StartStale
	// StartNoCapacity means that the upstream has no room.
	StartNoCapacity
	// StartExpired means that the lease was over before the start arrived.
	StartExpired
	// StartUnhealthy means that the upstream refuses to start anything.
	StartUnhealthy
	// StartInvalid means that the upstream can't read the start.
	StartInvalid
	// StartWrongInstance means that another life of the process answered.
	StartWrongInstance
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
	// HoldWrongInstance means that another life of the process answered.
	HoldWrongInstance
)

// View is what an upstream says of its runs.
type View struct {
	// Clock is the upstream's clock.
	Clock   time.Duration
	Running []Running
	// Ended lists ends above the acknowledged ones, the oldest first; there may
	// be more.
	Ended []Ended
}

// Running is one run in progress.
type Running struct {
	Task string
	Run  uint32
	// Percent is how far the work has come.
	Percent int
}

// Ended is one run that has ended.
type Ended struct {
	// Seq numbers the ends of one life from 1.
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
	// EndGroupFailed means that the run ended as others of its group did or were
	// missing.
	EndGroupFailed
)

// runKey names a run at the upstream.
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
