package metrics

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// The page names every metric that operators are promised.
func TestPageContainsDocumentedMetrics(t *testing.T) {
	root := New("entry", "entry-1", "regina", func(err error) { t.Errorf("register: %v", err) })
	entry := NewEntry(root.Scope())
	entry.OverIdeal.RecordValue(1.2)
	entry.Messages.Inc(4)
	entry.WastedMessages.Inc(2)
	entry.Retries.Inc(1)
	entry.Queue.Update(5)
	entry.Slots.Update(8)
	entry.Answered(task.Complete, task.ReasonNone, 30*time.Millisecond)
	entry.Answered(task.NotRun, task.ReasonQuota, 30*time.Millisecond)
	entry.Answered(task.NotRun, task.ReasonOverload, 30*time.Millisecond)
	entry.Answered(task.Failed, task.ReasonAgentGone, 30*time.Millisecond)
	entry.QueueSeconds.RecordDuration(3 * time.Millisecond)
	entry.RunSeconds.RecordDuration(80 * time.Millisecond)
	entry.Connected.Update(11)
	entry.ConfigIndex.Update(6)
	entry.ConfigAge.Update(12)
	root.CounterFunc("log_dropped_lines_total", "Lines that the log dropped.", func() float64 { return 7 })
	require.NoError(t, root.Close())
	w := httptest.NewRecorder()
	root.Handler().ServeHTTP(w, httptest.NewRequest("GET", Path, nil))
	const tags = `domain="regina",id="entry-1"`
	for _, line := range []string{
		`fireflytray_entry_response_over_ideal_bucket{` + tags,
		`fireflytray_entry_messages{` + tags + `,role="entry"} 4`,
		`fireflytray_entry_wasted_messages{` + tags + `,role="entry"} 2`,
		`fireflytray_entry_retries{` + tags + `,role="entry"} 1`,
		`fireflytray_entry_queue{` + tags + `,role="entry"} 5`,
		`fireflytray_entry_slots{` + tags + `,role="entry"} 8`,
		`fireflytray_entry_refused{` + tags + `,reason="quota",role="entry"} 1`,
		`fireflytray_entry_refused{` + tags + `,reason="overload",role="entry"} 1`,
		`fireflytray_entry_failed{` + tags + `,reason="agent_gone",role="entry"} 1`,
		`fireflytray_entry_answer_seconds_count{` + tags + `,outcome="refused",role="entry"} 2`,
		`fireflytray_entry_answer_seconds_bucket{` + tags + `,outcome="complete",role="entry",le="0.05"} 1`,
		`fireflytray_entry_queue_seconds_count{` + tags + `,role="entry"} 1`,
		`fireflytray_entry_run_seconds_count{` + tags + `,role="entry"} 1`,
		`fireflytray_entry_agents_connected{` + tags + `,role="entry"} 11`,
		`fireflytray_entry_config_index{` + tags + `,role="entry"} 6`,
		`fireflytray_entry_config_age_seconds{` + tags + `,role="entry"} 12`,
		`fireflytray_log_dropped_lines_total{` + tags + `,role="entry"} 7`,
	} {
		require.Contains(t, w.Body.String(), line)
	}
}
