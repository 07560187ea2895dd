package lease

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
)

// The agent has to know what ran when an upstream crashed, so the news of the crash
// comes before the ends of its runs, whether another process announces itself at its
// address or answers there.
func TestCrashPrecedesTheEndsOfItsRuns(t *testing.T) {
	successor := announcement(1)
	successor.Born, successor.Upstream.Instance = 2000, "i-1@2000"
	for name, replace := range map[string]func(b *harness){
		"announcement": func(b *harness) { b.step(successor) },
		"answer": func(b *harness) {
			b.step(HoldAnswered{Call: b.s.holds[len(b.s.holds)-1].call, Result: HoldWrongInstance})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t).announceUpstream()
			b.startRun(firstRun, "a")
			replace(b)
			crashed := slices.Index(b.events, agent.Event(agent.Crashed{Instance: instance}))
			require.GreaterOrEqual(t, crashed, 0)
			require.Equal(t, []agent.RunEnded{{Run: firstRun, End: agent.EndCutOff}}, b.ends())
			require.Empty(t, slices.DeleteFunc(slices.Clone(b.events[:crashed]), func(ev agent.Event) bool {
				_, ended := ev.(agent.RunEnded)
				return !ended
			}))
		})
	}
}

// An upstream that has announced its end leaves as planned.
func TestPlannedEndIsNoCrash(t *testing.T) {
	b := newHarness(t).announceUpstream()
	leaving := announcement(2)
	leaving.Upstream.Draining = true
	b.step(leaving)
	successor := announcement(1)
	successor.Born, successor.Upstream.Instance = 2000, "i-1@2000"
	b.step(successor)
	require.NotContains(t, b.events, agent.Event(agent.Crashed{Instance: instance}))
}
