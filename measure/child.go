package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"golang.org/x/sync/errgroup"

	"github.com/fireflytray/fireflytray/entry/placement"
	"github.com/fireflytray/fireflytray/entry/queue"
	"github.com/fireflytray/fireflytray/keys"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/metrics"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/upstream"
	"github.com/fireflytray/fireflytray/wire"
)

const (
	workerMilliCPU = 32_000
	workerMemoryMB = 128_000
	workerConns    = 64
	logLevel       = "warn"
)

// RunProcess runs the process that the file at path describes, until ctx ends.
func RunProcess(ctx context.Context, path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	var spec ProcessSpec
	if err := json.Unmarshal(b, &spec); err != nil {
		return fmt.Errorf("measure: decode %s: %w", path, err)
	}
	identity, err := keys.Load(spec.Keys)
	if err != nil {
		return err
	}
	logs, err := logging.New(os.Stderr, logLevel, logging.FormatText)
	if err != nil {
		return err
	}
	root := metrics.New(string(spec.Role), spec.ID, domain, func(err error) {
		logs.For(logging.PartDaemon).Error("a metric was not registered", "err", err)
	})
	common := node.Common{
		ID: spec.ID, Domain: domain, Site: site, Identity: identity,
		Logs: logs, Scope: root.Scope(), Controls: spec.Controls,
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return root.Serve(ctx, spec.Metrics) })
	g.Go(func() error { return runRole(ctx, &spec, common) })
	return g.Wait()
}

func runRole(ctx context.Context, spec *ProcessSpec, common node.Common) error {
	switch spec.Role {
	case wire.RoleControl:
		return node.RunControl(ctx, node.ControlOptions{
			Common: common, Peers: spec.Peers, Admin: spec.Admin, Data: spec.Data, Initial: spec.Controls,
		})
	case wire.RoleEntry:
		return node.RunEntry(ctx, node.EntryOptions{
			Common: common, Callers: spec.Callers, Policy: placement.Credits{}, Order: queue.LeftOverSlowdown,
		})
	case wire.RoleAgent:
		return runAgent(ctx, spec, common)
	}
	return fmt.Errorf("measure: no process of role %q", spec.Role)
}

// runAgent runs an agent and the stand-in for its upstream.
func runAgent(ctx context.Context, spec *ProcessSpec, common node.Common) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		return node.RunAgent(ctx, node.AgentOptions{
			Common: common, Peers: spec.Peers, Upstream: spec.Upstream,
			Offered: task.Resources{MilliCPU: workerMilliCPU, MemoryMB: workerMemoryMB},
		})
	})
	g.Go(func() error {
		return upstream.Run(ctx, upstream.Options{
			Tasks: loopbackAddr, Agent: spec.Upstream, Service: service,
			Slots: agentSlots, Connections: workerConns, Log: common.Logs.For(logging.PartUpstream),
		})
	})
	return g.Wait()
}
