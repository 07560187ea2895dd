package command

import "github.com/fireflytray/fireflytray/adminapi"

var _ = register("evacuations", "List the evacuated failure domains",
	"Shows who evacuated each domain and when, its live processes, and how many processes of the fleet don't know of it yet.",
	func(e *Env) any { return &evacuationsCommand{env: e} })

type evacuationsCommand struct {
	env *Env
	adminOptions
}

// Execute lists the evacuated domains.
func (c *evacuationsCommand) Execute([]string) error {
	var reply adminapi.EvacuationsReply
	if err := c.get(c.env, adminapi.PathEvacuations, "", &reply); err != nil {
		return err
	}
	warnStale(c.env, reply.Fresh)
	return c.env.Print(reply, func() Table {
		t := Table{Header: []string{"domain", "by", "from", "at", "version", "processes", "behind"}}
		for _, e := range reply.Evacuations {
			t.Rows = append(t.Rows, []string{
				e.Domain, e.By, e.From, e.At.Format(timeLayout), itoa(e.Version), itoa(e.Processes), itoa(e.Behind),
			})
		}
		return t
	})
}
