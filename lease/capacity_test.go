package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
	"github.com/fireflytray/fireflytray/task"
)

func startOf(id agent.RunID, name string, milliCPU uint32) Start {
	ev := startEvent(id, name)
	ev.Run.Need = task.Resources{MilliCPU: milliCPU}
	return ev
}

func offering(seq uint64, milliCPU uint32) Announced {
	a := announcement(seq)
	a.Upstream.Offered = task.Resources{MilliCPU: milliCPU}
	return a
}

// A start without an answer is repeated once the upstream has seen a higher token. If
// the capacity has shrunk meanwhile, the repeated start could exceed it, because the
// upstream does not guard it.
func TestStartIsNotRepeatedBeyondShrunkCapacity(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(offering(2, 1000))
	b.step(startOf(1, "a", 600))
	b.step(StartAnswered{Call: b.starts[0].Call, Result: StartAccepted, Clock: b.upstreamClock + b.now})
	b.step(startOf(2, "b", 400))
	b.step(StartAnswered{Call: b.starts[1].Call, Result: StartLost})
	b.step(offering(3, 800))
	b.events = nil
	b.answer(View{Running: []Running{{Task: "a", Run: 1}}})
	require.Len(t, b.starts, 2, "the start that was not carried out is not repeated")
	require.Equal(t, []agent.RunEnded{{Run: 2, End: agent.EndBusy}}, b.ends())
}

// The capacity may shrink after the agent has decided on a start and before the start
// is sent.
func TestStartDecidedBeforeTheCapacityShrankIsNotSent(t *testing.T) {
	b := newHarness(t).announceUpstream()
	b.step(offering(2, 1000))
	b.step(offering(3, 500))
	b.step(startOf(1, "a", 600))
	require.Empty(t, b.starts)
	require.Equal(t, []agent.RunEnded{{Run: 1, End: agent.EndBusy}}, b.ends())
}
