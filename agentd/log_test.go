package agentd

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/lease"
	"github.com/fireflytray/fireflytray/logging"
	"github.com/fireflytray/fireflytray/loop"
	"github.com/fireflytray/fireflytray/task"
)

var testTask = agent.TaskRef{
	Task: "a4ffeeefb5705593.0.0.0", Run: 1, Submission: task.NewSubmissionID(7, 1),
	Entry: "front-1", Incarnation: 7, Instance: "i-1@100",
}

// newLogDaemon returns a daemon that only logs, to what it returns as out.
func newLogDaemon(t testing.TB, trace bool) (d *daemon, out *bytes.Buffer) {
	out = &bytes.Buffer{}
	root, err := logging.New(out, "info", logging.FormatText)
	require.NoError(t, err)
	d = &daemon{
		opts: Options{
			Agent: agent.Config{Trace: trace},
			Log:   root.For(logging.PartAgent), Lines: root.Lines(logging.PartAgent),
		},
		budget: logging.NewBudget(logging.LinesPerSecond),
		meter:  newMeter(tally.NoopScope),
	}
	d.loop = loop.New[agent.Event, agent.Effect](agent.New(d.opts.Self, d.opts.Agent), agent.Tick{}, d.execute)
	return d, out
}

// A flood of starts must not hide how runs ended or that they were stopped.
func TestFloodOfRunsHidesNoOtherLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, out := newLogDaemon(t, true)
		for range 3 * logging.LinesPerSecond {
			d.execute(agent.RunStarted{TaskRef: testTask})
		}
		require.Equal(t, logging.LinesPerSecond, strings.Count(out.String(), "agent: run started"))
		for range 3 * logging.LinesPerSecond {
			d.execute(agent.Decision{TaskRef: testTask, State: task.Complete.String()})
		}
		require.Equal(t, logging.LinesPerSecond, strings.Count(out.String(), "agent: task complete"))
		d.execute(agent.StopOrdered{TaskRef: testTask, Reason: task.ReasonEntryGone, EntrySilent: 800 * time.Millisecond})
		d.execute(agent.Decision{TaskRef: testTask, State: task.Failed.String()})
		d.logStop(lease.StopCall{Task: testTask.Task, Run: 1}, stopUnanswered, time.Millisecond)
		require.Contains(t, out.String(), "reason=entry_gone ran=0s entry-silent=800ms")
		require.Contains(t, out.String(), "agent: task failed")
		require.Contains(t, out.String(), "agent: stop call unanswered")
		require.Contains(t, out.String(), `lines left out kind="run started" count=2000`)
	})
}

// The setting log-tasks turns the lines about tasks off.
func TestLinesAboutTasksCanBeTurnedOff(t *testing.T) {
	d, out := newLogDaemon(t, false)
	d.execute(agent.StopOrdered{TaskRef: testTask})
	d.logStop(lease.StopCall{}, stopUnanswered, 0)
	require.Empty(t, out.String())
}

type stopResults []lease.StopAnswered

// Start and Hold implement Executor.
func (stopResults) Start(lease.StartCall) lease.StartAnswered { return lease.StartAnswered{} }
func (stopResults) Hold(lease.HoldCall) lease.HoldAnswered    { return lease.HoldAnswered{} }

// Stop implements Executor.
func (r *stopResults) Stop(lease.StopCall) lease.StopAnswered {
	a := (*r)[0]
	*r = (*r)[1:]
	return a
}

// A stop that is lost, and one that the upstream refuses, leave their run running and
// must not look like one that was carried out.
func TestStopCallsAreCountedByResult(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMeter(scope)
	m.recordStop(task.ReasonEntryGone)
	var results []string
	executor := stopResults{{Result: lease.StopAccepted}, {Result: lease.StopRefused}, {}}
	r := newLeasedRunner(LeasedOptions{Executor: &executor}, func(agent.Event) bool { return true }, m, nil,
		func(_ lease.StopCall, result string, _ time.Duration) { results = append(results, result) })
	for range 3 {
		r.stopRun(lease.StopCall{})
	}
	require.Equal(t, []string{stopAccepted, stopRefused, stopUnanswered}, results)
	counters := scope.Snapshot().Counters()
	for _, name := range []string{
		"agent.runs_stopped+reason=entry_gone", "agent.stop_calls+result=accepted",
		"agent.stop_calls+result=refused", "agent.stop_calls+result=unanswered",
	} {
		require.EqualValues(t, 1, counters[name].Value(), name)
	}
}

// discard drops all lines after formatting.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

func BenchmarkRunLines(b *testing.B) {
	for name, lines := range map[string]int{"written": math.MaxInt, "left-out": 0} {
		b.Run(name, func(b *testing.B) {
			d, _ := newLogDaemon(b, true)
			root, err := logging.New(discard{}, "info", logging.FormatText)
			require.NoError(b, err)
			d.opts.Lines, d.opts.Log = root.Lines(logging.PartAgent), logging.Discard().For(logging.PartAgent)
			d.budget = logging.NewBudget(lines)
			b.ReportAllocs()
			for b.Loop() {
				d.execute(agent.RunStarted{TaskRef: testTask, Waited: time.Millisecond})
				d.execute(agent.Decision{TaskRef: testTask, State: "complete", Ran: 80 * time.Millisecond})
			}
		})
	}
}
