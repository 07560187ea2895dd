package dev

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/logging"
)

// A fleet completes a job of 140 tasks and a request, starts each task exactly
// once, and then shuts down without an error.
func TestFleetRunsSample(t *testing.T) {
	f, err := New(logging.Discard())
	require.NoError(t, err)
	var out bytes.Buffer
	err = f.Run(t.Context(), func(ctx context.Context) error {
		if err := f.Sample(ctx, &out); err != nil {
			return err
		}
		return ErrDone
	})
	require.NoError(t, err)
	require.Contains(t, out.String(), "complete, 140 outcomes")
	starts := make(map[string]int)
	for _, u := range f.Upstreams {
		for _, j := range u.Journal() {
			starts[j.ID]++
		}
	}
	for id, n := range starts {
		require.Equal(t, 1, n, id)
	}
	require.GreaterOrEqual(t, len(starts), sampleTasks+1)
}
