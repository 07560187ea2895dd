// Package control holds the replicated state of the fleet: the configuration and
// its history, the claims of idempotency keys, and the audit trail. Machine is a
// deterministic state machine over the commands of the replicated log; it uses no
// clock, random source, goroutine, socket or file.
package control

import (
	"errors"
	"fmt"

	"github.com/fireflytray/fireflytray/wire"
)

//go:generate go tool msgp -file=. -o=control_gen.go -tests=false -io=false
//msgp:ignore Machine AuditFilter newVersion domainOrders VersionList Usage
//msgp:limit arrays:262144 maps:16

// Operator identifies who requests a change, and from which address.
type Operator struct {
	// Name is the name in the operator's certificate.
	Name string `msg:"n"`
	// Addr is the remote address of the request.
	Addr string `msg:"a"`
}

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	// At is the proposer's wall-clock time in milliseconds since 1970. The
	// machine's time is the highest At in the log so far, so it never goes
	// backwards and is the same on every replica.
	At       int64         `msg:"t"`
	Apply    *Apply        `msg:"a"`
	Rollback *Rollback     `msg:"b"`
	Note     *Note         `msg:"n"`
	Claim    *wire.Claim   `msg:"c"`
	Resolve  *wire.Resolve `msg:"r"`
	Restore  *Restore      `msg:"s"`
	Publish  *Publish      `msg:"p"`
	Evacuate *Evacuate     `msg:"e"`
	Upgrade  *Upgrade      `msg:"u,omitempty"`
}

// Apply replaces the whole configuration if the version in force is Base. Orders for
// failure domains stay in force.
type Apply struct {
	// Op is the operation id. A resend with the same id gets the first reply
	// again.
	Op string `msg:"o"`
	// Base is the version that the change replaces; zero is the empty document.
	Base uint64   `msg:"b"`
	By   Operator `msg:"w"`
	// Sections is the complete new configuration.
	Sections []wire.ConfigSection `msg:"s"`
}

// Publish replaces the services and routes with those of a document that has its
// own version number. The highest version wins: a document whose version is not
// above the published one is acknowledged and changes nothing.
type Publish struct {
	Version uint64   `msg:"v"`
	By      Operator `msg:"w"`
	// Sections are the document's services and routes.
	Sections []wire.ConfigSection `msg:"s"`
	// Source is the document as received, returned to readers unchanged. The limit is
	// MaxSource.
	Source []byte `msg:"d,limit=524288"`
}

// MaxSource bounds Publish.Source, in bytes. It leaves half of the largest command,
// raft.DefaultMaxCommand, for the sections.
const MaxSource = 512 << 10

// Rollback creates a new version with the content of version To if the version in
// force is Base. Orders for failure domains stay in force.
type Rollback struct {
	Op   string   `msg:"o"`
	Base uint64   `msg:"b"`
	By   Operator `msg:"w"`
	To   uint64   `msg:"t"`
}

// Note records in the audit trail an operator's action that is not a
// configuration change, such as a change of the control hosts.
type Note struct {
	By       Operator `msg:"w"`
	Action   string   `msg:"a"`
	Op       string   `msg:"o"`
	Detail   string   `msg:"d"`
	Accepted bool     `msg:"k"`
	Reason   string   `msg:"r"`
}

// Refusal is the reason why a change was refused.
type Refusal string

// The values of Refusal.
const (
	RefusalNone          Refusal = ""
	RefusalConflict      Refusal = "conflict"
	RefusalInvalid       Refusal = "invalid"
	RefusalOpReused      Refusal = "operation_id_reused"
	RefusalNoSuchVersion Refusal = "no_such_version"
	RefusalOpMissing     Refusal = "operation_id_missing"
	RefusalUnknownDomain Refusal = "unknown_domain"
	RefusalSuperseded    Refusal = "superseded"
)

// Reply is the machine's reply to a command.
type Reply struct {
	Change   *ChangeReply     `msg:"c"`
	Claim    *wire.ClaimReply `msg:"k"`
	Restore  *RestoreReply    `msg:"s"`
	Publish  *PublishReply    `msg:"p"`
	Evacuate *EvacuateReply   `msg:"v"`
	Refusal  string           `msg:"e"`
}

// ChangeReply is the reply to Apply and Rollback.
type ChangeReply struct {
	Accepted bool    `msg:"k"`
	Refusal  Refusal `msg:"r"`
	// Detail is a one-sentence explanation for operators.
	Detail string `msg:"d"`
	// Index and Digest identify the new version if Accepted is set.
	Index  uint64 `msg:"i"`
	Digest uint64 `msg:"g"`
	// Winner is the version in force if the change was refused because Base is
	// not that version.
	Winner *VersionInfo `msg:"w"`
	// Resent is set if this repeats the reply to an earlier request with the
	// same operation id.
	Resent bool `msg:"s"`
}

// PublishReply is the reply to Publish.
type PublishReply struct {
	// Accepted is set for every valid document, including one whose version is
	// not above the published one.
	Accepted bool `msg:"k"`
	// Detail describes why the document is invalid.
	Detail string `msg:"d"`
	// Newest is the highest published version.
	Newest uint64 `msg:"n"`
	// Index is the configuration index in force.
	Index uint64 `msg:"i"`
}

// VersionInfo describes the change that created a version.
type VersionInfo struct {
	Index  uint64   `msg:"i"`
	Digest uint64   `msg:"g"`
	Base   uint64   `msg:"b"`
	Op     string   `msg:"o"`
	By     Operator `msg:"w"`
	// At is the machine's time in milliseconds since 1970.
	At int64 `msg:"t"`
	// Action is "apply" or "rollback to N".
	Action string `msg:"a"`
	// Changed lists the sections that differ from the previous version.
	Changed []string `msg:"c"`
}

// Encode returns the command encoded for the log.
func (c *Command) Encode() ([]byte, error) {
	b, err := c.MarshalMsg(nil)
	if err != nil {
		return nil, fmt.Errorf("control: encode command: %w", err)
	}
	return b, nil
}

// errNotOneChange is returned for a command without exactly one change, or with
// trailing bytes.
var errNotOneChange = errors.New("control: a command must carry exactly one change")

func decodeCommand(b []byte) (*Command, error) {
	c := new(Command)
	rest, err := c.UnmarshalMsg(b)
	if err != nil {
		return nil, fmt.Errorf("control: decode command: %w", err)
	}
	set := 0
	for _, present := range []bool{c.Apply != nil, c.Rollback != nil, c.Note != nil, c.Claim != nil, c.Resolve != nil, c.Restore != nil, c.Publish != nil, c.Evacuate != nil, c.Upgrade != nil} {
		if present {
			set++
		}
	}
	if set != 1 || len(rest) > 0 {
		return nil, errNotOneChange
	}
	return c, nil
}

// DecodeReply decodes the result of Machine.Apply.
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
