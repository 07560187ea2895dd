package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Answers as an entry of 0.192 core sees them: 4 to 7 ms when it is rested, with one agent
// in nine cut off, and 20 to 160 ms when it carries the traffic of three.
var (
	restedAnswers = []time.Duration{5, 6, 4, 150, 7, 5, 6, 4, 5, 6, 7, 5, 4, 150, 6}
	busyAnswers   = []time.Duration{20, 31, 57, 48, 42, 117, 40, 108, 161, 25, 64, 150, 57, 31, 48}
)

// replay records answers one millisecond apart.
func replay(t *turnaround, now *time.Duration, answers []time.Duration) {
	for _, ms := range answers {
		*now += time.Millisecond
		t.observe(*now, ms*time.Millisecond)
	}
}

func TestTurnaroundTellsBusyEntryFromLostAgent(t *testing.T) {
	tr, now := &turnaround{}, time.Second
	require.Zero(t, tr.median(now), "nothing is known yet")
	replay(tr, &now, restedAnswers)
	require.Equal(t, 6*time.Millisecond, tr.median(now))
	replay(tr, &now, busyAnswers)
	require.Equal(t, 48*time.Millisecond, tr.median(now))
	require.Zero(t, tr.median(now+turnaroundTTL+time.Second), "old answers say nothing")
}

func TestBusyEntryAdmitsWhatCanStartAndProbes(t *testing.T) {
	tr, now := &turnaround{}, time.Second
	replay(tr, &now, busyAnswers)
	ok, needs := tr.admit(now, 180*time.Millisecond)
	require.True(t, ok, "a job with time")
	require.Equal(t, 96*time.Millisecond, needs)

	ok, _ = tr.admit(now, 80*time.Millisecond)
	require.True(t, ok, "the first job without time shows when there is room again")
	refused := 0
	for range 49 {
		now += time.Millisecond
		if ok, _ = tr.admit(now, 80*time.Millisecond); !ok {
			refused++
		}
	}
	require.Equal(t, 49, refused)
	now += time.Millisecond
	ok, _ = tr.admit(now, 80*time.Millisecond)
	require.True(t, ok, "one in each interval")

	replay(tr, &now, restedAnswers)
	ok, _ = tr.admit(now, 80*time.Millisecond)
	require.True(t, ok, "rested again")
}
