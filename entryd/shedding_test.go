package entryd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The measurements are those of a small entry on Magnolia's scale-1 before, during and
// after a burst. It must not switch back and forth between the two thresholds.
func TestBusyEntryClosesSomeConnections(t *testing.T) {
	s := &shedding{above: 20 * time.Millisecond}
	closed := 0
	for _, step := range []struct {
		turnaround time.Duration
		changed    bool
		closed     int
	}{{6, false, 0}, {19, false, 0}, {50, true, 10}, {40, false, 10}, {12, false, 10}, {9, true, 0}, {0, false, 0}, {15, false, 0}} {
		require.Equal(t, step.changed, s.update(step.turnaround*time.Millisecond), "%v", step)
		closed = 0
		for range 10 * shedOneIn {
			if s.next() {
				closed++
			}
		}
		require.Equal(t, step.closed, closed, "%v", step)
	}
}

// Without a setting, no entry is ever short.
func TestSheddingIsOffByDefault(t *testing.T) {
	s := &shedding{}
	require.False(t, s.update(time.Hour))
	require.False(t, s.next())
}
