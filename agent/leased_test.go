package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

func leasedUpstream(milliCPU uint32) Upstream {
	up := testUpstream("a", true)
	up.Leased, up.Offered = true, task.Resources{MilliCPU: milliCPU}
	return up
}

// assignmentOf is an assignment of task i of a job that needs some processor time.
func assignmentOf(i, milliCPU uint32) wire.Assignment {
	return wire.Assignment{
		ID:          task.ID{Submission: task.NewSubmissionID(1, 1), Index: i},
		Spec:        task.Spec{Need: task.Resources{MilliCPU: milliCPU}},
		StartWithin: time.Minute,
	}
}

func startsIn(effs []Effect) int {
	n := 0
	for _, eff := range effs {
		if _, ok := eff.(StartRun); ok {
			n++
		}
	}
	return n
}

// A leased upstream does not guard its capacity: what is told to stop takes room
// until its end is known, however long that takes.
func TestStoppedRunHoldsResourcesUntilItEnds(t *testing.T) {
	s := newTestState(Config{StopGrace: 10 * time.Millisecond})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	effs := s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 800), assignmentOf(1, 800)}}}, nil)
	require.Equal(t, 1, startsIn(effs))
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Cancel: []task.ID{assignmentOf(0, 0).ID}}}, nil)
	effs = s.Step(time.Second, Tick{}, nil)
	require.Zero(t, startsIn(effs), "the stopped run may still be there")
	effs = s.Step(time.Second, RunEnded{Run: 1, End: EndStopped}, nil)
	require.Equal(t, 1, startsIn(effs))
}

// The callers of an entry that is gone hand their jobs in again elsewhere, where
// they must not meet their own runs.
func TestRunsOfSilentEntryAreStopped(t *testing.T) {
	s := newTestState(Config{OrphanAfter: 800 * time.Millisecond})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 800), assignmentOf(1, 800)}}}, nil)
	heard := 700 * time.Millisecond
	s.Step(heard, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2}}, nil)
	at, ok := s.Next()
	require.True(t, ok)
	require.LessOrEqual(t, at, heard+800*time.Millisecond)
	require.NotContains(t, s.Step(heard+799*time.Millisecond, Tick{}, nil), Effect(StopRun{Run: 1, ID: assignmentOf(0, 0).ID}))
	effs := s.Step(heard+800*time.Millisecond, Tick{}, nil)
	require.Contains(t, effs, Effect(StopRun{Run: 1, ID: assignmentOf(0, 0).ID}))
	_, queued := s.Load()
	require.Zero(t, queued, "what waits is refused")
}

// Credit follows what tasks need, not the upstream's own count of slots.
func TestLeasedUpstreamCreditsByResources(t *testing.T) {
	s := newTestState(Config{Policy: Split{}})
	s.Step(0, Announced{leasedUpstream(64000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 6400)}}}, nil)
	require.Equal(t, 10, s.slots())
}
