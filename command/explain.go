package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/fireflytray/fireflytray/logging"
)

const (
	// maxExplainLine bounds a line read, in bytes. The programs write at most
	// 4 KiB, and a log collector may add to that.
	maxExplainLine = 64 << 10
	// agentEventLookback is how long before the first line of a request the lines
	// about its agents are included, since they may explain its decisions.
	agentEventLookback = 2 * time.Second
	// maxAgentEvents bounds the lines about agents that are kept in memory.
	maxAgentEvents = 200_000
)

// The log keys whose values identify a request or one of its tasks
// (requestKeys), and an agent (agentKeys).
var (
	requestKeys = []string{"job", "task", "id", "submission", "operation"}
	agentKeys   = []string{"agent", "instance", "upstream"}
)

var _ = register("explain", "Show the history of a request",
	"Reads the logs of any number of processes and prints, in time order, their decisions about one request "+
		"and the lines about its agents meanwhile, then each two runs of one task that overlap. The id is the one of the caller or of the submission.",
	func(e *Env) any { return &explainCommand{env: e} })

type explainCommand struct {
	env *Env

	Args struct {
		ID    string   `positional-arg-name:"ID" description:"Id of the request"`
		Files []string `positional-arg-name:"FILE" description:"Log files; standard input if none or -"`
	} `positional-args:"yes" required:"1"`
}

// Execute reads the logs and prints the history.
func (c *explainCommand) Execute([]string) error {
	if c.Args.ID == "" {
		return Exit(ExitUsage, "explain: the id is empty")
	}
	h := &requestHistory{id: c.Args.ID}
	files := c.Args.Files
	if len(files) == 0 {
		files = []string{"-"}
	}
	for _, name := range files {
		if err := h.readFile(name, len(files) > 1); err != nil {
			return Exit(ExitFailed, "explain: %w", err)
		}
	}
	if len(h.requestEvents) == 0 {
		return Exit(ExitFailed, "explain: none of %d lines of our programs names %s", h.lines, h.id)
	}
	if h.dropped > 0 {
		fmt.Fprintf(c.env.Stderr, "explain: dropped %d lines about agents over the limit\n", h.dropped)
	}
	all := h.sortedEvents()
	if c.env.JSON {
		return c.env.printJSON(all)
	}
	for i := range all {
		fmt.Fprintln(c.env.Stdout, all[i].format(all[0].Time))
	}
	for _, line := range overlaps(all) {
		fmt.Fprintln(c.env.Stdout, line)
	}
	return nil
}

// event is a log line in the history of a request.
type event struct {
	logging.Record
	// AboutAgent marks a line about an agent of the request instead of the
	// request itself.
	AboutAgent bool `json:"belief,omitempty"`
}

// format returns the event as text, with its time relative to start.
func (e *event) format(start time.Time) string {
	var b strings.Builder
	marker := " "
	if e.AboutAgent {
		marker = "~"
	}
	fmt.Fprintf(&b, "%+10.3f ms %s ", float64(e.Time.Sub(start))/float64(time.Millisecond), marker)
	if e.Source != "" {
		fmt.Fprintf(&b, "[%s] ", e.Source)
	}
	fmt.Fprintf(&b, "%s: %s", e.Part, e.Text)
	for _, f := range e.Fields {
		value := f.Value
		if value == "" || strings.ContainsAny(value, " =\"") {
			value = fmt.Sprintf("%q", value)
		}
		fmt.Fprintf(&b, " %s=%s", f.Key, value)
	}
	return b.String()
}

// requestHistory collects the lines about one request.
type requestHistory struct {
	id            string
	requestEvents []event
	agentEvents   []event
	// lines counts the lines written by this module's programs, dropped the lines
	// about agents over maxAgentEvents.
	lines, dropped int
}

func (h *requestHistory) readFile(name string, named bool) error {
	if name == "-" {
		return h.read(os.Stdin, "")
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	source := ""
	if named {
		source = name
	}
	if err := h.read(f, source); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}

// read adds the lines of one log and skips lines of other programs.
func (h *requestHistory) read(from io.Reader, source string) error {
	lines := bufio.NewReaderSize(from, maxExplainLine)
	for {
		line, isPrefix, err := lines.ReadLine()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if r, ok := logging.Parse(string(line)); ok {
			if source != "" {
				r.Source = strings.TrimSpace(source + " " + r.Source)
			}
			h.add(r)
		}
		for isPrefix && err == nil {
			_, isPrefix, err = lines.ReadLine()
		}
	}
}

func (h *requestHistory) add(r logging.Record) {
	h.lines++
	switch aboutThis, any := h.matches(&r); {
	case aboutThis:
		h.requestEvents = append(h.requestEvents, event{Record: r})
	case any || agentOf(&r) == "":
	case len(h.agentEvents) == maxAgentEvents:
		h.dropped++
	default:
		h.agentEvents = append(h.agentEvents, event{Record: r, AboutAgent: true})
	}
}

// matches reports whether a line is about this request, and whether it is about
// any request.
func (h *requestHistory) matches(r *logging.Record) (aboutThis, any bool) {
	for _, key := range requestKeys {
		value := r.Get(key)
		any = any || value != ""
		if value == h.id || strings.HasPrefix(value, h.id+".") {
			return true, true
		}
	}
	return false, any
}

// assignDecisionTimes sets the time of each decision to when it was made. An
// entry logs all decisions about a request together when the request ends. Key
// "at" is the time of a decision on the clock of its entry; the last decision is
// logged when it is made, so its log time relates that clock to real time.
func assignDecisionTimes(events []event) {
	type clock struct {
		at   time.Duration
		time time.Time
	}
	last := map[string]clock{}
	for i := range events {
		e := &events[i]
		if at, err := time.ParseDuration(e.Get("at")); err == nil && at >= last[e.Source].at {
			last[e.Source] = clock{at, e.Time}
		}
	}
	for i := range events {
		e := &events[i]
		if at, err := time.ParseDuration(e.Get("at")); err == nil {
			e.Time = last[e.Source].time.Add(at - last[e.Source].at)
		}
	}
}

func agentOf(r *logging.Record) string {
	for _, key := range agentKeys {
		if value := r.Get(key); value != "" {
			return value
		}
	}
	return ""
}

// sortedEvents returns the history in time order. It includes the lines about
// the agents of the request from agentEventLookback before its first line until
// its last line.
func (h *requestHistory) sortedEvents() []event {
	assignDecisionTimes(h.requestEvents)
	byTime := func(a, b event) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(h.requestEvents, byTime)
	agents := map[string]bool{}
	for i := range h.requestEvents {
		if name := agentOf(&h.requestEvents[i].Record); name != "" {
			agents[name] = true
		}
	}
	from, to := h.requestEvents[0].Time.Add(-agentEventLookback), h.requestEvents[len(h.requestEvents)-1].Time
	all := slices.Clone(h.requestEvents)
	for _, e := range h.agentEvents {
		if agents[agentOf(&e.Record)] && !e.Time.Before(from) && !e.Time.After(to) {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, byTime)
	return all
}
