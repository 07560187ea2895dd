package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func urgentJob(name string, priority uint32, startBy time.Duration) *Job {
	return &Job{Team: "t", Owner: name, Priority: priority, StartBy: startBy}
}

// takeAll returns the names of the jobs in the order in which they are taken.
func takeAll(q *Queue, now time.Duration) []string {
	var names []string
	for {
		j, _ := q.Head(now)
		if j == nil {
			return names
		}
		names = append(names, j.Owner.(string))
		q.Dequeue(j)
	}
}

func TestUrgentOrdersByPriorityThenByLatestStart(t *testing.T) {
	q := New(Urgent)
	q.Add(urgentJob("second", 0, 90*time.Millisecond), 1)
	q.Add(urgentJob("fourth", 2, 20*time.Millisecond), 1)
	q.Add(urgentJob("first", 0, 80*time.Millisecond), 1)
	q.Add(urgentJob("third", 1, 10*time.Millisecond), 1)
	require.Equal(t, []string{"first", "second", "third", "fourth"}, takeAll(q, 0))
}

// A job that can no longer meet its objective must not delay jobs that still
// can.
func TestUrgentRanksLateJobsLast(t *testing.T) {
	q := New(Urgent)
	q.Add(urgentJob("late", 0, 100*time.Millisecond), 1)
	q.Add(urgentJob("timely", 2, time.Second), 1)
	require.Equal(t, []string{"timely", "late"}, takeAll(q, 200*time.Millisecond))
}

// Ranks are compared across entries whose clocks differ, so they must depend on
// the remaining time and not on the clock reading.
func TestUrgentRanksDoNotDependOnClock(t *testing.T) {
	a, b := New(Urgent), New(Urgent)
	a.Add(urgentJob("a", 1, time.Hour+50*time.Millisecond), 1)
	b.Add(urgentJob("b", 1, 60*time.Millisecond), 1)
	_, rankA := a.Head(time.Hour)
	_, rankB := b.Head(0)
	require.Less(t, rankA, rankB)
}
