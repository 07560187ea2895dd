package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// assign sends one task with a payload on a session.
func assign(s *State, now time.Duration, session SessionID, seq, n uint64, payload int) []Effect {
	one := []wire.Assignment{{
		ID: task.ID{Submission: task.NewSubmissionID(uint64(session), n)}, StartWithin: time.Minute,
		Spec: task.Spec{Payload: make([]byte, payload)},
	}}
	return s.Step(now, UpdateReceived{Session: session, Update: &wire.Update{Seq: seq, Tasks: one, Demand: wire.Demand{Waiting: 5}}}, nil)
}

func boundsReached(effs []Effect) int {
	n := 0
	for _, eff := range effs {
		if _, ok := eff.(BoundReached); ok {
			n++
		}
	}
	return n
}

func creditOf(t *testing.T, effs []Effect, session SessionID) (credit uint32, ok bool) {
	t.Helper()
	for _, eff := range effs {
		if r, isReport := eff.(SendReport); isReport && r.Session == session {
			credit, ok = r.Report.Credit, true
		}
	}
	return credit, ok
}

// The outcomes that entries don't acknowledge were bounded for each entry, so that forty
// entries could make an agent keep forty times as much. The bound over all entries takes
// the credit of each, refuses what is sent all the same as not run, and gives the credit
// back once one of them acknowledges.
func TestHeldBytesAreBoundedOverAllEntries(t *testing.T) {
	const limit = 10_000
	s := newTestState(Config{MaxHeldBytes: limit})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	s.Step(0, SessionOpened{Session: 2, Hello: hello(2, 2)}, nil)

	effs := assign(s, 0, 1, 1, 1, 100)
	require.Zero(t, boundsReached(effs))
	require.Equal(t, 100, s.room.bytes)
	effs = s.Step(0, RunEnded{Run: 1, End: EndComplete, Body: make([]byte, 6000)}, nil)
	told := effs[len(effs)-1].(SendReport).Report.Seq
	require.Equal(t, 6000, s.room.bytes)
	require.Equal(t, 1, boundsReached(effs))

	effs = assign(s, 0, 2, 1, 1, 3000)
	credit, _ := creditOf(t, effs, 2)
	require.Zero(t, credit)
	require.Equal(t, 9000, s.room.bytes)
	effs = assign(s, 0, 2, 2, 2, 3000)
	require.Equal(t, 9000, s.room.bytes)
	require.Equal(t, uint64(1), s.room.refused)
	require.Zero(t, boundsReached(effs), "reported a moment ago")
	var refused []wire.Result
	for now := time.Duration(0); len(refused) == 0; now += 10 * time.Millisecond {
		require.Less(t, now, time.Second)
		for _, eff := range effs {
			if r, isReport := eff.(SendReport); isReport && r.Session == 2 {
				refused = append(refused, r.Report.Outcomes...)
			}
		}
		effs = s.Step(now, Tick{}, nil)
	}
	require.Equal(t, task.NotRun, refused[0].Outcome.State)
	require.Equal(t, task.ReasonBusy, refused[0].Outcome.Reason)

	s.Step(time.Second, UpdateReceived{Session: 1, Update: &wire.Update{Seq: 2, Ack: told}}, nil)
	require.Equal(t, 3000, s.room.bytes)
	effs = s.Step(time.Second, UpdateReceived{Session: 2, Update: &wire.Update{Seq: 3, Demand: wire.Demand{Waiting: 5}}}, nil)
	credit, ok := creditOf(t, effs, 2)
	require.True(t, ok)
	require.Positive(t, credit, "the other entry gets its credit back")
}

// A payload above the bound is taken by an agent that holds nothing: its service may have
// no smaller ones.
func TestSinglePayloadAboveTheBoundIsTaken(t *testing.T) {
	s := newTestState(Config{MaxHeldBytes: 10})
	s.Step(0, Announced{testUpstream("a", true)}, nil)
	s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
	assign(s, 0, 1, 1, 1, 1000)
	require.Len(t, s.running, 1)
	assign(s, 0, 1, 2, 2, 1)
	require.Len(t, s.running, 1)
	require.Equal(t, uint64(1), s.room.refused)
}
