package command

import "github.com/fireflytray/fireflytray/adminapi"

var _ = register("evacuate", "Send no new work to a failure domain",
	"Evacuates a failure domain until take-back. Tasks that run there go on to their end; what waits is placed elsewhere.",
	func(e *Env) any { return &evacuateCommand{env: e} })

type evacuateCommand struct {
	env *Env
	domainOptions
}

// Execute evacuates the domain.
func (c *evacuateCommand) Execute([]string) error { return c.order(c.env, true) }

// domainOptions are the options of commands that give an order for a failure domain.
type domainOptions struct {
	adminOptions
	Wait bool `long:"wait" description:"Wait until every reachable process knows of the order; on timeout, list those that don't"`
	Args struct {
		Domain string `positional-arg-name:"domain" required:"yes" description:"Failure domain, as in the settings of its processes"`
	} `positional-args:"yes" required:"yes"`
}

// order gives the order and prints the answer.
func (o *domainOptions) order(env *Env, evacuated bool) error {
	var reply adminapi.EvacuationReply
	req := adminapi.EvacuationRequest{Domain: o.Args.Domain, Evacuated: evacuated}
	if err := o.send(env, adminapi.PathEvacuations, req, &reply); err != nil {
		return err
	}
	if o.Wait {
		return waitInForce(env, &o.adminOptions, &adminapi.ChangeReply{Accepted: true, Detail: reply.Detail, Index: reply.Index})
	}
	return env.Print(reply, func() Table {
		return Table{Header: []string{"domain", "evacuated", "version", "detail"}, Rows: [][]string{{
			reply.Domain, yesNo(reply.Evacuated), itoa(reply.Index), reply.Detail,
		}}}
	})
}
