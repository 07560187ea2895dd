package command

import (
	"net/url"
	"strconv"

	"github.com/fireflytray/fireflytray/adminapi"
)

var _ = register("audit", "Show who changed what",
	"Lists the audit trail, oldest first: who, when, from where, what, accepted or refused and why. "+
		"The control host verifies the hash chain of all entries that it keeps; exit code 1 if it is broken.",
	func(e *Env) any { return &auditCommand{env: e} })

type auditCommand struct {
	env *Env
	adminOptions
	Operator string `long:"by" value-name:"OPERATOR" description:"Only this operator's actions"`
	Action   string `long:"action" description:"Only this action, such as 'config apply' or 'control add'"`
	Since    string `long:"since" value-name:"TIME" description:"From this time on (RFC 3339)"`
	Until    string `long:"until" value-name:"TIME" description:"Before this time (RFC 3339)"`
	Outcome  string `long:"outcome" choice:"accepted" choice:"refused" description:"Only accepted or only refused actions"`
	Limit    uint   `long:"limit" default:"50" description:"Newest entries to list; 0 for all that are kept"`
}

func (c *auditCommand) query() string {
	q := url.Values{}
	for name, value := range map[string]string{
		"by": c.Operator, "action": c.Action, "since": c.Since, "until": c.Until, "outcome": c.Outcome,
		"limit": strconv.FormatUint(uint64(c.Limit), 10),
	} {
		if value != "" {
			q.Set(name, value)
		}
	}
	return q.Encode()
}

// Execute lists the entries.
func (c *auditCommand) Execute([]string) error {
	var reply adminapi.AuditReply
	if err := c.get(c.env, adminapi.PathAudit, c.query(), &reply); err != nil {
		return err
	}
	warnStale(c.env, reply.Fresh)
	if err := c.env.Print(reply, func() Table { return auditTable(&reply) }); err != nil {
		return err
	}
	if !reply.Verified {
		return Exit(ExitFailed, "the audit trail was changed: %s", reply.Problem)
	}
	return nil
}

func auditTable(r *adminapi.AuditReply) Table {
	t := Table{Header: []string{"seq", "at", "by", "from", "action", "accepted", "operation", "detail", "reason"}}
	for _, e := range r.Entries {
		t.Rows = append(t.Rows, []string{
			itoa(e.Seq), e.At.Format(timeLayout), orDash(e.By), orDash(e.From), e.Action, yesNo(e.Accepted), orDash(e.Op), e.Detail, orDash(e.Reason),
		})
	}
	return t
}
