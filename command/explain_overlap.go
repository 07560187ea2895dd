package command

import (
	"fmt"
	"strings"
	"time"
)

// Lines of agents about runs. The line for the end of a run begins with taskPrefix.
const (
	runStartedText = "run started"
	taskPrefix     = "task "
)

// loggedRun is one run of a task as its agent logged it.
type loggedRun struct {
	task, run, submission, entry, incarnation, instance string
	start, end                                          time.Time
	// ended is false if no line shows the end; end is then that of the history.
	ended bool
}

// loggedRuns returns the runs in a history, in order of their starts.
func loggedRuns(events []event) []*loggedRun {
	var runs []*loggedRun
	open := map[loggedRun]*loggedRun{}
	for i := range events {
		e := &events[i]
		if e.AboutAgent || e.Get("task") == "" {
			continue
		}
		key := loggedRun{
			task: e.Get("task"), run: e.Get("run"), submission: e.Get("submission"),
			entry: e.Get("entry"), incarnation: e.Get("incarnation"), instance: e.Get("instance"),
		}
		switch r := open[key]; {
		case e.Text == runStartedText:
			r := key
			r.start, r.end = e.Time, events[len(events)-1].Time
			open[key] = &r
			runs = append(runs, &r)
		case r != nil && strings.HasPrefix(e.Text, taskPrefix):
			r.end, r.ended = e.Time, true
			delete(open, key)
		}
	}
	return runs
}

// overlaps returns a line for each two runs of one task that overlap. The clocks of
// the hosts that wrote the logs may differ.
func overlaps(events []event) []string {
	var lines []string
	runs := loggedRuns(events)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task != b.task || !b.start.Before(a.end) {
				continue
			}
			end := a.end
			if b.end.Before(end) {
				end = b.end
			}
			lines = append(lines, fmt.Sprintf("two runs at once for %s: %s %s, and %s", end.Sub(b.start), a.task, a, b))
		}
	}
	return lines
}

// String returns where and for whom the run was started.
func (r *loggedRun) String() string {
	s := fmt.Sprintf("run %s on %s from %s incarnation %s", r.run, r.instance, r.entry, r.incarnation)
	if !r.ended {
		s += " (no line of its end)"
	}
	return s
}
