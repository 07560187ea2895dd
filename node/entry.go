package node

import (
	"context"
	"net"
	"time"

	"github.com/fireflytray/fireflytray/controlclient"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/entryd"
	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/wire"
)

// EntryOptions are the settings of an entry.
type EntryOptions struct {
	Common
	// Callers is the host:port on which the HTTP API of package httpapi
	// listens. Listener is used instead if it is not nil.
	Callers  string
	Listener net.Listener
	HTTP     httpapi.Config
	Policy   placement.Policy
	Order    queue.Order
	// Speeds is that of entry.Options.
	Speeds bool
	// MaxSubmissions and MaxBytes are those of entry.Options.
	MaxSubmissions, MaxBytes int
	// ShedAbove is that of entry.Options.
	ShedAbove time.Duration
	// Quarantine is that of entry.Options.
	Quarantine quarantine.Config
	// DemandFanout is that of entry.Options.
	DemandFanout int
	// Trace enables logging of the decisions about submissions.
	Trace bool
	// KeepaliveInterval and AgentTimeout are those of entry.Options.
	KeepaliveInterval time.Duration
	AgentTimeout      time.Duration
	// Dials is that of entry.Options.
	Dials int
	// HoldUnconfigured is that of entryd.Options.
	HoldUnconfigured time.Duration
	// Serve lists functions that serve further interfaces for callers.
	Serve []func(context.Context, *entryd.Daemon) error
}

// RunEntry runs an entry until ctx ends and the entry has drained.
func RunEntry(ctx context.Context, o EntryOptions) error {
	self := o.peer(wire.RoleEntry, o.Callers)
	if o.Listener != nil {
		self.Addr = o.Listener.Addr().String()
	}
	logger := o.Logs.For(logging.PartEntry)
	var d *entryd.Daemon
	client := controlclient.New(controlclient.Options{
		Controls:    o.Controls,
		Transport:   o.transport(),
		Self:        func() wire.Announce { return wire.Announce{From: self} },
		Site:        o.Site,
		OnDirectory: func(m wire.Directory) { d.OnDirectory(m) },
		OnConfig:    func(c *fleet.Config) { d.OnConfig(c) },
		Log:         logger,

		ControlsChanged: o.ControlsChanged,
	})
	t := o.transport()
	t.Stamp = client.Stamp
	d = entryd.New(entryd.Options{
		Self:              self,
		Callers:           o.Callers,
		Listener:          o.Listener,
		HTTP:              o.HTTP,
		Policy:            o.Policy,
		Order:             o.Order,
		Speeds:            o.Speeds,
		MaxSubmissions:    o.MaxSubmissions,
		MaxBytes:          o.MaxBytes,
		ShedAbove:         o.ShedAbove,
		Quarantine:        o.Quarantine,
		Seed:              self.Incarnation,
		DemandFanout:      o.DemandFanout,
		Trace:             o.Trace,
		KeepaliveInterval: o.KeepaliveInterval,
		AgentTimeout:      o.AgentTimeout,
		Dials:             o.Dials,
		HoldUnconfigured:  o.HoldUnconfigured,
		DrainTimeout:      o.DrainTimeout,
		Serve:             o.Serve,
		Control:           client,
		Transport:         t,
		Log:               logger,
		Lines:             o.Logs.Lines(logging.PartEntry),
		Scope:             o.Scope,
	})
	return withClient(ctx, client, d.Run)
}
