package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// evacuationFixture is an agent with three slots and one entry, which has sent it the
// given number of tasks.
func evacuationFixture(tasks uint32) *State {
	s := newTestState(Config{RunsEndWithin: time.Second})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	u := &wire.Update{Seq: 1}
	for i := range tasks {
		u.Tasks = append(u.Tasks, assignmentOf(i, 0))
	}
	s.Step(0, UpdateReceived{Session: 1, Update: u}, nil)
	return s
}

// outcomesIn returns the outcomes of the reports in effs.
func outcomesIn(effs []Effect) map[uint32]task.Outcome {
	out := map[uint32]task.Outcome{}
	for _, eff := range effs {
		if r, ok := eff.(SendReport); ok {
			for _, res := range r.Report.Outcomes {
				out[res.ID.Index] = res.Outcome
			}
		}
	}
	return out
}

func evacuationsIn(effs []Effect) []Evacuation {
	var out []Evacuation
	for _, eff := range effs {
		if e, ok := eff.(Evacuation); ok {
			out = append(out, e)
		}
	}
	return out
}

// An evacuated agent gives its queued tasks and those on the way back as not run, and
// offers nothing; its runs go on to their end. Ends of runs start nothing.
func TestEvacuatedAgentStartsNothing(t *testing.T) {
	s := evacuationFixture(5)
	effs := s.Step(time.Second, ConfigChanged{Index: 7, Evacuated: true}, nil)
	require.Equal(t, []Evacuation{{Active: true, Index: 7, Refused: 2, Running: 3}}, evacuationsIn(effs))
	require.Equal(t, map[uint32]task.Outcome{
		3: {State: task.NotRun, Reason: task.ReasonEvacuated, Where: "agent"},
		4: {State: task.NotRun, Reason: task.ReasonEvacuated, Where: "agent"},
	}, outcomesIn(effs))
	for _, eff := range effs {
		_, stops := eff.(StopRun)
		require.False(t, stops)
		if r, ok := eff.(SendReport); ok {
			require.Zero(t, r.Report.Credit)
			require.Zero(t, r.Report.Slots)
		}
	}
	effs = s.Step(2*time.Second, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Demand: wire.Demand{Waiting: 9}, Tasks: []wire.Assignment{assignmentOf(5, 0)}}}, nil)
	require.Equal(t, task.ReasonEvacuated, outcomesIn(effs)[5].Reason)
	require.Zero(t, startsIn(effs))
	effs = s.Step(2*time.Second, RunEnded{Run: 1, End: EndComplete}, nil)
	require.Equal(t, task.Complete, outcomesIn(effs)[0].State)
	require.Zero(t, startsIn(effs))
	require.Equal(t, uint64(3), s.Stats().Evacuated)
}

// An end of the evacuation needs no restart, and an order that arrives late or twice
// changes nothing.
func TestEvacuationFollowsNewestConfiguration(t *testing.T) {
	s := evacuationFixture(0)
	require.Len(t, evacuationsIn(s.Step(1, ConfigChanged{Index: 7, Evacuated: true}, nil)), 1)
	require.Empty(t, evacuationsIn(s.Step(2, ConfigChanged{Index: 7, Evacuated: true}, nil)))
	require.Empty(t, evacuationsIn(s.Step(3, ConfigChanged{Index: 8, Evacuated: true}, nil)))
	require.Empty(t, evacuationsIn(s.Step(4, ConfigChanged{Index: 6}, nil)), "older")
	require.Zero(t, s.slots())
	effs := s.Step(5, ConfigChanged{Index: 9}, nil)
	require.Equal(t, []Evacuation{{Index: 9}}, evacuationsIn(effs))
	require.Empty(t, evacuationsIn(s.Step(6, ConfigChanged{Index: 8, Evacuated: true}, nil)), "older")
	effs = s.Step(7, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Tasks: []wire.Assignment{assignmentOf(0, 0)}}}, nil)
	require.Equal(t, 1, startsIn(effs))
}

// An agent that restarts in an evacuated failure domain gives back what it has queued
// when its first configuration arrives.
func TestRestartedAgentLearnsOfEvacuation(t *testing.T) {
	s := evacuationFixture(4)
	effs := s.Step(time.Millisecond, ConfigChanged{Index: 7, Evacuated: true}, nil)
	require.Equal(t, task.ReasonEvacuated, outcomesIn(effs)[3].Reason)
	effs = s.Step(time.Second, Announced{testUpstream("b", true)}, nil)
	require.Zero(t, s.slots(), "a new upstream does not end the evacuation")
	require.Zero(t, startsIn(effs))
}

// A start that was not carried out because of the evacuation is not run, and does not
// count against the upstream.
func TestStartGivenUpForEvacuationIsNotRun(t *testing.T) {
	s := evacuationFixture(1)
	s.Step(time.Second, ConfigChanged{Index: 7, Evacuated: true}, nil)
	effs := s.Step(time.Second, RunEnded{Run: 1, End: EndEvacuated}, nil)
	require.Equal(t, task.Outcome{State: task.NotRun, Reason: task.ReasonEvacuated, Where: "agent"}, outcomesIn(effs)[0])
	require.Empty(t, s.health.failedSubmissions)
}

// Jobs whose locks an evacuated agent keeps go on.
func TestEvacuatedAgentKeepsLocks(t *testing.T) {
	s := evacuationFixture(0)
	s.Step(time.Second, ConfigChanged{Index: 7, Evacuated: true}, nil)
	effs := s.Step(time.Second, UpdateReceived{Session: 1, Update: &wire.Update{
		Seq: 2, Acquire: []wire.LockRequest{{Ref: "job", Submission: task.NewSubmissionID(1, 1), Within: time.Minute}},
	}}, nil)
	var answers []wire.LockAnswer
	for _, eff := range effs {
		if r, ok := eff.(SendReport); ok {
			answers = append(answers, r.Report.Locks...)
		}
	}
	require.Equal(t, []wire.LockAnswer{{Ref: "job", Submission: task.NewSubmissionID(1, 1), State: wire.LockGranted}}, answers)
}
