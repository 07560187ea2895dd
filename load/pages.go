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

// CounterChange is how much a message counter of a Prometheus page grew.
type CounterChange struct {
	Endpoint string  `json:"page"`
	Name     string  `json:"name"`
	Change   float64 `json:"change"`
}

type counterKey struct{ endpoint, name string }

// scrapeCounters reads the message counters of every page.
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

// counterChanges returns the counters that grew.
func (c *client) counterChanges(before map[counterKey]float64) ([]CounterChange, error) {
	after, err := c.scrapeCounters()
	if err != nil {
		return nil, err
	}
	var grown []CounterChange
	for k, v := range after {
		if d := v - before[k]; d != 0 {
			grown = append(grown, CounterChange{k.endpoint, k.name, d})
		}
	}
	slices.SortFunc(grown, func(a, b CounterChange) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Name, b.Name))
	})
	return grown, nil
}

func isTrafficCounter(name string) bool {
	return strings.HasPrefix(name, "fireflytray") && namesTraffic(name)
}

func namesTraffic(name string) bool {
	return strings.Contains(name, "message") || strings.Contains(name, "bytes") ||
		strings.Contains(name, "frames") || strings.Contains(name, "wasted")
}

// Journal sums the journals of the stand-in upstreams.
type Journal struct {
	Starts     int `json:"starts"`
	Tasks      int `json:"tasks"`
	Duplicated int `json:"doubled"`
}

// journalEntry is what is read of a start in a journal.
type journalEntry struct {
	ID string `json:"id"`
}

// checkJournals counts the tasks that were started more than once, over all
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

// countStarts counts starts by submission and index, and by attempt too where
// a task that may have run may be sent again.
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
