package agentd

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Control is where the agent announces itself.
type Control interface {
	// Announce replaces what the control hosts know of the agent. It must not
	// block.
	Announce(self wire.Peer, w wire.Worker, leaving bool)
}

// Options configures an agent. Self.ID, Identity, Peers and Upstream are
// required.
type Options struct {
	// Self names the agent; Run draws Incarnation if it is zero and sets Addr
	// if it is empty.
	Self wire.Peer
	// Identity holds the certificate for entries.
	Identity *keys.Identity
	// Peers is the UDP host:port for entries, Upstream the HTTP host:port for
	// announcements. Port 0 picks one.
	Peers    string
	Upstream string
	// Offered and Rack describe the worker where an announcement does not.
	Offered task.Resources
	Rack    string
	// Agent tunes the reducer.
	Agent agent.Config
	// Leased is set if the upstream's runs live under a lease; Upstream is then
	// only named in logs.
	Leased *LeasedOptions
	// Control may be nil.
	Control Control
	// Stamp and OnStamp handle the configuration index on each message.
	Stamp   func() wire.Stamp
	OnStamp func(s wire.Stamp)
	// Ready is called once both addresses are open.
	Ready func(peers, upstream string)
	Log   *log.Logger
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	o.Self.Role = wire.RoleAgent
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = NewIncarnation()
	}
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// incarnationRandomBits is how many low bits of an incarnation are random.
const incarnationRandomBits = 20

// NewIncarnation draws a number that grows with the time of day, so that a
// restart usually has the higher one, and that two starts never share.
func NewIncarnation() uint64 {
	var b [8]byte
	// Read never fails.
	_, _ = rand.Read(b[:])
	low := binary.BigEndian.Uint64(b[:]) & (1<<incarnationRandomBits - 1)
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | low
}
