package command

import "github.com/fireflytray/fireflytray/adminapi"

var _ = register("status", "Show the live processes",
	"Lists every process that has announced itself, with its configuration version and, for an agent, its upstream.",
	func(e *Env) any { return &statusCommand{env: e} })

type statusCommand struct {
	env *Env
	adminOptions
	Role string `long:"role" choice:"entry" choice:"agent" choice:"control" description:"Only processes of this role"`
}

// Execute lists the processes.
func (c *statusCommand) Execute([]string) error {
	var reply adminapi.FleetReply
	if err := c.get(c.env, adminapi.PathFleet, "", &reply); err != nil {
		return err
	}
	reply.Processes = filterByRole(reply.Processes, c.Role)
	warnStale(c.env, reply.Fresh)
	return c.env.Print(reply, func() Table { return processTable(&reply) })
}

func filterByRole(processes []adminapi.Process, role string) []adminapi.Process {
	if role == "" {
		return processes
	}
	var matching []adminapi.Process
	for _, p := range processes {
		if p.Role == role {
			matching = append(matching, p)
		}
	}
	return matching
}

func processTable(r *adminapi.FleetReply) Table {
	t := Table{Header: []string{"role", "id", "domain", "address", "version", "service", "slots", "connections", "rack", "draining", "evacuated"}}
	for _, p := range r.Processes {
		row := []string{p.Role, p.ID, p.Domain, p.Addr, itoa(p.Index), orDash(p.Service), "-", "-", orDash(p.Rack), "-", yesNo(p.Evacuated)}
		if p.Service != "" {
			row[6], row[7], row[9] = itoa(p.Slots), itoa(p.Connections), yesNo(p.Draining)
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}
