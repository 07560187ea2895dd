// Command fireflytray-agent is the agent daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/agentd"
	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/internal/httpserve"
	"github.com/fireflytray/fireflytray/lease"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/platform"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[settings.Agent]{
		Name:     "fireflytray-agent",
		Role:     wire.RoleAgent,
		Load:     settings.LoadAgent,
		Process:  func(s *settings.Agent) *settings.Process { return &s.Process },
		Controls: controls,
		Run:      run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

// minQueue is the number of tasks that may wait at an agent however small queue-share is.
// It hides the way to the entry and back when a slot falls free.
const minQueue = 1

func run(ctx context.Context, rt daemon.Runtime, s *settings.Agent) error {
	policy, ok := agent.PolicyByName(s.Credit)
	if !ok {
		return fmt.Errorf("unknown credit policy %q", s.Credit)
	}
	rt.SetMemoryTarget(logging.PartAgent, s.MemoryTarget)
	return node.RunAgent(ctx, node.AgentOptions{
		Common:   common(rt, s),
		Peers:    s.Peers,
		Upstream: s.Upstream,
		Rack:     s.Rack,
		Leased:   leasedUpstream(rt, s),
		Agent:    agent.Config{Policy: policy, QueueShare: s.QueueShare, QueueMin: minQueue, OrphanAfter: s.OrphanAfter, Trace: s.LogTasks},
		Offered: task.Resources{
			MilliCPU:     s.Processors * 1000,
			MemoryMB:     s.MemoryMB,
			Accelerators: s.Accelerators,
		},
	})
}

// leasedUpstream configures an upstream that runs on the platform under a lease. It
// returns nil if no heartbeat address is set.
func leasedUpstream(rt daemon.Runtime, s *settings.Agent) *agentd.LeasedOptions {
	if s.Heartbeats == "" {
		return nil
	}
	return &agentd.LeasedOptions{
		Executor: platform.NewRunClient(),
		Config:   lease.Config{Lease: s.Lease},
		Serve: func(ctx context.Context, to *agentd.LeasedRunner) error {
			return platform.ServeUpstreams(ctx, s.Heartbeats, to, rt.Logs.For(logging.PartAgent),
				httpserve.WithGate(rt.Gate(logging.PartAgent, "heartbeats", httpserve.Limits{})))
		},
	}
}

// controls returns the peer addresses of the control hosts that the settings name.
func controls(s *settings.Agent) []string { return settings.ReplacePort(s.Control, s.PeerPort) }

func common(rt daemon.Runtime, s *settings.Agent) node.Common {
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
