package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflytray/fireflytray/load/scrape"
	"github.com/fireflytray/fireflytray/load/workload"
)

const pageTimeout = 10 * time.Second

// CounterChange is the change of one traffic counter of a Prometheus endpoint
// during the run.
type CounterChange struct {
	Endpoint string  `json:"page"`
	Name     string  `json:"name"`
	Change   float64 `json:"change"`
}

type counterKey struct{ endpoint, name string }

// scrapeCounters reads the traffic counters of all configured endpoints.
func (c *client) scrapeCounters() (map[counterKey]float64, error) {
	all := map[counterKey]float64{}
	for _, url := range c.opts.Metrics {
		page, err := scrape.Get(c.http, url)
		if err != nil {
			return nil, fmt.Errorf("load: %w", err)
		}
		for name, v := range page.Counters {
			if isTrafficCounter(name) {
				all[counterKey{url, name}] = v
			}
		}
	}
	return all, nil
}

// counterChanges returns the counters that changed since before, sorted by
// endpoint and name.
func (c *client) counterChanges(before map[counterKey]float64) ([]CounterChange, error) {
	after, err := c.scrapeCounters()
	if err != nil {
		return nil, err
	}
	var changed []CounterChange
	for k, v := range after {
		if d := v - before[k]; d != 0 {
			changed = append(changed, CounterChange{k.endpoint, k.name, d})
		}
	}
	slices.SortFunc(changed, func(a, b CounterChange) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Name, b.Name))
	})
	return changed, nil
}

// isTrafficCounter reports whether a counter of this module's programs counts
// messages, frames or bytes.
func isTrafficCounter(name string) bool {
	return strings.HasPrefix(name, "fireflytray") && namesTraffic(name)
}

func namesTraffic(name string) bool {
	return strings.Contains(name, "message") || strings.Contains(name, "bytes") ||
		strings.Contains(name, "frames") || strings.Contains(name, "wasted")
}

// Journal summarizes the task starts recorded by the stand-in upstreams.
type Journal struct {
	Starts     int `json:"starts"`
	Tasks      int `json:"tasks"`
	Duplicated int `json:"doubled"`
}

// journalEntry is the part of a recorded task start that is checked.
type journalEntry struct {
	ID string `json:"id"`
}

// checkJournals counts the tasks that were started more than once across all
// upstreams.
func (c *client) checkJournals() (*Journal, error) {
	if len(c.opts.Upstreams) == 0 {
		return nil, nil
	}
	var all []journalEntry
	for _, u := range c.opts.Upstreams {
		body, err := c.get(u + "/v1/journal")
		if err != nil {
			return nil, err
		}
		var entries []journalEntry
		if err := json.Unmarshal(body, &entries); err != nil {
			return nil, fmt.Errorf("load: journal of upstream %s: %w", u, err)
		}
		all = append(all, entries...)
	}
	mayRetry := c.opts.Load.Kind == workload.Requests && c.opts.Idempotent
	return countStarts(all, mayRetry), nil
}

// countStarts counts the starts of each task. An id has the form
// submission.index.attempt. A second start of a task counts as a duplicate even
// if its attempt number differs, unless mayRetry is set: then a task that may
// have run may be sent again, so only a second start of one attempt counts.
func countStarts(all []journalEntry, mayRetry bool) *Journal {
	j := &Journal{Starts: len(all)}
	starts := map[string]int{}
	for _, e := range all {
		id := e.ID
		if last := strings.LastIndexByte(id, '.'); last >= 0 && !mayRetry {
			id = id[:last]
		}
		starts[id]++
		if starts[id] == 2 {
			j.Duplicated++
		}
	}
	j.Tasks = len(starts)
	return j
}

func (c *client) get(url string) ([]byte, error) {
	status, body, err := c.http.GetTimeout(nil, url, pageTimeout)
	if err != nil {
		return nil, fmt.Errorf("load: get %s: %w", url, err)
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("load: get %s: status %d", url, status)
	}
	return body, nil
}
