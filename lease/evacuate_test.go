package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
)

// A start that got no answer before the evacuation is not repeated after it, once a
// list shows that it was not carried out.
func TestLostStartIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartLost})
	b.step(Evacuate{Active: true})
	require.Empty(t, b.ends(), "it may have been carried out")
	b.answer(View{})
	require.Len(t, b.starts, 1)
	require.Len(t, b.ends(), 1)
	require.Equal(t, agent.EndEvacuated, b.ends()[0].End)
}

// The same for a start that was refused for its token.
func TestFencedStartIsNotRepeatedInEvacuatedDomain(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.step(Evacuate{Active: true})
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartFenced})
	require.Len(t, b.starts, 1)
	require.Equal(t, agent.EndEvacuated, b.ends()[0].End)
}

// A run whose start was carried out before the evacuation goes on under its lease to
// its end, and starts are taken again after the evacuation.
func TestRunOutlastsEvacuation(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(startEvent(firstRun, "a"))
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartLost})
	b.step(Evacuate{Active: true})
	b.answer(View{Running: []Running{{Task: "a", Run: 1}}})
	require.Empty(t, b.ends())
	require.Empty(t, b.stops)
	require.NotZero(t, b.holds[len(b.holds)-1].Until, "the lease is renewed")
	b.step(startEvent(2, "b"))
	require.Equal(t, agent.EndEvacuated, b.ends()[0].End)
	b.answer(View{Ended: []Ended{{Seq: 1, Task: "a", Run: 1, How: EndDone}}})
	require.Equal(t, agent.EndComplete, b.ends()[1].End)
	b.step(Evacuate{})
	b.step(startEvent(3, "c"))
	require.Len(t, b.starts, 2)
}
