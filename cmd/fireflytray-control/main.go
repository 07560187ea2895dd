// Command fireflytray-control is the control daemon.
package main

import (
	"context"
	"os"

	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/node"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[settings.Control]{
		Name:    "fireflytray-control",
		Role:    wire.RoleControl,
		Load:    settings.LoadControl,
		Process: func(s *settings.Control) *settings.Process { return &s.Process },
		Run:     run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, rt daemon.Runtime, s *settings.Control) error {
	return node.RunControl(ctx, node.ControlOptions{
		Common:  common(rt, s),
		Peers:   s.Peers,
		Admin:   s.Admin,
		Data:    s.Data,
		Initial: s.Initial,
		Join:    s.Join,
	})
}

func common(rt daemon.Runtime, s *settings.Control) node.Common {
	return node.Common{
		ID:          s.ID,
		Domain:      s.Domain,
		Site:        s.Site,
		DrainWithin: s.DrainTimeout,
		Identity:    rt.Identity,
		Logs:        rt.Logs,
		Scope:       rt.Metrics.Scope(),
		Controls:    s.Initial,
	}
}
