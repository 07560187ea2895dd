package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Event is an input to the state machine.
type Event interface{ event() }

// Submit is a caller's submission. Its ID is never reused.
type Submit struct {
	ID  task.SubmissionID
	Sub task.Submission
	// Unread is how long the request lay in the socket, or was held, before this event.
	// A cancellation of the job meanwhile came later than the submission.
	Unread time.Duration
}

// Cancel requests the end of submissions. Each submission still gets exactly
// one answer.
type Cancel struct {
	IDs []task.SubmissionID
	// Reason is that of the answers; empty means task.ReasonCancelled.
	Reason task.Reason
}

// CancelJob passes on the cancellation of a job that this entry does not hold. One
// JobCancelled with the same Request follows.
type CancelJob struct {
	Request uint64
	Ref     string
}

// DirectoryChanged carries changes of the member directory, or its full list.
type DirectoryChanged struct{ Directory wire.Directory }

// ConfigChanged carries a new configuration.
type ConfigChanged struct{ Config *fleet.Config }

// Connected reports that a session with an agent is open.
type Connected struct {
	Agent   string
	Session uint64
	Welcome *wire.Welcome
}

// Received carries a report from an agent on a session.
type Received struct {
	Agent   string
	Session uint64
	Report  *wire.Report
}

// Disconnected reports that a dial failed or a session ended.
type Disconnected struct {
	Agent   string
	Session uint64
	// HelloUnsent is set if the dial failed before its hello was sent.
	HelloUnsent bool
}

// ClaimReplied is control's reply to a claim.
type ClaimReplied struct{ Reply wire.ClaimReply }

// Drain stops admission. Drained follows when nothing is in flight.
type Drain struct{}

// Tick reports that the time returned by Next has been reached.
type Tick struct{}

func (Submit) event()           {}
func (Cancel) event()           {}
func (CancelJob) event()        {}
func (DirectoryChanged) event() {}
func (ConfigChanged) event()    {}
func (Connected) event()        {}
func (Received) event()         {}
func (Disconnected) event()     {}
func (ClaimReplied) event()     {}
func (Drain) event()            {}
func (Tick) event()             {}

// Effect is an action for the driver to perform.
type Effect interface{ effect() }

// Answer is the final answer to a submission. Each submission gets exactly one.
type Answer struct{ Answer task.Answer }

// JobCancelled answers CancelJob.
type JobCancelled struct {
	Request uint64
	Outcome task.Cancellation
}

// Dial requests a session with an agent, from a new local port. The driver
// sends Hello and posts Connected or Disconnected.
type Dial struct {
	Peer  wire.Peer
	Hello *wire.Hello
	// Service is the last known service of the agent's worker.
	Service string
	// Within bounds the time from the dial to the welcome.
	Within time.Duration
}

// Send sends an update on a session.
type Send struct {
	Agent   string
	Session uint64
	Update  *wire.Update
}

// Expect sets whether reports are expected on a session, so that the driver can
// detect a silent connection in time.
type Expect struct {
	Agent   string
	Session uint64
	On      bool
}

// Hangup closes a session.
type Hangup struct {
	Agent   string
	Session uint64
	Why     string
}

// SendClaim requests an idempotency key from control.
type SendClaim struct{ Claim wire.Claim }

// SendResolve records the outcome of a granted claim.
type SendResolve struct{ Resolve wire.Resolve }

// Drained reports that nothing is in flight after Drain.
type Drained struct{}

func (Answer) effect()       {}
func (JobCancelled) effect() {}
func (Dial) effect()         {}
func (Send) effect()         {}
func (Expect) effect()       {}
func (Hangup) effect()       {}
func (SendClaim) effect()    {}
func (SendResolve) effect()  {}
func (Drained) effect()      {}
