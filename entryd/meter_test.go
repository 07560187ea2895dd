package entryd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/entry"
	"github.com/fireflytray/fireflytray/task"
)

// Answers are counted by state and reason. Response times are divided by the
// longest run plus the shortest round trip so far. Totals of the state are added
// to the counters as differences.
func TestMetricsOfAnswersAndState(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMeter(scope)
	m.answered(&task.Answer{State: task.Complete, MaxRunTime: 90 * time.Millisecond}, 100*time.Millisecond)
	m.answered(&task.Answer{State: task.Complete, MaxRunTime: 90 * time.Millisecond}, 400*time.Millisecond)
	m.answered(&task.Answer{State: task.Complete, MaxRunTime: 90 * time.Millisecond, Replayed: true}, time.Millisecond)
	m.answered(&task.Answer{State: task.NotRun, Reason: task.ReasonQuota}, time.Millisecond)
	v := entry.View{
		Stats:   entry.Stats{Sent: 5, Received: 4, Retries: 2, Wasted: entry.Waste{Acks: 3}},
		Waiting: map[string]int{"a": 2, "b": 3},
		Agents:  []entry.AgentView{{Credit: 4}, {Credit: 1}},
	}
	m.report(v)
	v.Stats.Sent, v.Stats.Wasted.Late = 10, 1
	m.report(v)

	got := scope.Snapshot()
	for name, want := range map[string]int64{
		"entry.complete+":            3,
		"entry.refused+reason=quota": 1,
		"entry.messages+":            14,
		"entry.wasted_messages+":     4,
		"entry.retries+":             2,
	} {
		require.Equal(t, want, got.Counters()[name].Value(), name)
	}
	require.Equal(t, 5.0, got.Gauges()["entry.queue+"].Value())
	require.Equal(t, 5.0, got.Gauges()["entry.slots+"].Value())
	over := got.Histograms()["entry.response_over_ideal+"].Values()
	require.Equal(t, int64(1), over[1])
	require.Equal(t, int64(1), over[5])
}
