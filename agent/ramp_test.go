package agent

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/wire"
)

// The share grows from step to step, without a step back, to all slots at the end,
// and each step but the last is announced by nextStep.
func TestRampGrowsInSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "from"))
		length := time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Minute)).Draw(t, "length"))
		slots := rapid.IntRange(1, 200).Draw(t, "slots")
		var r ramp
		r.setRemaining(from, length)
		last, now, steps := 0, from, 0
		for {
			n := r.limit(now, slots)
			require.GreaterOrEqual(t, n, max(last, 1))
			require.LessOrEqual(t, n, slots)
			last = n
			at, ok := r.nextStep(now)
			if !ok {
				break
			}
			require.Greater(t, at, now)
			require.Equal(t, n, r.limit(at-2, slots), "the share is constant between steps")
			now = at
			steps++
		}
		require.Equal(t, slots, last)
		require.Equal(t, from+length, now)
		require.Equal(t, rampSteps-1, steps)
	})
}

// An upstream without slots offers none, cold or not, and an upstream that does not
// say that it is cold offers all.
func TestRampOfWarmUpstream(t *testing.T) {
	var r ramp
	require.Equal(t, 8, r.limit(0, 8))
	require.Zero(t, r.limit(0, 0))
	r.setRemaining(time.Second, 0)
	require.Equal(t, 8, r.limit(time.Second, 8))
	r.setRemaining(time.Second, time.Second)
	require.Zero(t, r.limit(time.Second, 0))
	require.Equal(t, 1, r.limit(time.Second, 8))
	r.setRemaining(time.Second+time.Millisecond, 0)
	require.Equal(t, 8, r.limit(time.Second+time.Millisecond, 8), "it says that it is warm")
}

func lastCredit(effs []Effect) int {
	credit := 0
	for _, eff := range effs {
		if r, ok := eff.(SendReport); ok {
			credit = int(r.Report.Credit)
		}
	}
	return credit
}

// A backlog of 64 tasks waits while a cold upstream of 16 slots is added, or a failure
// domain is taken back. It starts by and by, at most the share of the ramp at a time,
// and all slots are in use at the end.
func TestBacklogMeetsColdUpstreamByRamp(t *testing.T) {
	const slots, need, cold, run = 16, 1000, 4 * time.Second, time.Second
	for name, begin := range map[string]func(s *State, up Upstream) []Effect{
		"added": func(s *State, up Upstream) []Effect {
			up.ColdFor = cold
			return s.Step(0, Announced{up}, nil)
		},
		"taken back": func(s *State, up Upstream) []Effect {
			s.Step(0, ConfigChanged{Index: 1, Evacuated: true}, nil)
			s.Step(0, Announced{up}, nil)
			return s.Step(0, ConfigChanged{Index: 2}, nil)
		},
		"leased": func(s *State, up Upstream) []Effect {
			up.ColdFor, up.Leased = cold, true
			s.meanNeed.observe(assignmentOf(0, need).Spec.Need)
			return s.Step(0, Announced{up}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestState(Config{})
			up := testUpstream("a", true)
			up.Slots, up.Connections, up.Lease = slots, slots, time.Minute
			up.Offered.MilliCPU = slots * need
			s.Step(0, SessionOpened{Session: 1, Hello: hello(1, 1)}, nil)
			effs := begin(s, up)
			var peak []int
			seq, next := uint64(0), uint32(0)
			ends := map[time.Duration][]RunID{}
			for now := time.Duration(0); now <= cold; now += 10 * time.Millisecond {
				credit := lastCredit(effs)
				u := &wire.Update{Seq: seq + 1, Demand: wire.Demand{Waiting: 64 - min(next, 64)}}
				for range min(credit, int(64-next)) {
					u.Tasks = append(u.Tasks, assignmentOf(next, need))
					next++
				}
				seq++
				effs = s.Step(now, UpdateReceived{Session: 1, Update: u}, nil)
				for _, id := range ends[now] {
					effs = s.Step(now, RunEnded{Run: id, End: EndComplete}, effs)
				}
				for _, eff := range effs {
					if start, ok := eff.(StartRun); ok {
						ends[now+run] = append(ends[now+run], start.Run)
					}
				}
				running, _ := s.Load()
				require.LessOrEqual(t, running, s.rampedSlots(slots))
				peak = append(peak, running)
			}
			require.LessOrEqual(t, peak[0], slots/rampSteps)
			require.LessOrEqual(t, slices.Max(peak[:100]), slots/2, "in the first second")
			require.Equal(t, slots, s.slots())
			require.GreaterOrEqual(t, peak[len(peak)-1], slots*3/4)
		})
	}
}
