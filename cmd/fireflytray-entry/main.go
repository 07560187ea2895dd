// Command fireflytray-entry is the entry daemon.
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
	os.Exit(daemon.Main(daemon.Program[settings.Entry]{
		Name:    "fireflytray-entry",
		Role:    wire.RoleEntry,
		Load:    settings.LoadEntry,
		Process: func(s *settings.Entry) *settings.Process { return &s.Process },
		Run:     run,
	}, os.Args[1:], os.Stdout, os.Stderr))
}

func run(context.Context, daemon.Runtime, *settings.Entry) error {
	return errors.New("entry: not built into this program yet")
}
