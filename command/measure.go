package command

import (
	"io"
	"time"

	"github.com/fireflytray/fireflytray/measure"
)

var _ = register("measure", "Measure the slopes behind docs/CAPACITY.md",
	"Measures reducers in this process and a fleet of processes that it starts on loopback, fits straight lines, and "+
		"writes the result and its plots into a folder. Takes a few minutes.",
	func(e *Env) any { return &measureCommand{env: e} })

var _ = register("measure-process", "Run one process of a measurement",
	"Runs the process that a file describes; measure starts it.",
	func(e *Env) any { return &measureProcessCommand{env: e} })

type measureCommand struct {
	env          *Env
	Out          string        `long:"out" required:"yes" value-name:"FOLDER" description:"Folder for the result"`
	Agents       []int         `long:"agents" value-name:"N" description:"Size of the fleet; repeat in rising order (default: 10, 50, 200)"`
	Window       time.Duration `long:"window" default:"10s" description:"How long each point is measured"`
	ReducersOnly bool          `long:"reducers-only" description:"Start no processes"`
	Quiet        bool          `long:"quiet" description:"Show no progress"`
}

// Execute measures.
func (c *measureCommand) Execute([]string) error {
	opts := measure.Options{Out: c.Out, Agents: c.Agents, Window: c.Window, Progress: c.env.Stderr}
	if len(opts.Agents) == 0 {
		opts.Agents = measure.DefaultAgents
	}
	if c.ReducersOnly {
		opts.Agents = nil
	}
	if c.Quiet {
		opts.Progress = io.Discard
	}
	r, err := measure.Run(c.env.Context, opts)
	if err != nil {
		return err
	}
	if c.env.JSON {
		return c.env.printJSON(r)
	}
	return r.WriteText(c.env.Stdout)
}

type measureProcessCommand struct {
	env  *Env
	Spec string `long:"spec" required:"yes" value-name:"FILE" description:"What the process is"`
}

// Execute runs the process until it is told to end.
func (c *measureProcessCommand) Execute([]string) error {
	return measure.RunProcess(c.env.Context, c.Spec)
}
