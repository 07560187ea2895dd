package node

import (
	"context"
	"net"
	"time"

	"github.com/fireflytray/fireflytray/controld"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/membership"
	"github.com/fireflytray/fireflytray/wire"
)

// ControlOptions are the settings of a control host.
type ControlOptions struct {
	Common
	// Peers is the UDP host:port to listen on for the system's own processes,
	// Admin the HTTPS host:port for operators. AdminListener is used instead of
	// Admin if not nil.
	Peers         string
	Admin         string
	AdminListener net.Listener
	// Data is the directory of the replicated log.
	Data string
	// Initial lists the peer addresses of the initial control hosts. They form the
	// cluster; Common.Controls are dialled.
	Initial []string
	// Join makes a host with an empty data directory wait until it is added to
	// the cluster.
	Join bool
	// ElectionTimeout is how long a leader may be silent before an election
	// starts.
	ElectionTimeout time.Duration
	// Membership lets the leader change the set of control hosts automatically;
	// nil leaves that to operators.
	Membership *membership.Config
	// LimitsOf is that of controld.Options.
	LimitsOf func(source []byte) []wire.ConfigPair
	// Serve lists functions that serve further interfaces.
	Serve []func(context.Context, *controld.Host) error
}

// RunControl runs a control host until ctx ends.
func RunControl(ctx context.Context, o ControlOptions) error {
	return controld.Run(ctx, controld.Options{
		Self:          o.peer(wire.RoleControl, o.Peers),
		Identity:      o.Identity,
		Listen:        o.Peers,
		Admin:         o.Admin,
		AdminListener: o.AdminListener,
		OpenLog: controld.OpenReplica(controld.ReplicaOptions{
			Dir:     o.Data,
			Addr:    o.Peers,
			Initial: o.Initial,
			Join:    o.Join,

			ElectionTimeout: o.ElectionTimeout,
		}),
		Membership: o.Membership,
		Peers:      o.Controls,
		LimitsOf:   o.LimitsOf,
		Serve:      o.Serve,
		Transport:  o.transport(),
		Log:        o.Logs.For(logging.PartControl),

		PeersChanged: o.ControlsChanged,
	})
}
