package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
	"github.com/fireflytray/fireflytray/wire"
)

// An entry that never acknowledges outcomes must not exhaust the agent's memory:
// it first loses its credit and then its session. The outcomes are kept until a
// later session acknowledges them.
func TestUnacknowledgedOutcomesAreBounded(t *testing.T) {
	const limit, body = 8, 1000
	for name, cfg := range map[string]Config{
		"count": {MaxUnacked: limit},
		"bytes": {MaxUnackedBytes: limit * body},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestState(cfg)
			s.Step(0, Announced{testUpstream("a", true)}, nil)
			s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
			ended, closed := 0, false
			for n := uint64(1); n <= 2*limit && !closed; n++ {
				one := []wire.Assignment{{ID: task.ID{Submission: task.NewSubmissionID(1, n)}, StartWithin: time.Minute}}
				effs := s.Step(0, UpdateReceived{Session: 1, Update: &wire.Update{Seq: n, Tasks: one}}, nil)
				for _, eff := range effs {
					if c, ok := eff.(CloseSession); ok {
						require.Equal(t, CloseUnacked, c.Reason)
						closed = true
					}
				}
				if closed {
					break
				}
				ended++
				effs = s.Step(0, RunEnded{Run: RunID(n), End: EndComplete, Body: make([]byte, body)}, nil)
				rep := effs[len(effs)-1].(SendReport).Report
				require.Equal(t, ended < limit/2, rep.Credit > 0, "after %d outcomes", ended)
			}
			require.True(t, closed)
			w := welcomeIn(t, s.Step(0, SessionOpened{Session: 2, Hello: hello(1, 2)}, nil))
			require.Len(t, w.Report.Outcomes, ended)
			s.Step(0, UpdateReceived{Session: 2, Update: &wire.Update{Seq: 1, Ack: w.Report.Seq}}, nil)
			require.Empty(t, s.tasks)
			require.Zero(t, s.entryList[0].unackedBytes)
		})
	}
}

// No policy gives more credit than there are free slots, and Split never gives
// credit for the same slot twice.
func TestCreditIsWithinFreeSlots(t *testing.T) {
	for _, p := range []Policy{Sticky{Factor: 2}, ByRank{}, Split{}, Lend{Keep: 1}} {
		for free := range 9 {
			for who := range 3 {
				for mix := range 64 {
					all := make([]Claimant, 3)
					for i := range all {
						all[i] = Claimant{Waiting: mix >> (2 * i) & 1 * 3, Credit: mix >> (2*i + 1) & 1 * 2, Rank: float64(i)}
					}
					all[who].Credit = 0
					n := p.Credit(free, who, all)
					require.True(t, n >= 0 && n <= free, "%s: %d of %d", p.Name(), n, free)
					if p == (Split{}) && n > 0 {
						require.LessOrEqual(t, n+all[0].Credit+all[1].Credit+all[2].Credit, free)
					}
				}
			}
		}
	}
}
