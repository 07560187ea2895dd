package command

import (
	"fmt"
	"strings"

	"github.com/fireflytray/fireflytray/adminapi"
)

type configHistory struct {
	env *Env
	adminOptions
	Limit uint `long:"limit" default:"20" description:"Number of newest versions to list; 0 lists all retained versions"`
}

// Execute lists the versions.
func (c *configHistory) Execute([]string) error {
	var reply adminapi.HistoryReply
	if err := c.get(c.env, adminapi.PathHistory, fmt.Sprintf("limit=%d", c.Limit), &reply); err != nil {
		return err
	}
	warnStale(c.env, reply.Fresh)
	return c.env.Print(reply, func() Table {
		t := Table{Header: []string{"version", "replaces", "at", "by", "action", "operation", "digest", "changed"}}
		for _, v := range reply.Versions {
			t.Rows = append(t.Rows, []string{
				itoa(v.Index), itoa(v.Base), v.At.Format(timeLayout), v.By, v.Action, orDash(v.Op), v.Digest, strings.Join(v.Changed, " "),
			})
		}
		return t
	})
}
