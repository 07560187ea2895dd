package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// reportedReasons returns the reasons of the outcomes in the reports.
func reportedReasons(effs []Effect) []task.Reason {
	var out []task.Reason
	for _, eff := range effs {
		if r, ok := eff.(SendReport); ok {
			for _, o := range r.Report.Outcomes {
				out = append(out, o.Outcome.Reason)
			}
		}
	}
	return out
}

// A task that is sent while the upstream's capacity shrinks fits other upstreams, and
// this one later. If it were refused as one that never fits, its job would be shown as
// failed.
func TestTaskOfShrunkUpstreamRunsElsewhere(t *testing.T) {
	s := newTestState(Config{})
	s.Step(0, Announced{leasedUpstream(8000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	s.Step(time.Millisecond, Announced{leasedUpstream(500)}, nil)
	effs := s.Step(time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 800)}}}, nil)
	require.Zero(t, startsIn(effs))
	require.Equal(t, []task.Reason{task.ReasonBusy}, reportedReasons(effs))
	effs = s.Step(time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Tasks: []wire.Assignment{assignmentOf(1, 9000)}}}, nil)
	require.Equal(t, []task.Reason{task.ReasonNeverFits}, reportedReasons(effs), "that one never fits here")
}

// A task that waits for resources at an upstream that has shrunk below its need would
// wait until its deadline.
func TestQueuedTaskIsReturnedWhenItsUpstreamShrinks(t *testing.T) {
	s := newTestState(Config{QueueMin: 4})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	effs := s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 800), assignmentOf(1, 800)}}}, nil)
	require.Equal(t, 1, startsIn(effs))
	effs = s.Step(time.Millisecond, Announced{leasedUpstream(500)}, nil)
	require.Equal(t, []task.Reason{task.ReasonBusy}, reportedReasons(effs))
}

// An upstream that does not guard its capacity starts whatever it is told to, also
// while it stops what exceeds a capacity that has shrunk.
func TestNothingStartsBeyondShrunkCapacity(t *testing.T) {
	s := newTestState(Config{QueueMin: 4})
	s.Step(0, Announced{leasedUpstream(2000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	effs := s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{
		assignmentOf(0, 600), assignmentOf(1, 600), assignmentOf(2, 600),
	}}}, nil)
	require.Equal(t, 3, startsIn(effs))
	s.Step(time.Millisecond, Announced{leasedUpstream(1300)}, nil)
	effs = s.Step(time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Cancel: []task.ID{assignmentOf(0, 0).ID}, Tasks: []wire.Assignment{assignmentOf(3, 600)}}}, nil)
	require.Zero(t, startsIn(effs), "the run that is being stopped still counts")
	effs = s.Step(2*time.Millisecond, RunEnded{Run: 1, End: EndStopped}, nil)
	require.Zero(t, startsIn(effs), "1200 of 1300 are in use")
	effs = s.Step(3*time.Millisecond, RunEnded{Run: 2, End: EndComplete}, nil)
	require.Equal(t, 1, startsIn(effs))
	effs = s.Step(4*time.Millisecond, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 3, Tasks: []wire.Assignment{assignmentOf(4, 600)}}}, nil)
	require.Zero(t, startsIn(effs))
	effs = s.Step(5*time.Millisecond, Announced{leasedUpstream(2000)}, nil)
	require.Equal(t, 1, startsIn(effs), "the capacity has grown again")
}
