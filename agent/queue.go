package agent

import (
	"slices"
	"sort"
)

// queue holds the tasks queued at the agent, ordered by rank, lowest first, and
// then by arrival. It is short, so a sorted slice is sufficient.
type queue struct{ recs []*record }

func (q *queue) len() int { return len(q.recs) }

func (q *queue) push(r *record) {
	i := sort.Search(len(q.recs), func(i int) bool { return q.recs[i].rank > r.rank })
	q.recs = slices.Insert(q.recs, i, r)
}

// last returns the least urgent task, which is the one with the highest rank.
func (q *queue) last() *record { return q.recs[len(q.recs)-1] }

func (q *queue) remove(r *record) {
	if i := slices.Index(q.recs, r); i >= 0 {
		q.recs = slices.Delete(q.recs, i, i+1)
	}
}
