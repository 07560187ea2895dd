package command

import "github.com/fireflytray/fireflytray/adminapi"

type controlList struct {
	env *Env
	adminOptions
}

// Execute lists the control hosts as reported by the first one that answers.
func (c *controlList) Execute([]string) error {
	var reply adminapi.ControlReply
	if err := c.get(c.env, adminapi.PathControl, "", &reply); err != nil {
		return err
	}
	warnStale(c.env, reply.Fresh)
	return printControl(c.env, &reply)
}

func printControl(env *Env, r *adminapi.ControlReply) error {
	return env.Print(r, func() Table {
		t := Table{Header: []string{"replica", "address", "kind", "leader", "answers", "log position", "answered"}}
		for _, m := range r.Members {
			kind := "learner"
			if m.Voter {
				kind = "voter"
			}
			// Only the leader knows the liveness and log position of the others.
			answers, position := "-", "-"
			if r.Leader == r.Replica {
				answers, position = yesNo(m.Live), itoa(m.Match)
			}
			t.Rows = append(t.Rows, []string{m.Replica, m.Addr, kind, yesNo(m.Leader), answers, position, yesNo(m.Replica == r.Replica)})
		}
		if len(r.Members) == 0 {
			t.Rows = append(t.Rows, []string{r.Replica, "-", "waits to be added", "-", "-", "-", "yes"})
		}
		return t
	})
}
