package loop

import (
	"context"
	"testing"
	"time"
)

// ticking is a reducer whose next tick stays the same for 100 ms.
type ticking struct{ next time.Duration }

func (r *ticking) Step(now time.Duration, _ int, out []int) []int {
	if now >= r.next {
		r.next = now + 100*time.Millisecond
	}
	return append(out, 1)
}

func (r *ticking) Next() (time.Duration, bool) { return r.next, true }

// BenchmarkEvent passes events through a loop one at a time.
func BenchmarkEvent(b *testing.B) {
	done := make(chan struct{}, 1)
	l := New[int, int](&ticking{}, 0, func(int) {
		select {
		case done <- struct{}{}:
		default:
		}
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx)
	for b.Loop() {
		l.Post(1)
		<-done
	}
}
