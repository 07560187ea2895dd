package command

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/httpapi"
	"github.com/fireflytray/fireflytray/internal/strictjson"
)

var _ = register("entries", "Show the state of entries",
	"Shows the submissions in flight, the queue and the known agents of each entry.",
	func(e *Env) any { return &entriesCommand{env: e} })

type entriesCommand struct {
	env     *Env
	Entries []string      `long:"entry" required:"yes" value-name:"URL" description:"Base URL of an entry; may be repeated"`
	Agents  bool          `long:"agents" description:"Show each entry's agents"`
	Timeout time.Duration `long:"timeout" default:"5s" description:"How long to wait for each entry"`
}

// entryReport is the status of one entry, or the error of the request for it.
type entryReport struct {
	URL    string          `json:"url"`
	Status *httpapi.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Execute prints the status of every entry.
func (c *entriesCommand) Execute([]string) error {
	var reports []entryReport
	unavailable := 0
	for _, url := range c.Entries {
		r := entryReport{URL: url}
		status, err := c.fetch(url)
		if err != nil {
			r.Error = err.Error()
			unavailable++
		} else {
			r.Status = status
		}
		reports = append(reports, r)
	}
	if err := c.env.Print(reports, func() Table { return c.table(reports) }); err != nil {
		return err
	}
	if unavailable > 0 {
		return Exit(ExitUnavailable, "entries: %d of %d returned no status", unavailable, len(reports))
	}
	return nil
}

func (c *entriesCommand) fetch(url string) (*httpapi.Status, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url + "/v1/status")
	if err := callEntry(req, resp, c.Timeout); err != nil {
		return nil, err
	}
	var s httpapi.Status
	if err := strictjson.Unmarshal(resp.Body(), &s); err != nil {
		return nil, fmt.Errorf("decode status of %s: %w", url, err)
	}
	return &s, nil
}

func (c *entriesCommand) table(reports []entryReport) Table {
	if c.Agents {
		return agentTable(reports)
	}
	t := Table{Header: []string{"entry", "domain", "ready", "config", "in flight", "kept", "waiting", "agents", "messages", "wasted", "note"}}
	for _, r := range reports {
		t.Rows = append(t.Rows, r.row())
	}
	return t
}

func (r *entryReport) row() []string {
	if r.Status == nil {
		return []string{r.URL, "", "", "", "", "", "", "", "", "", r.Error}
	}
	s := r.Status
	waiting := 0
	for _, n := range s.Waiting {
		waiting += n
	}
	return []string{
		s.ID, s.Domain, strconv.FormatBool(s.Ready), strconv.FormatUint(s.ConfigIndex, 10),
		strconv.Itoa(s.InFlight), strconv.Itoa(s.Kept), strconv.Itoa(waiting), strconv.Itoa(len(s.Agents)),
		strconv.FormatUint(s.Messages, 10), strconv.FormatUint(s.Wasted, 10), s.NotReadyReason,
	}
}

func agentTable(reports []entryReport) Table {
	t := Table{Header: []string{"entry", "agent", "domain", "service", "connected", "slots", "credit", "own tasks", "others"}}
	for _, r := range reports {
		if r.Status == nil {
			t.Rows = append(t.Rows, []string{r.URL, r.Error, "", "", "", "", "", "", ""})
			continue
		}
		for _, a := range r.Status.Agents {
			t.Rows = append(t.Rows, []string{
				r.Status.ID, a.ID, a.Domain, a.Service, strconv.FormatBool(a.Connected), strconv.Itoa(a.Slots),
				strconv.Itoa(a.Credit), strconv.Itoa(a.Outstanding), strconv.Itoa(a.Others),
			})
		}
	}
	return t
}
