package agentd

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// Control announces the agent to the control hosts.
type Control interface {
	// Announce replaces the agent's previous announcement. It must not block.
	Announce(self wire.Peer, w wire.Worker, leaving bool)
}

// Options configures an agent. Self.ID, Identity, Peers and Upstream are
// required.
type Options struct {
	// Self names the agent. Run generates Incarnation if it is zero and sets Addr
	// if it is empty.
	Self wire.Peer
	// Identity holds the certificate presented to entries.
	Identity *keys.Identity
	// Peers is the UDP host:port for entries, Upstream the HTTP host:port for
	// announcements. Port 0 selects a free port.
	Peers    string
	Upstream string
	// Offered and Rack are the defaults for announcements that omit them.
	Offered task.Resources
	Rack    string
	// Agent configures the reducer.
	Agent agent.Config
	// Leased is set if the upstream's runs are covered by a lease. Upstream is
	// then only logged and passed to Ready.
	Leased *LeasedOptions
	// Control may be nil.
	Control Control
	// Stamp returns the configuration stamp that is sent with each message.
	// OnStamp is called with the first stamp received on a connection and with
	// each change. Both may be nil.
	Stamp   func() wire.Stamp
	OnStamp func(s wire.Stamp)
	// Configure is called once, before the agent listens, with the function that puts
	// a configuration into force. It may be nil.
	Configure func(apply func(*fleet.Config))
	// Ready is called once the agent listens on both addresses.
	Ready func(peers, upstream string)
	Log   *log.Logger
	// Lines writes the lines about tasks; Log does if it is nil.
	Lines logging.LineLogger
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
	if o.Lines == nil {
		o.Lines = o.Log
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// incarnationRandomBits is the number of random low bits of an incarnation.
const incarnationRandomBits = 20

// NewIncarnation returns the current Unix time in milliseconds, shifted left to
// make room for random low bits. A restart thus usually gets a higher number, and
// the random bits keep two starts from getting the same one.
func NewIncarnation() uint64 {
	var b [8]byte
	// Read never fails.
	_, _ = rand.Read(b[:])
	low := binary.BigEndian.Uint64(b[:]) & (1<<incarnationRandomBits - 1)
	return uint64(time.Now().UnixMilli())<<incarnationRandomBits | low
}
