package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/fireflytray/fireflytray/task"
)

// Outcome is the final state of a submission with its reason.
type Outcome struct {
	State  string      `json:"state"`
	Reason task.Reason `json:"reason,omitempty"`
}

// Count is the number of submissions with the same outcome.
type Count struct {
	Outcome
	Count int `json:"count"`
	// Example is the detail text of the first of these submissions.
	Example string `json:"example,omitempty"`
}

// Quantiles summarize response times divided by the ideal response time.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p999"`
	Max   float64 `json:"max"`
}

// Latency summarizes response times in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// TeamResult is the result of one team's submissions.
type TeamResult struct {
	Team     string    `json:"team"`
	Sent     int       `json:"sent"`
	Complete int       `json:"complete"`
	Slowdown Quantiles `json:"over_ideal"`
}

// Point is one second of the time line. Submissions are assigned to it by their
// intended send time.
type Point struct {
	Second int     `json:"second"`
	Sent   int     `json:"sent"`
	Failed int     `json:"failed"`
	P50    float64 `json:"p50"`
	P99    float64 `json:"p99"`
	Max    float64 `json:"max"`
}

// Result is the measurements of one run.
type Result struct {
	Seed uint64  `json:"seed"`
	Kind string  `json:"kind"`
	Rate float64 `json:"rate"`
	// Length is how long submissions were sent; it excludes the drain period.
	Length      time.Duration `json:"length_ns"`
	RoundTrip   time.Duration `json:"round_trip_ns"`
	Submissions int           `json:"submissions"`
	Tasks       int           `json:"tasks"`
	// TasksDone counts the tasks of complete submissions.
	TasksDone int          `json:"tasks_done"`
	Counts    []Count      `json:"counts"`
	Slowdown  Quantiles    `json:"over_ideal"`
	Latency   Latency      `json:"latency"`
	Teams     []TeamResult `json:"teams"`
	// Messages and Wasted are totals of the counts reported in the answers.
	Messages        uint64  `json:"messages"`
	Wasted          uint64  `json:"wasted"`
	MessagesPerTask float64 `json:"messages_per_task"`
	WastedPerTask   float64 `json:"wasted_per_task"`
	// InvalidAnswers counts answers that were lost, incomplete or not the
	// caller's own. Faults describes the first ones.
	InvalidAnswers int             `json:"not_clean"`
	Faults         []string        `json:"faults,omitempty"`
	TimeLine       []Point         `json:"time_line"`
	Journal        *Journal        `json:"journal,omitempty"`
	CounterChanges []CounterChange `json:"pages,omitempty"`
}

// Verify returns ErrInvalidAnswers if an answer was lost or invalid, or if a task
// was started more than once.
func (r *Result) Verify() error {
	if r.InvalidAnswers > 0 || r.Journal != nil && r.Journal.Duplicated > 0 {
		return ErrInvalidAnswers
	}
	return nil
}

func (st *stats) result() *Result {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := &Result{
		Seed: st.opts.Load.Seed, Kind: string(st.opts.Load.Kind), Rate: st.opts.Load.Rate,
		Length: st.sendDuration, RoundTrip: st.opts.RoundTrip,
		Submissions: st.total, Tasks: st.tasks, TasksDone: st.tasksDone,
		Slowdown: st.slowdowns.quantiles(), Messages: st.messages, Wasted: st.wasted,
		InvalidAnswers: st.invalid, Faults: st.faults,
	}
	ms := func(p float64) float64 { return float64(st.latency.ValueAtPercentile(p)) / 1000 }
	r.Latency = Latency{P50: ms(50), P99: ms(99), P999: ms(99.9), Max: float64(st.latency.Max()) / 1000}
	if st.tasks > 0 {
		r.MessagesPerTask = float64(st.messages) / float64(st.tasks)
		r.WastedPerTask = float64(st.wasted) / float64(st.tasks)
	}
	for o, n := range st.counts {
		r.Counts = append(r.Counts, Count{o, n, st.examples[o]})
	}
	slices.SortFunc(r.Counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(a.Reason, b.Reason))
	})
	for _, name := range slices.Sorted(maps.Keys(st.teams)) {
		t := st.teams[name]
		r.Teams = append(r.Teams, TeamResult{name, t.sent, t.complete, t.slowdowns.quantiles()})
	}
	for i := range st.seconds {
		r.TimeLine = append(r.TimeLine, st.seconds[i].point(i))
	}
	return r
}

const columnGap = 2

// The entries' message counters, by their Prometheus names.
const (
	entryMessages = "fireflytray_entry_messages"
	entryWasted   = "fireflytray_entry_wasted_messages"
)

// WriteText writes a human-readable report.
func (r *Result) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintf(w, "load\t%s, seed %d, %.2f submissions/s for %.1f s, round trip %v\n",
		r.Kind, r.Seed, r.Rate, r.Length.Seconds(), r.RoundTrip)
	fmt.Fprintf(w, "submissions\t%d with %d tasks (%.1f tasks/s)\n",
		r.Submissions, r.Tasks, float64(r.Tasks)/max(r.Length.Seconds(), 1e-9))
	for _, c := range r.Counts {
		fmt.Fprintf(w, "  %s %s\t%d  %s\n", c.State, c.Reason, c.Count, c.Example)
	}
	fmt.Fprintf(w, "over ideal\t%s\n", r.Slowdown)
	fmt.Fprintf(w, "response time\tp50 %.1f ms  p99 %.1f ms  p99.9 %.1f ms  max %.1f ms\n",
		r.Latency.P50, r.Latency.P99, r.Latency.P999, r.Latency.Max)
	fmt.Fprintf(w, "messages a task\t%.3f, wasted %.4f, as reported in the answers: a message that carries several tasks counts for each\n",
		r.MessagesPerTask, r.WastedPerTask)
	for _, t := range r.Teams {
		fmt.Fprintf(w, "team %s\t%d sent, %d complete, over ideal %s\n", t.Team, t.Sent, t.Complete, t.Slowdown)
	}
	for _, p := range r.CounterChanges {
		fmt.Fprintf(w, "%s\t%s +%.0f\n", p.Endpoint, p.Name, p.Change)
	}
	r.writeEntries(w)
	r.writeFaults(w)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("load: write result: %w", err)
	}
	return nil
}

// writeEntries writes the sums of the entries' message counters, if any were
// scraped.
func (r *Result) writeEntries(w io.Writer) {
	var messages, wasted float64
	for _, p := range r.CounterChanges {
		switch p.Name {
		case entryMessages:
			messages += p.Change
		case entryWasted:
			wasted += p.Change
		}
	}
	if messages == 0 || r.TasksDone == 0 {
		return
	}
	fmt.Fprintf(w, "entries\t%.3f messages a task, %.2f%% of them wasted\n", messages/float64(r.TasksDone), 100*wasted/messages)
}

func (r *Result) writeFaults(w io.Writer) {
	if r.Journal != nil {
		fmt.Fprintf(w, "journals\t%d starts of %d tasks, %d tasks started more than once\n",
			r.Journal.Starts, r.Journal.Tasks, r.Journal.Duplicated)
	}
	fmt.Fprintf(w, "lost or invalid\t%d answers\n", r.InvalidAnswers)
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  \t%s\n", f)
	}
}

// String formats the quantiles as one line.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.3f  p90 %.3f  p99 %.3f  p99.9 %.3f  max %.3f", q.P50, q.P90, q.P99, q.P999, q.Max)
}
