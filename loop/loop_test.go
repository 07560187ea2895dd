package loop

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// counter is a reducer that counts its events.
type counter struct{ stepped *atomic.Int64 }

func (c counter) Step(_ time.Duration, ev int, out []int) []int {
	c.stepped.Add(int64(ev))
	return out
}

func (c counter) Next() (time.Duration, bool) { return 0, false }

// An event that Post accepts while the loop ends must reach the reducer: a request
// whose event is dropped waits for its answer until the process exits.
func TestAcceptedEventsAreSteppedWhenLoopEnds(t *testing.T) {
	const (
		rounds  = 200
		posters = 8
	)
	for range rounds {
		var stepped, accepted atomic.Int64
		l := New[int, int](counter{&stepped}, 0, func(int) {})
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); l.Run(ctx) }()
		var wg sync.WaitGroup
		for range posters {
			wg.Go(func() {
				for l.Post(1) {
					accepted.Add(1)
				}
			})
		}
		stop()
		<-ended
		wg.Wait()
		require.Equal(t, accepted.Load(), stepped.Load())
	}
}
