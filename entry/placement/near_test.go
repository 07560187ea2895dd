package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// Credits stays in the own failure domain while an agent there has credit, and
// leaves it when none has.
func TestCreditsPrefersTheOwnDomain(t *testing.T) {
	p := NewPool(1)
	offered := task.Resources{MilliCPU: 1000}
	near := &Agent{ID: "near", Near: true, Credit: 1, Slots: 1, Offered: offered}
	for _, a := range []*Agent{{ID: "far-1", Credit: 1, Slots: 1, Offered: offered}, near, {ID: "far-2", Credit: 1, Slots: 1, Offered: offered}} {
		p.Add(a)
	}
	for range 50 {
		require.Equal(t, "near", Credits{}.Pick(p, offered).ID)
	}
	near.Credit = 0
	p.Changed(near)
	for range 50 {
		require.NotEqual(t, "near", Credits{}.Pick(p, offered).ID)
	}
	p.Remove(near)
	require.Empty(t, p.near)
}
