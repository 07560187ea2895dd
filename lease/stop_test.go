package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
)

// latestUntil returns the latest end of a lease in any call, on the clock of the
// harness.
func (b *harness) latestUntil() time.Duration {
	last := time.Duration(0)
	for _, h := range b.holds {
		last = max(last, h.Until)
	}
	for _, st := range b.starts {
		last = max(last, st.Until)
	}
	return last - b.upstreamClock
}

// keepListing answers each hold within d with the same lists and no stop at all.
func (b *harness) keepListing(d time.Duration, v View) {
	const step, stopTimeout = 10 * time.Millisecond, 150 * time.Millisecond
	lost := 0
	for i := range int(d / step) {
		b.advance(step)
		if len(b.s.holds) > 0 {
			b.answer(v)
		}
		if i%int(stopTimeout/step) != 0 {
			continue
		}
		for _, c := range b.stops[lost:] {
			b.step(StopAnswered{Call: c.Call})
			lost++
		}
	}
}

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
	b.advance(DefaultConfig().AnswerTimeout)
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
	b.advance(DefaultConfig().AnswerTimeout)
	b.step(StopAnswered{Call: b.stops[0].Call})
	require.Len(t, b.stops, 2)
}

// A run whose stops are all lost had its lease renewed without end.
func TestLeaseOfRunThatCannotBeStoppedExpires(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.startRun(firstRun, "a")
	b.startRun(2, "b")
	requestedAt := b.now
	b.step(Stop{Run: firstRun})
	b.keepListing(900*time.Millisecond, running("a", "b"))
	b.step(startEvent(3, "c"))
	require.LessOrEqual(t, b.latestUntil(), requestedAt+100*time.Millisecond+DefaultConfig().Lease)
	b.answer(View{
		Running: []Running{{Task: "b", Run: 1}},
		Ended:   []Ended{{Seq: 1, Task: "a", Run: 1, How: EndStopped}},
	})
	require.Equal(t, b.now+DefaultConfig().Lease, b.latestUntil(), "the other runs go on")
}

// A run whose stops are all lost outlived the bound on which job locks rely.
func TestRunThatCannotBeStoppedEndsWithinBound(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.startRun(firstRun, "a")
	requestedAt := b.now
	b.step(Stop{Run: firstRun})
	b.keepListing(900*time.Millisecond, running("a"))
	left := float64(b.latestUntil()-requestedAt) / (1 - maxClockDrift)
	require.LessOrEqual(t, time.Duration(left), Config{}.RunsEndWithin())
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

// A stop whose calls failed at once, as at a closed port, was sent again without a
// pause, thousands of times a second.
func TestStopThatFailsAtOnceIsRepeatedAfterDelay(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.startRun(firstRun, "a")
	b.step(Stop{Run: firstRun})
	for sent := 1; sent <= 3; sent++ {
		b.step(StopAnswered{Call: b.stops[sent-1].Call})
		b.advance(retryDelay - time.Millisecond)
		require.Len(t, b.stops, sent)
		b.advance(time.Millisecond)
		require.Len(t, b.stops, sent+1)
	}
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

// An agent that woke after a pause sent a start again that its entry had given up.
func TestOldStartIsNotSentAgain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.now += Config{}.RunsEndWithin()
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartFenced})
	require.Len(t, b.starts, 1)
	require.Equal(t, agent.EndRejected, b.ends()[0].End)
}

// A start that was fenced was sent again although its run was already cancelled.
func TestFencedStartOfStoppedRunIsNotSentAgain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.step(Stop{Run: firstRun})
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartFenced})
	require.Len(t, b.starts, 1)
	require.Equal(t, agent.EndRejected, b.ends()[0].End)
}

// A restarted agent kept the runs of its predecessor alive while it learned of
// them, although the entries had given them up.
func TestUnreconciledAgentRenewsNoLease(t *testing.T) {
	b := newHarness(t)
	b.step(announcement(1))
	b.keepListing(time.Second, running("old"))
	require.NotEmpty(t, b.holds)
	for _, h := range b.holds {
		require.Zero(t, h.Until)
	}
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "old", Run: 1, How: EndLeaseExpired}}})
	b.startRun(firstRun, "a")
	require.Equal(t, b.now+DefaultConfig().Lease, b.latestUntil())
}

// A start that was sent late, as by an agent paused right before the call, must
// not outlive the cancellation that was read meanwhile.
func TestRunCancelledWhileItsStartIsInFlightIsStopped(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.now += 900 * time.Millisecond
	b.step(Stop{Run: firstRun})
	require.Empty(t, b.stops, "the run is not there yet")
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartAccepted, Clock: b.upstreamClock + b.now})
	require.Len(t, b.stops, 1)
}
