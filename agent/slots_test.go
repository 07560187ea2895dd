package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/wire"
)

// The number of slots of a leased upstream is estimated from the needs of its tasks.
// Tasks of slightly different needs changed it with nearly each task, and each change
// was reported to all entries and announced to all control hosts.
func TestVaryingEstimateOfSlotsIsNotReported(t *testing.T) {
	const entries, tasks = 20, 120
	s := newTestState(Config{OrphanAfter: testOrphanAfter})
	s.Step(0, Announced{leasedUpstream(10_500)}, nil)
	for i := range uint64(entries) {
		h := hello(i+1, 1)
		h.From.ID += string(rune('a' + i))
		s.Step(0, SessionOpened{Session: SessionID(i + 1), Hello: h}, nil)
	}
	needs := []uint32{930, 1070}
	estimates := map[int]bool{}
	var toOthers, announced int
	for i := range uint32(tasks) {
		now := time.Duration(i+1) * time.Millisecond
		effs := s.Step(now, UpdateReceived{Session: 1, Update: &wire.Update{
			Seq: uint64(i + 1), SentAt: now, Tasks: []wire.Assignment{assignmentOf(i, needs[i/20%2])},
		}}, nil)
		effs = s.Step(now, RunEnded{Run: RunID(i + 1), End: EndComplete}, effs)
		estimates[s.slots()] = true
		for _, eff := range effs {
			switch eff := eff.(type) {
			case SendReport:
				if eff.Session != 1 {
					toOthers++
				}
			case AnnounceWorker:
				announced++
			}
		}
	}
	require.Greater(t, len(estimates), 1, "the estimate has to vary")
	// The first need halves the slots that the upstream has declared.
	require.LessOrEqual(t, toOthers, entries)
	require.LessOrEqual(t, announced, 1)
}

func TestSlotsChanged(t *testing.T) {
	for _, c := range []struct {
		told, slots uint32
		changed     bool
	}{
		{0, 0, false}, {0, 1, true}, {1, 0, true}, {10, 11, false}, {10, 12, true},
		{10, 8, true}, {100, 111, false}, {100, 112, true}, {1, 2, false}, {1, 10, true},
	} {
		require.Equal(t, c.changed, slotsChanged(c.told, c.slots), "%d to %d", c.told, c.slots)
	}
}
