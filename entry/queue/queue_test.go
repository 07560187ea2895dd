package queue

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/fireflytray/fireflytray/internal/propertytest"
)

// TestMain sets the default seed of the property tests.
func TestMain(m *testing.M) {
	propertytest.Main(m, propertytest.Defaults{Seed: 1})
}

// linearSearch is a reference model that searches a list of all jobs.
type linearSearch struct {
	order Order
	jobs  []*Job
}

func (n *linearSearch) best(now time.Duration) float64 {
	best := math.Inf(1)
	for _, j := range n.jobs {
		if j.Waiting() > 0 {
			best = min(best, n.order.Rank(j, now))
		}
	}
	return best
}

// classTolerance is the factor by which the ranks of two jobs of one class may
// differ apart from their ages. It exceeds 1 only for LeftOverSlowdown, which
// groups jobs into size classes.
func classTolerance(o Order) float64 {
	if o == LeftOverSlowdown {
		return math.Pow(2, 1.0/classesPerOctave) * 1.001
	}
	return 1
}

// After any sequence of adding, dequeuing, returning and removing tasks, Head
// agrees with a linear search over all jobs, within the width of a class and
// the time for which ranks are cached.
func TestHeadMatchesLinearSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Order(rapid.IntRange(int(FIFO), int(LeftOverSlowdown)).Draw(t, "order"))
		q, n := New(o), &linearSearch{order: o}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			randomOperation(t, q, n, now)
			checkHead(t, q, n, now)
		}
	})
}

func randomOperation(t *rapid.T, q *Queue, n *linearSearch, now time.Duration) {
	j := randomJob(t, n)
	switch k := rapid.IntRange(0, 5).Draw(t, "act"); {
	case j == nil || k <= 1:
		j = &Job{
			Team:            fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "team")),
			Arrived:         now,
			LongestDeclared: time.Duration(rapid.IntRange(0, 5000).Draw(t, "longestMS")) * time.Millisecond,
		}
		n.jobs = append(n.jobs, j)
		q.Add(j, uint32(rapid.IntRange(1, 140).Draw(t, "tasks")))
	case k == 2:
		q.Remove(j)
	case k == 3:
		q.Add(j, 1)
	default:
		if first, _ := q.Head(now); first != nil {
			q.Dequeue(first)
			q.EndTask(first.Team)
		}
	}
}

func randomJob(t *rapid.T, n *linearSearch) *Job {
	if len(n.jobs) == 0 {
		return nil
	}
	return rapid.SampledFrom(n.jobs).Draw(t, "job")
}

func checkHead(t *rapid.T, q *Queue, n *linearSearch, now time.Duration) {
	waiting := 0
	for _, j := range n.jobs {
		waiting += int(j.Waiting())
	}
	require.Equal(t, waiting, q.Len())
	j, rank := q.Head(now)
	if waiting == 0 {
		require.Nil(t, j)
		return
	}
	require.NotNil(t, j)
	require.LessOrEqual(t, rank, n.best(now-rankCacheTime)*classTolerance(n.order)+1e-9)
}

// A team that has used all slots for a long time ranks behind a team that has
// not, although its job is older and would rank first without the penalty.
func TestOverusingTeamRanksBehindOthers(t *testing.T) {
	q := New(LeftOverSlowdown)
	greedy := &Job{Team: "greedy", LongestDeclared: time.Second}
	q.Add(greedy, 300)
	for range 80 {
		q.Dequeue(greedy)
	}
	q.Head(2 * usageTimeConstant)
	modest := &Job{Team: "modest", Arrived: 2 * usageTimeConstant, LongestDeclared: time.Second}
	q.Add(modest, 100)
	j, _ := q.Head(2*usageTimeConstant + time.Millisecond)
	require.Same(t, modest, j)
}

// A team at its limit of running tasks gets no task until one ends.
func TestTeamAtRunningLimitGetsNoTasks(t *testing.T) {
	q := New(FIFO)
	q.SetTeam("a", 1, 2)
	j := &Job{Team: "a"}
	q.Add(j, 5)
	q.Dequeue(j)
	q.Dequeue(j)
	first, _ := q.Head(0)
	require.Nil(t, first)
	q.EndTask("a")
	first, _ = q.Head(0)
	require.Same(t, j, first)
}
