package command

import (
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/settings"
	"github.com/fireflytray/fireflytray/upstream"
)

var _ = register("upstream", "Run a stand-in upstream",
	"Runs a stand-in upstream that announces itself to the agent on its host and runs tasks as sleeps or CPU work, until it is interrupted. POST /v1/fault makes it slow, failing, frozen, silent or leaving; GET /v1/journal lists the tasks that it started.",
	func(e *Env) any { return &upstreamCommand{env: e} })

type upstreamCommand struct {
	env    *Env
	Config string `long:"config" required:"yes" value-name:"FILE" description:"Settings file of this process"`
	Check  bool   `long:"check" description:"Read the settings file, print every error and exit"`
}

// Execute runs the upstream until the command is interrupted.
func (c *upstreamCommand) Execute([]string) error {
	s, err := settings.LoadUpstream(c.Config)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	if c.Check {
		return c.env.Print(checkResult{File: c.Config}, func() Table {
			return Table{Rows: [][]string{{c.Config + ": no errors"}}}
		})
	}
	logs, err := logging.New(c.env.Stderr, s.LogLevel, s.LogFormat)
	if err != nil {
		return err
	}
	return upstream.Run(c.env.Context, upstream.Options{
		Tasks:       s.Tasks,
		Agent:       s.Agent,
		Service:     s.Service,
		Slots:       s.Slots,
		Connections: s.Connections,
		Lease:       s.Lease,
		Work:        s.Work,
		Slowdown:    s.Slowdown,
		FailShare:   s.FailShare,
		Seed:        uint64(s.Seed),
		Journal:     s.Journal,
		Log:         logs.For(logging.PartUpstream),
	})
}

// checkResult is the JSON output of --check for a file without errors.
type checkResult struct {
	File string `json:"file"`
}
