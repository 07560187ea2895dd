package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
)

func running(tasks ...string) View {
	var v View
	for _, t := range tasks {
		v.Running = append(v.Running, Running{Task: t, Run: 1})
	}
	return v
}

// A run whose stop was lost went on until its own end.
func TestLostStopIsSentAgain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.startRun(firstRun, "a")
	b.step(Stop{Run: firstRun})
	require.Len(t, b.stops, 1)
	b.step(StopAnswered{Call: b.stops[0].Call})
	require.Len(t, b.stops, 2)
	require.Greater(t, b.stops[1].Fence, b.stops[0].Fence)
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "a", Run: 1, How: EndStopped}}})
	require.Equal(t, agent.EndStopped, b.ends()[0].End)
	b.step(StopAnswered{Call: b.stops[1].Call})
	b.advance(time.Second)
	require.Len(t, b.stops, 2, "the end is known")
}

// A run of a predecessor whose stop was lost went on until its own end.
func TestLostStopOfUnknownRunIsSentAgain(t *testing.T) {
	b := newHarness(t)
	b.step(announcement(1))
	b.answer(running("old"))
	require.Len(t, b.stops, 1)
	b.step(StopAnswered{Call: b.stops[0].Call})
	require.Len(t, b.stops, 2)
}

// A fenced stop is sent again with a token that the upstream takes.
func TestFencedStopIsSentAgain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.startRun(firstRun, "a")
	b.step(Stop{Run: firstRun})
	b.step(StopAnswered{Call: b.stops[0].Call, Result: StopFenced})
	require.Len(t, b.stops, 2)
	require.Greater(t, b.stops[1].Fence, b.stops[0].Fence)
}

// An upstream that refuses a stop gets it again after a delay, and so does one
// that accepts it while the run goes on.
func TestStopWithoutEffectIsRepeated(t *testing.T) {
	for result, delay := range map[StopResult]time.Duration{StopRefused: retryDelay, StopAccepted: stopEffectTimeout} {
		b := newHarness(t).announceUpstream()
		b.startRun(firstRun, "a")
		b.step(Stop{Run: firstRun})
		b.step(StopAnswered{Call: b.stops[0].Call, Result: result})
		b.answer(running("a"))
		b.advance(delay - time.Millisecond)
		require.Len(t, b.stops, 1)
		b.advance(time.Millisecond)
		require.Len(t, b.stops, 2)
	}
}
