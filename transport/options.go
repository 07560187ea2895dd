// Package transport carries wire messages between the system's processes. It
// uses one QUIC stream per connection, mutual TLS 1.3 and length-prefixed frames
// of bounded size. A progress deadline ends connections on which the peer no
// longer answers.
package transport

import (
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/wire"
)

// protocol is the ALPN protocol id; its number is the wire version.
var protocol = fmt.Sprintf("fireflytray/%d", wire.Version)

// Defaults of Options.
const (
	DefaultMaxFrame    = 8 << 20  // bytes
	DefaultSendQueue   = 16 << 20 // bytes
	DefaultKeepAlive   = 5 * time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultPeerTimeout = 2 * time.Second
)

// minIdlePeriods is the minimum length of the default idle time-out, in
// keepalive periods.
const minIdlePeriods = 3

// Errors that callers distinguish; every returned error wraps at most one.
var (
	// ErrSilent means that no answers arrive on the connection any more. The
	// peer itself may be healthy: dial again before treating it as failed.
	ErrSilent = errors.New("connection is silent")
	// ErrQueueFull means that the message was not queued.
	ErrQueueFull = errors.New("send queue is full")
	// ErrClosed means that the connection or listener was closed.
	ErrClosed = errors.New("closed")
	// ErrFrameSize means that a frame is larger than the limit or shorter than
	// its header.
	ErrFrameSize = errors.New("frame size out of bounds")
	// ErrVersion means that a frame has another protocol version.
	ErrVersion = errors.New("unknown protocol version")
	// ErrKind means that a frame has an unknown message kind.
	ErrKind = errors.New("unknown message kind")
	// ErrBody means that a frame's body can't be decoded.
	ErrBody = errors.New("malformed message")
)

// Peer is the other end of a connection, as named by its certificate.
type Peer struct {
	keys.Name
	// Addr is the remote host:port.
	Addr string
}

// String returns the peer's role, id and address.
func (p Peer) String() string { return fmt.Sprintf("%s %s %s", p.Role, p.ID, p.Addr) }

// Options configures listeners and connections. Identity is required.
type Options struct {
	Identity *keys.Identity
	// Accept lists the roles that may dial a listener.
	Accept []wire.Role
	// Stamp returns the stamp of the configuration in force; if nil, zero stamps
	// are sent.
	Stamp func() wire.Stamp
	// OnStamp is called for the first stamp received on a connection and for
	// each change of it.
	OnStamp func(peer Peer, s wire.Stamp)
	// MaxFrame bounds a frame, in bytes.
	MaxFrame int
	// SendQueue bounds the bytes that wait to be written on a connection.
	SendQueue int
	// KeepAlive is how long a dialled connection may be without incoming frames
	// before it is probed.
	KeepAlive time.Duration
	// IdleTimeout is the time without any incoming packet after which a
	// connection ends.
	IdleTimeout time.Duration
	// PeerTimeout is how long an expected answer may take before the connection is
	// considered silent; if packets still arrive, stallFactor times as long. It
	// also bounds the handshake. Processes take it from the settings key
	// "silence".
	PeerTimeout time.Duration
	// Scope counts messages and bytes by kind; nil counts nothing.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrame, DefaultMaxFrame)
	setDefault(&o.SendQueue, DefaultSendQueue)
	setDefault(&o.KeepAlive, DefaultKeepAlive)
	setDefault(&o.IdleTimeout, max(DefaultIdleTimeout, minIdlePeriods*o.KeepAlive))
	setDefault(&o.PeerTimeout, DefaultPeerTimeout)
	if o.Stamp == nil {
		o.Stamp = func() wire.Stamp { return wire.Stamp{} }
	}
	if o.OnStamp == nil {
		o.OnStamp = func(Peer, wire.Stamp) {}
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  o.PeerTimeout,
		MaxIdleTimeout:        o.IdleTimeout,
		MaxIncomingStreams:    1,
		MaxIncomingUniStreams: -1,
		// The probes cost a connection about 8 packets and 6 kB in each
		// direction. Few messages are longer than a packet.
		DisablePathMTUDiscovery: true,
	}
}
