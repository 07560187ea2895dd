// Command fireflytray-entry is the entry daemon.
package main

import (
	"context"
	"os"

	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/quarantine"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/entryd"
	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/platform"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[settings.Entry]{
		Name:     "fireflytray-entry",
		Role:     wire.RoleEntry,
		Load:     settings.LoadEntry,
		Process:  func(s *settings.Entry) *settings.Process { return &s.Process },
		Controls: controls,
		Run:      run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, rt daemon.Runtime, s *settings.Entry) error {
	policy, err := placement.Parse(s.Placement)
	if err != nil {
		return err
	}
	order, err := queue.ParseOrder(s.Order)
	if err != nil {
		return err
	}
	rt.SetMemoryTarget(logging.PartEntry, s.MemoryTarget)
	gate := rt.Gate(logging.PartEntry, "clients", httpserve.Limits{Connections: int(s.MaxConnections), BodyBytes: s.MaxReading})
	return node.RunEntry(ctx, node.EntryOptions{
		Common:    common(rt, s),
		Callers:   s.Callers,
		HTTP:      httpapi.Config{MaxBody: s.MaxBody, Gate: gate},
		Policy:    policy,
		Order:     order,
		Speeds:    s.Speeds,
		ShedAbove: s.ShedAbove,

		MaxSubmissions: int(s.MaxSubmissions),
		MaxBytes:       s.MaxBytes,

		Quarantine: quarantine.Config{Share: s.QuarantineShare, Onset: s.CrashOnset},
		Serve:      platformInterfaces(rt, s, gate),

		Trace:             s.LogJobs,
		DemandFanout:      int(s.DemandFanout),
		KeepaliveInterval: s.KeepaliveInterval,
		AgentTimeout:      s.AgentTimeout,
		Dials:             int(s.Dials),
		HoldUnconfigured:  s.HoldUnconfigured,
	})
}

// platformInterfaces returns the servers of the platform interfaces that the
// settings enable. The gate is that of all interfaces for callers.
func platformInterfaces(rt daemon.Runtime, s *settings.Entry, gate *httpserve.Gate) []func(context.Context, *entryd.Daemon) error {
	var list []func(context.Context, *entryd.Daemon) error
	logger := rt.Logs.For(logging.PartEntry)
	if s.Clients != "" {
		list = append(list, func(ctx context.Context, d *entryd.Daemon) error {
			return platform.NewClientServer(d).Serve(ctx, s.Clients, s.DrainTimeout, logger,
				httpserve.WithGate(gate), httpserve.WithRequestLimits(d.RequestLimits))
		})
	}
	if s.Readiness != "" {
		list = append(list, func(ctx context.Context, d *entryd.Daemon) error {
			return platform.ServeReadiness(ctx, s.Readiness, d, logger,
				httpserve.WithGate(rt.Gate(logging.PartEntry, "readiness", httpserve.Limits{})))
		})
	}
	return list
}

// controls returns the peer addresses of the control hosts that the settings name.
func controls(s *settings.Entry) []string { return settings.ReplacePort(s.Control, s.PeerPort) }

func common(rt daemon.Runtime, s *settings.Entry) node.Common {
	return node.Common{
		ID:           s.ID,
		Domain:       s.Domain,
		Site:         s.Site,
		DrainTimeout: s.DrainTimeout,
		PeerTimeout:  s.PeerTimeout,
		Identity:     rt.Identity,
		Logs:         rt.Logs,
		Scope:        rt.Metrics.Scope(),
		Controls:     controls(s),

		ControlsChanged: rt.ControlsChanged,
	}
}
