package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/fireflytray/fireflytray/task"
)

// ticksUntil steps the entry at each of its ticks up to a time and returns how many
// there were.
func (f *fixture) ticksUntil(end time.Duration) int {
	for n := 0; ; n++ {
		at, ok := f.e.Next()
		if !ok || at > end {
			f.now = end
			return n
		}
		f.now = max(f.now, at)
		f.step(Tick{})
	}
}

// Each answered job woke the process again at the deadlines that it had left.
func TestAnsweredJobsCauseNoTicks(t *testing.T) {
	const (
		jobs = 6
		end  = 20 * time.Second
	)
	idle := newFixture(t, "a", "b").ticksUntil(end)
	f := newFixture(t, "a", "b")
	for n := range uint64(jobs) {
		sub := job(1)
		sub.Deadline = end / 2
		agent, id := assigned(t, f.submit(n+1, sub))
		require.Len(t, answers(f.endTask(agent, id, task.Complete)), 1)
	}
	require.LessOrEqual(t, f.ticksUntil(end), idle+1)
}
