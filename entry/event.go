package entry

import (
	"time"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Event is anything that happens to an entry.
type Event interface{ event() }

// Submit is a caller's submission under an id that is never used again.
type Submit struct {
	ID  task.SubmissionID
	Sub task.Submission
}

// Cancel asks for the end of submissions; each still gets its one answer.
type Cancel struct{ IDs []task.SubmissionID }

// DirectoryChanged carries a difference of the list of members.
type DirectoryChanged struct{ Directory wire.Directory }

// ConfigChanged puts a configuration in force.
type ConfigChanged struct{ Config *fleet.Config }

// Connected says that a session with an agent is open.
type Connected struct {
	Agent   string
	Session uint64
	Welcome *wire.Welcome
}

// Received is a report of an agent on a session.
type Received struct {
	Agent   string
	Session uint64
	Report  *wire.Report
}

// Disconnected says that a dial has failed or a session has ended.
type Disconnected struct {
	Agent   string
	Session uint64
}

// ClaimReplied is control's answer to a claim.
type ClaimReplied struct{ Reply wire.ClaimReply }

// Drain ends the intake; Drained follows when nothing is in flight.
type Drain struct{}

// Tick says that the time given by Next has come.
type Tick struct{}

func (Submit) event()           {}
func (Cancel) event()           {}
func (DirectoryChanged) event() {}
func (ConfigChanged) event()    {}
func (Connected) event()        {}
func (Received) event()         {}
func (Disconnected) event()     {}
func (ClaimReplied) event()     {}
func (Drain) event()            {}
func (Tick) event()             {}

// Effect is something for the driver to carry out.
type Effect interface{ effect() }

// Answer is the final answer to a submission; there is exactly one each.
type Answer struct{ Answer task.Answer }

// Dial asks for a session with an agent, from a new local port. The driver
// sends Hello and posts Connected or Disconnected.
type Dial struct {
	Peer  wire.Peer
	Hello *wire.Hello
	// Within bounds the dial up to the welcome.
	Within time.Duration
}

// Send sends an update on a session.
type Send struct {
	Agent   string
	Session uint64
	Update  *wire.Update
}

// Expect says whether answers are awaited on a session, so that a silent
// connection is found in time.
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

// SendClaim asks control for an idempotency key.
type SendClaim struct{ Claim wire.Claim }

// SendResolve records the outcome of a granted claim.
type SendResolve struct{ Resolve wire.Resolve }

// Drained says that nothing is in flight after Drain.
type Drained struct{}

func (Answer) effect()      {}
func (Dial) effect()        {}
func (Send) effect()        {}
func (Expect) effect()      {}
func (Hangup) effect()      {}
func (SendClaim) effect()   {}
func (SendResolve) effect() {}
func (Drained) effect()     {}
