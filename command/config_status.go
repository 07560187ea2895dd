package command

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/adminapi"
)

// pollInterval is the time between two requests for the status of the sites.
const pollInterval = 200 * time.Millisecond

type configStatus struct {
	env *Env
	adminOptions
}

// Execute shows which processes of each site have the version in force.
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

// waitInForce waits until every reachable process has the version of reply. If
// the timeout expires, the error lists the processes that lack it.
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
	var lagging []string
	for _, site := range status.Sites {
		if len(site.Behind) > 0 {
			lagging = append(lagging, fmt.Sprintf("site %s: %s", site.Site, laggingProcesses(site)))
		}
	}
	if len(lagging) == 0 && err != nil {
		return Exit(ExitUnknown, "version %d is accepted, but it is unknown which processes have it: %w", reply.Index, err)
	}
	return Exit(ExitFailed, "version %d is accepted, but some processes do not have it yet:\n%s", reply.Index, strings.Join(lagging, "\n"))
}
