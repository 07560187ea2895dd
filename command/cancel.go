package command

import (
	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/internal/strictjson"
)

var _ = register("cancel", "Cancel jobs",
	"Asks the entry that accepted the jobs to cancel them; tasks that have not started are not run.",
	func(e *Env) any { return &cancelCommand{env: e} })

type cancelCommand struct {
	env *Env
	entryOptions
	Args struct {
		IDs []string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"yes"`
}

// Execute cancels the jobs.
func (c *cancelCommand) Execute([]string) error {
	body, err := strictjson.Marshal(httpapi.CancelRequest{IDs: c.Args.IDs})
	if err != nil {
		return Exit(ExitUsage, "cancel: %w", err)
	}
	req := c.request(fasthttp.MethodPost, "/v1/cancel")
	defer fasthttp.ReleaseRequest(req)
	req.SetBody(body)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := callEntry(req, resp, c.Timeout); err != nil {
		return err
	}
	var answer httpapi.CancelAnswer
	if err := strictjson.Unmarshal(resp.Body(), &answer); err != nil {
		return Exit(ExitUnknown, "cancel: decode answer of %s: %w", c.Entry, err)
	}
	if err := c.env.Print(answer, func() Table { return cancelTable(answer) }); err != nil {
		return err
	}
	if n := len(answer.NotFound); n > 0 {
		return Exit(ExitFailed, "cancel: %d jobs are not kept at %s for team %s", n, c.Entry, c.Team)
	}
	return nil
}

func cancelTable(a httpapi.CancelAnswer) Table {
	t := Table{Header: []string{"job", "now"}}
	add := func(ids []string, now string) {
		for _, id := range ids {
			t.Rows = append(t.Rows, []string{id, now})
		}
	}
	add(a.Cancelling, "cancelling")
	add(a.Ended, "ended before")
	add(a.NotFound, "not found")
	return t
}
