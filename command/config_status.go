package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/adminapi"
)

// pollInterval is the time between two looks at the sites.
const pollInterval = 200 * time.Millisecond

type configStatus struct {
	env *Env
	adminOptions
}

// Execute shows where the version in force is in force.
func (c *configStatus) Execute([]string) error {
	var status adminapi.ConfigStatus
	if err := c.get(c.env, adminapi.PathStatus, "", &status); err != nil {
		return err
	}
	warnStale(c.env, status.Fresh)
	return c.env.Print(status, func() Table { return siteTable(&status) })
}

func siteTable(s *adminapi.ConfigStatus) Table {
	t := Table{Header: []string{"site", "version", "processes", "in force", "lowest", "behind"}}
	for _, site := range s.Sites {
		t.Rows = append(t.Rows, []string{
			orDash(site.Site), itoa(s.Version.Index), itoa(site.Processes), itoa(site.InForce), itoa(site.Lowest), laggingProcesses(site),
		})
	}
	return t
}

func laggingProcesses(site adminapi.Site) string {
	var names []string
	for _, p := range site.Behind {
		names = append(names, fmt.Sprintf("%s %s at %d", p.Role, p.ID, p.Index))
	}
	return orDash(strings.Join(names, ", "))
}

// waitInForce returns once every reachable process has a version, or with an
// error that names those that don't when the time is over.
func waitInForce(env *Env, o *adminOptions, reply *adminapi.ChangeReply) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(env.Context, o.Timeout)
	defer cancel()
	var status adminapi.ConfigStatus
	for {
		var now adminapi.ConfigStatus
		err = client.Get(ctx, adminapi.PathStatus, fmt.Sprintf("index=%d", reply.Index), &now)
		if err == nil {
			status = now
		}
		if status.Complete && status.Fresh {
			return env.Print(struct {
				adminapi.ChangeReply
				Sites []adminapi.Site `json:"sites"`
			}{*reply, status.Sites}, func() Table { return siteTable(&status) })
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return notInForce(reply, &status, err)
		}
	}
}

func notInForce(reply *adminapi.ChangeReply, status *adminapi.ConfigStatus, err error) error {
	var late []string
	for _, site := range status.Sites {
		if len(site.Behind) > 0 {
			late = append(late, fmt.Sprintf("site %s: %s", site.Site, laggingProcesses(site)))
		}
	}
	if len(late) == 0 && err != nil {
		return Exit(ExitUnknown, "version %d is accepted; where it is in force can't be told: %w", reply.Index, err)
	}
	return Exit(ExitFailed, "version %d is accepted, but not yet in force at\n%s", reply.Index, strings.Join(late, "\n"))
}
