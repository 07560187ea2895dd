// Package control holds the replicated state of the fleet: its configuration
// with history, claims of idempotency keys, and the audit trail. Machine is a
// pure state machine over commands of the replicated log; it reaches no clock,
// random source, goroutine, socket or file.
package control

import (
	"errors"
	"fmt"

	"github.com/fireflytray/fireflytray/wire"
)

//go:generate go tool msgp -file=. -o=control_gen.go -tests=false -io=false
//msgp:ignore Machine AuditFilter
//msgp:limit arrays:262144 maps:16

// Operator says who asks for a change, and from where.
type Operator struct {
	// Name comes from the operator's certificate.
	Name string `msg:"n"`
	// Addr is the address from which the request came.
	Addr string `msg:"a"`
}

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	// At is the proposer's time of day in milliseconds since 1970. The machine
	// takes the highest At of the log so far as its time, so time never goes
	// backwards and is the same on every replica.
	At       int64         `msg:"t"`
	Apply    *Apply        `msg:"a"`
	Rollback *Rollback     `msg:"b"`
	Note     *Note         `msg:"n"`
	Claim    *wire.Claim   `msg:"c"`
	Resolve  *wire.Resolve `msg:"r"`
	Restore  *Restore      `msg:"s"`
	Publish  *Publish      `msg:"p"`
}

// Apply replaces the configuration if the version in force is Base.
type Apply struct {
	// Op is the operation id: a resend with the same id gets the first answer.
	Op string `msg:"o"`
	// Base is the version that the change replaces; zero is the empty one.
	Base uint64   `msg:"b"`
	By   Operator `msg:"w"`
	// Sections are the whole new configuration.
	Sections []wire.ConfigSection `msg:"s"`
}

// Publish replaces the services and routes by those of a document that carries
// a version of its own. The highest version wins: one that is not above the
// version in force is acknowledged and changes nothing.
type Publish struct {
	Version uint64   `msg:"v"`
	By      Operator `msg:"w"`
	// Sections are the document's services and routes.
	Sections []wire.ConfigSection `msg:"s"`
	// Source is the document as it was received, for those who read it back. The
	// limit is that of a command, raft.DefaultMaxCommand.
	Source []byte `msg:"d,limit=524288"`
}

// Rollback makes a new version with the content of version To.
type Rollback struct {
	Op   string   `msg:"o"`
	Base uint64   `msg:"b"`
	By   Operator `msg:"w"`
	To   uint64   `msg:"t"`
}

// Note puts an operator's action that is not a configuration change into the
// audit trail, such as a change of the control hosts.
type Note struct {
	By       Operator `msg:"w"`
	Action   string   `msg:"a"`
	Op       string   `msg:"o"`
	Detail   string   `msg:"d"`
	Accepted bool     `msg:"k"`
	Reason   string   `msg:"r"`
}

// Refusal says why a change was not accepted.
type Refusal string

// The refusals.
const (
	RefusalNone          Refusal = ""
	RefusalConflict      Refusal = "conflict"
	RefusalInvalid       Refusal = "invalid"
	RefusalOpReused      Refusal = "operation_id_reused"
	RefusalNoSuchVersion Refusal = "no_such_version"
	RefusalOpMissing     Refusal = "operation_id_missing"
)

// Reply is the machine's answer to a command.
type Reply struct {
	Change  *ChangeReply     `msg:"c"`
	Claim   *wire.ClaimReply `msg:"k"`
	Restore *RestoreReply    `msg:"s"`
	Publish *PublishReply    `msg:"p"`
	Refusal string           `msg:"e"`
}

// ChangeReply answers Apply and Rollback.
type ChangeReply struct {
	Accepted bool    `msg:"k"`
	Refusal  Refusal `msg:"r"`
	// Detail is one sentence for people.
	Detail string `msg:"d"`
	// Index and Digest are those of the new version if Accepted.
	Index  uint64 `msg:"i"`
	Digest uint64 `msg:"g"`
	// Winner is the version in force that a refused change lost to.
	Winner *VersionInfo `msg:"w"`
	// Resent is set if this is the first answer given again.
	Resent bool `msg:"s"`
}

// PublishReply answers Publish.
type PublishReply struct {
	// Accepted is set for every valid document, also for one that a higher
	// version has overtaken.
	Accepted bool `msg:"k"`
	// Detail says why a document is invalid.
	Detail string `msg:"d"`
	// Newest is the version in force.
	Newest uint64 `msg:"n"`
	// Index is the configuration index in force.
	Index uint64 `msg:"i"`
}

// VersionInfo says which change made a version.
type VersionInfo struct {
	Index  uint64   `msg:"i"`
	Digest uint64   `msg:"g"`
	Base   uint64   `msg:"b"`
	Op     string   `msg:"o"`
	By     Operator `msg:"w"`
	// At is the log's time in milliseconds since 1970.
	At int64 `msg:"t"`
	// Action is "apply" or "rollback to N".
	Action string `msg:"a"`
	// Changed names the sections that differ from the version before.
	Changed []string `msg:"c"`
}

// Encode returns the command as it goes into the log.
func (c *Command) Encode() ([]byte, error) {
	b, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("control: encode command: %w", err)
	}
	return b, nil
}

// errNotOneChange is returned for a command that carries nothing.
var errNotOneChange = errors.New("control: a command must carry exactly one change")

func decodeCommand(b []byte) (*Command, error) {
	c := new(Command)
	rest, err := c.UnmarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("control: decode command: %w", err)
	}
	set := 0
	for _, there := range []bool{c.Apply != nil, c.Rollback != nil, c.Note != nil, c.Claim != nil, c.Resolve != nil, c.Restore != nil, c.Publish != nil} {
		if there {
			set++
		}
	}
	if set != 1 || len(rest) > 0 {
		return nil, errNotOneChange
	}
	return c, nil
}

// DecodeReply reads what Machine.Apply returned.
func DecodeReply(b []byte) (*Reply, error) {
	r := new(Reply)
	if _, err := r.UnmarshalMsg(b); err != nil {
		return nil, fmt.Errorf("control: decode reply: %w", err)
	}
	if r.Refusal != "" {
		return nil, fmt.Errorf("control: the command was not understood: %s", r.Refusal)
	}
	return r, nil
}
