// Command fireflytray-agent is the agent daemon.
package main

import (
	"context"
	"errors"
	"os"

	"github.com/fireflytray/fireflytray/daemon"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/wire"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[settings.Agent]{
		Name:    "fireflytray-agent",
		Role:    wire.RoleAgent,
		Load:    settings.LoadAgent,
		Process: func(s *settings.Agent) *settings.Process { return &s.Process },
		Run:     run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(context.Context, daemon.Runtime, *settings.Agent) error {
	return errors.New("agent: not built into this program yet")
}
