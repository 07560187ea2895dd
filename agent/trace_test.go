package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effs []Effect) []E {
	var out []E
	for _, eff := range effs {
		if e, ok := eff.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

// Without a line for each run, nothing shows that two entries had the same task run at
// two upstreams, as both runs complete.
func TestEachRunIsTracedFromStartToEnd(t *testing.T) {
	s := newTestState(Config{Trace: true, OrphanAfter: 800 * time.Millisecond})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(7, 1)}, nil)
	first, second := assignmentOf(0, 800), assignmentOf(1, 800)
	first.Spec.Name, second.Spec.Name = "job.0.0.0", "job.0.0.1"
	want := TaskRef{Task: "job.0.0.0", Run: 1, Submission: first.ID.Submission, Entry: "entry", Incarnation: 7, Instance: "a"}
	effs := s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{first, second}}}, nil)
	require.Equal(t, []RunStarted{{TaskRef: want, Running: 1, Queued: 1}}, effectsOf[RunStarted](effs))

	effs = s.Step(100*time.Millisecond, RunEnded{Run: 1, End: EndComplete, Ran: 90 * time.Millisecond}, nil)
	ended := effectsOf[Decision](effs)
	require.Len(t, ended, 1)
	require.Equal(t, want, ended[0].TaskRef)
	require.Equal(t, "complete", ended[0].State)
	require.Equal(t, 90*time.Millisecond, ended[0].Ran)
	want.Task = "job.0.0.1"
	require.Equal(t, []RunStarted{{TaskRef: want, Waited: 100 * time.Millisecond, Running: 1}}, effectsOf[RunStarted](effs))

	effs = s.Step(850*time.Millisecond, Tick{}, nil)
	require.Equal(t, []StopOrdered{{
		TaskRef: want, Reason: task.ReasonEntryGone, Ran: 750 * time.Millisecond, EntrySilent: 850 * time.Millisecond,
	}}, effectsOf[StopOrdered](effs))
}

// A pause of the agent restarts the time-outs of its entries, so that runs of a lost
// entry go on for longer.
func TestPauseOfTheAgentIsTraced(t *testing.T) {
	s := newTestState(Config{OrphanAfter: 800 * time.Millisecond})
	s.Step(0, Announced{leasedUpstream(1000)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(7, 1)}, nil)
	s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 1, Tasks: []wire.Assignment{assignmentOf(0, 800)}}}, nil)
	due, ok := s.Next()
	require.True(t, ok)
	require.Empty(t, effectsOf[Paused](s.Step(due, Tick{}, nil)))
	due, ok = s.Next()
	require.True(t, ok)
	effs := s.Step(due+freezeThreshold, Tick{}, nil)
	require.Equal(t, []Paused{{For: freezeThreshold}}, effectsOf[Paused](effs))
}
