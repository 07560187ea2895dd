package loop

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idleReducer ignores all events.
type idleReducer struct{}

// Step implements Reducer.
func (idleReducer) Step(_ time.Duration, _ int, out []int) []int { return out }

// Next implements Reducer.
func (idleReducer) Next() (time.Duration, bool) { return 0, false }

// An event that is posted after the loop has ended is rejected, so that its sender
// does not wait for an answer.
func TestPostAfterTheEndIsRejected(t *testing.T) {
	l := New[int, int](idleReducer{}, 0, func(int) {})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	accepted := 0
	for range 100 {
		if l.Post(1) {
			accepted++
		}
	}
	require.Zero(t, accepted, "of 100 events were accepted")
}
