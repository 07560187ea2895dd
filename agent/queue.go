package agent

import (
	"slices"
	"sort"
)

// queue holds the tasks that wait at the agent, lowest rank first and in order
// of arrival within a rank. It is short, so a sorted slice serves.
type queue struct{ recs []*record }

func (q *queue) len() int { return len(q.recs) }

func (q *queue) push(r *record) {
	i := sort.Search(len(q.recs), func(i int) bool { return q.recs[i].rank > r.rank })
	q.recs = slices.Insert(q.recs, i, r)
}

// last returns the least urgent task.
func (q *queue) last() *record { return q.recs[len(q.recs)-1] }

func (q *queue) remove(r *record) {
	if i := slices.Index(q.recs, r); i >= 0 {
		q.recs = slices.Delete(q.recs, i, i+1)
	}
}
