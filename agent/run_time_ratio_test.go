package agent

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Six runs that take four times their declared time must raise the value, while
// run times that alternate 40% above and below the declared ones must not.
func TestRunTimeRatioDetectsSlowUpstreamWithinSixRuns(t *testing.T) {
	var p runTimeRatio
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

func TestRunTimeRatioIsZeroAfterFewRuns(t *testing.T) {
	var p runTimeRatio
	p.observe(time.Second, 9*time.Second)
	require.Zero(t, p.value())
}
