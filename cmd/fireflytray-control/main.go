// Command fireflytray-control is the control daemon.
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
	os.Exit(daemon.Main(daemon.Program[settings.Control]{
		Name:    "fireflytray-control",
		Role:    wire.RoleControl,
		Load:    settings.LoadControl,
		Process: func(s *settings.Control) *settings.Process { return &s.Process },
		Run:     run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(context.Context, daemon.Runtime, *settings.Control) error {
	return errors.New("control: not built into this program yet")
}
