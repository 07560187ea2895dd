package logging

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A flood of one kind is cut to its budget, counted, and takes nothing from the
// lines of another kind.
func TestBudgetLimitsEachKindSeparately(t *testing.T) {
	b := NewBudget(3)
	for i := range 10 {
		require.Equal(t, i < 3, b.Allow("answered", 0))
	}
	require.True(t, b.Allow("refused", 0))
	require.Equal(t, map[string]int{"answered": 7}, b.Suppressed())
	require.Nil(t, b.Suppressed())
	require.False(t, b.Allow("answered", 999*time.Millisecond))
	require.True(t, b.Allow("answered", time.Second))
}

func BenchmarkBudget(b *testing.B) {
	for name, lines := range map[string]int{"allowed": math.MaxInt, "left-out": 0} {
		b.Run(name, func(b *testing.B) {
			budget := NewBudget(lines)
			b.ReportAllocs()
			for b.Loop() {
				budget.Allow("answered", 0)
			}
		})
	}
}
