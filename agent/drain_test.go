package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

func drainedIn(effs []Effect) bool {
	for _, eff := range effs {
		if _, ok := eff.(Drained); ok {
			return true
		}
	}
	return false
}

// A drain waits for the runs, even beyond AckWithin after its start, and then for
// the acknowledgement of their outcomes.
func TestDrainWaitsForRunsAndAcknowledgements(t *testing.T) {
	s := newTestState(Config{AckWithin: time.Second, DrainTimeout: time.Hour})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	one := []wire.Assignment{{ID: task.ID{Submission: task.NewSubmissionID(1, 1)}, StartWithin: time.Minute}}
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: one}}, nil)
	require.False(t, drainedIn(s.Step(0, Drain{}, nil)))
	require.False(t, drainedIn(s.Step(2*time.Second, Tick{}, nil)), "a task still runs")
	effs := s.Step(2*time.Second, RunEnded{Run: 1, End: EndComplete}, nil)
	require.False(t, drainedIn(effs), "its outcome is not acknowledged")
	seen := effs[len(effs)-1].(SendReport).Report.Seq
	effs = s.Step(2*time.Second, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Ack: seen}}, nil)
	require.True(t, drainedIn(effs))
}

// A task starts only if its need fits both the resources offered and those that
// the last measurement, which may be old, shows as free.
func TestTasksWaitForMeasuredResources(t *testing.T) {
	s := newTestState(Config{})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	s.Step(0, Usage{InUse: task.Resources{MilliCPU: 3500}, Age: time.Second}, nil)
	one := []wire.Assignment{{
		ID:          task.ID{Submission: task.NewSubmissionID(1, 1)},
		Spec:        task.Spec{Need: task.Resources{MilliCPU: 1000}},
		StartWithin: time.Minute,
	}}
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: one}}, nil)
	running, queued := s.Load()
	require.Equal(t, []int{0, 1}, []int{running, queued})
	s.Step(0, Usage{InUse: task.Resources{MilliCPU: 500}}, nil)
	running, queued = s.Load()
	require.Equal(t, []int{1, 0}, []int{running, queued})
}

// A drain must not end while an entry that has not learned of it may still have
// assignments on the way: the end of the session would leave their outcomes unknown.
func TestDrainAwaitsAssignmentsOnTheWay(t *testing.T) {
	s := newTestState(Config{})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	opened := welcomeIn(t, s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)).Report.Seq
	effs := s.Step(time.Second, Drain{}, nil)
	require.False(t, drainedIn(effs), "the entry may still send tasks")
	withdrawn := lastReport(t, effs)
	require.Zero(t, withdrawn.Slots)
	require.Zero(t, withdrawn.Credit)
	one := []wire.Assignment{{ID: task.ID{Submission: task.NewSubmissionID(1, 1)}, StartWithin: time.Minute}}
	effs = s.Step(1100*time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Ack: opened, Tasks: one}}, nil)
	require.False(t, drainedIn(effs), "its outcome is not acknowledged")
	refused := lastReport(t, effs)
	require.Equal(t, task.ReasonDraining, refused.Outcomes[0].Outcome.Reason)
	effs = s.Step(1200*time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Ack: refused.Seq}}, nil)
	require.True(t, drainedIn(effs))
}

// An entry that does not acknowledge a drain delays it by WithdrawWithin at most.
func TestDrainDoesNotAwaitUnresponsiveEntries(t *testing.T) {
	s := newTestState(Config{})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	require.False(t, drainedIn(s.Step(time.Second, Drain{}, nil)))
	at, ok := s.Next()
	require.True(t, ok)
	require.LessOrEqual(t, at, 2*time.Second)
	require.True(t, drainedIn(s.Step(2*time.Second, Tick{}, nil)))
}

// A drain without sessions ends at once.
func TestDrainWithoutSessionsEndsAtOnce(t *testing.T) {
	s := newTestState(Config{})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	require.True(t, drainedIn(s.Step(time.Second, Drain{}, nil)))
}

func lastReport(t *testing.T, effs []Effect) *wire.Report {
	t.Helper()
	for i := len(effs) - 1; i >= 0; i-- {
		if r, ok := effs[i].(SendReport); ok {
			return r.Report
		}
	}
	require.Fail(t, "no report")
	return nil
}
