package entryd

import (
	"bytes"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/task"
)

func answeredDecision(incomplete bool) entry.Decision {
	return entry.Decision{Ref: "a4ffeeefb5705593", Message: "answered", Incomplete: incomplete, Inputs: []any{"submission", task.NewSubmissionID(7, 1), "state", "complete", "reason", ""}}
}

// A flood of routine lines is bounded and does not use up the budget of the lines
// about requests that did not complete.
func TestDecisionLogLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		d := New(Options{Log: log.New(&out)})
		for range 3 * logging.LinesPerSecond {
			d.logDecision(answeredDecision(false), d.loop.Now())
		}
		require.Equal(t, logging.LinesPerSecond, bytes.Count(out.Bytes(), []byte("\n")))
		out.Reset()
		d.logDecision(answeredDecision(true), d.loop.Now())
		require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
	})
}

// A job that is sent again to its entry must be told from one that another entry holds.
func TestJobSentAgainIsLoggedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		scope := tally.NewTestScope("", nil)
		d := New(Options{Log: log.New(&out), Trace: true, Scope: scope})
		sub := task.Submission{Ref: testRef}
		r, isNew := d.jobs.open(0, &sub, task.NewSubmissionID(7, 1), &jobCaller{done: func(task.Answer) {}, stopWatch: func() {}})
		require.True(t, isNew)
		require.Empty(t, out.String())
		time.Sleep(1300 * time.Millisecond)
		d.SubmitJob(draftOf(sub), nil, func(task.Answer) {})
		line := "job sent again job=" + testRef + " at=1.3s submission=" + r.id.String()
		require.Contains(t, out.String(), line+" answered=false first-sent=1.3s")
		d.jobs.close(d.loop.Now(), r, task.Answer{State: task.Complete})
		out.Reset()
		d.SubmitJob(draftOf(sub), nil, func(task.Answer) {})
		require.Contains(t, out.String(), line+" answered=true first-sent=1.3s")
		for _, state := range []string{"in_flight", "answered"} {
			require.EqualValues(t, 1, scope.Snapshot().Counters()["entry.jobs_resent+state="+state].Value(), state)
		}
	})
}

// discard drops all lines after formatting. With io.Discard the logger would skip
// the formatting, and the benchmark would not measure it.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkDecisionLine(b *testing.B) {
	for name, lines := range map[string]int{"written": math.MaxInt, "left-out": 0} {
		b.Run(name, func(b *testing.B) {
			root, err := logging.New(discard{}, "info", logging.FormatText)
			require.NoError(b, err)
			d := New(Options{Log: log.New(discard{}), Lines: root.Lines(logging.PartEntry)})
			d.budget = logging.NewBudget(lines)
			line := answeredDecision(false)
			b.ReportAllocs()
			for b.Loop() {
				d.logDecision(line, d.loop.Now())
			}
		})
	}
}
