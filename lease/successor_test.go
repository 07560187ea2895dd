package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/agent"
)

// An idle upstream crashes unnoticed and comes back under its id. A start that was meant
// for the process before may run at its successor, and must not be started elsewhere; one
// that was not sent certainly does not run.
func TestStartAtUnnoticedSuccessorIsNotStartedElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		answer *StartAnswered
		end    agent.End
	}{
		"clock started anew":       {&StartAnswered{Result: StartAccepted, Clock: time.Second}, agent.EndLost},
		"another birth":            {&StartAnswered{Result: StartAcceptedByOther}, agent.EndLost},
		"answer lost":              {&StartAnswered{}, agent.EndLost},
		"in flight":                {nil, agent.EndLost},
		"not sent":                 {&StartAnswered{Result: StartNotSent}, agent.EndCutOff},
		"clock of the one before":  {&StartAnswered{Result: StartAccepted, Clock: 2 * time.Hour}, agent.EndCutOff},
		"accepted without a clock": {&StartAnswered{Result: StartAccepted}, agent.EndCutOff},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t).announceUpstream()
			b.now += time.Minute
			b.step(startEvent(firstRun, "a"))
			if c.answer != nil {
				c.answer.Call = b.starts[0].Call
				b.step(*c.answer)
			}
			require.Empty(t, b.ends())
			b.step(HoldAnswered{Call: b.s.holds[0].call, Result: HoldWrongInstance})
			require.Equal(t, c.end, b.ends()[0].End)
		})
	}
}
