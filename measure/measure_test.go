package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitFindsLine(t *testing.T) {
	f, err := fitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.NoError(t, err)
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 3, f.Intercept, 1e-9)
	require.InDelta(t, 1, f.R2, 1e-9)
	require.InDelta(t, 23, f.At(10), 1e-9)
	_, err = fitLine([]Point{{1, 2}, {1, 3}})
	require.ErrorIs(t, err, errDegenerateFit)
}

// The stand-ins for agents really have the entry place and answer every task.
func TestEntryBenchAnswersEveryTask(t *testing.T) {
	b := newEntryBench(10)
	require.Len(t, b.sessions, 10)
	_, err := timeDecisions(b)
	require.NoError(t, err)
	require.GreaterOrEqual(t, b.tasks, decisionCount)
	require.Zero(t, b.answered%jobsInFlight, "a job got no answer, or two")
	require.Empty(t, b.pendingSends)
}
