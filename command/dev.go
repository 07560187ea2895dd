package command

import (
	"context"
	"fmt"

	"github.com/fireflytray/fireflytray/dev"
	"github.com/fireflytray/fireflytray/logging"
)

var _ = register("dev", "Run a whole fleet in this process",
	"Runs one control host, one entry and two agents with stand-in upstreams on loopback, runs a sample job of 140 tasks and a sample request, and keeps running until it is interrupted. Keys and data are temporary.",
	func(e *Env) any { return &devCommand{env: e} })

type devCommand struct {
	env      *Env
	Once     bool   `long:"once" description:"Exit after the sample; the exit code is 0 only if it completed"`
	LogLevel string `long:"log-level" default:"warn" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"Lowest level that is logged"`
}

// Execute runs the fleet.
func (c *devCommand) Execute([]string) error {
	logs, err := logging.New(c.env.Stderr, c.LogLevel, logging.FormatText)
	if err != nil {
		return err
	}
	f, err := dev.New(logs)
	if err != nil {
		return err
	}
	return f.Run(c.env.Context, func(ctx context.Context) error { return c.sample(ctx, f) })
}

func (c *devCommand) sample(ctx context.Context, f *dev.Fleet) error {
	w := c.env.Stdout
	fmt.Fprintf(w, "callers: %s\nadmin:   https://%s\n", f.EntryURL, f.AdminAddr)
	if err := f.Sample(ctx, w); err != nil {
		return err
	}
	if c.Once {
		return dev.ErrDone
	}
	fmt.Fprintf(w, "The fleet runs until it is interrupted. Service %q, team %q.\n", dev.Service, dev.Team)
	return nil
}
