package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/fleet"
	"github.com/fireflytray/fireflytray/wire"
)

// A change is pushed to hundreds of processes. The difference from their version was
// computed for each of them, with a check of the whole document: 14% of the processor
// time of control hosts with 90 processes.
func TestPushIsComputedOncePerVersion(t *testing.T) {
	var c pushCache
	computed := 0
	compute := func(have uint64) wire.ConfigPush {
		computed++
		return wire.ConfigPush{Base: have}
	}
	first, second := fleet.Empty(), fleet.Empty()
	for range 200 {
		require.EqualValues(t, 7, c.get(first, 7, compute).Base)
	}
	require.Equal(t, 1, computed)
	c.get(first, 6, compute)
	require.Equal(t, 2, computed)
	c.get(second, 7, compute)
	require.Equal(t, 3, computed, "another document is in force")
}

func TestCachedPushesAreBounded(t *testing.T) {
	var c pushCache
	doc := fleet.Empty()
	for have := range uint64(10 * maxCachedPushes) {
		c.get(doc, have, func(uint64) wire.ConfigPush { return wire.ConfigPush{} })
		require.LessOrEqual(t, len(c.byHave), maxCachedPushes)
	}
}
