package agent

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Six runs that take four times as long show it; declared run times that are off
// by 40% either way don't.
func TestPaceDetectsSlowUpstreamWithinSixRuns(t *testing.T) {
	var p pace
	for i := range 20 {
		off := 0.6
		if i%2 == 0 {
			off = 1.4
		}
		p.observe(time.Second, time.Duration(off*float64(time.Second)))
	}
	require.Less(t, math.Abs(float64(p.value())), 0.3)
	for range 6 {
		p.observe(time.Second, 4*time.Second)
	}
	require.Greater(t, float64(p.value()), math.Log(2.5))
}

func TestPaceIsZeroAfterFewRuns(t *testing.T) {
	var p pace
	p.observe(time.Second, 9*time.Second)
	require.Zero(t, p.value())
}
