// Package queue orders the jobs that wait at an entry. An Order ranks each job
// by its waiting tasks, age and declared run time. Jobs of a team that has used
// more than its share of the slots for a long time and also has a backlog rank
// after the jobs of other teams.
//
// The package reads no clock; the caller passes the time.
package queue

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxClass is the highest job class; see Order.class.
	maxClass = 255
	// usageTimeConstant and backlogTimeConstant are the averaging times of a
	// team's slot usage and of its number of waiting tasks.
	usageTimeConstant   = 20 * time.Second
	backlogTimeConstant = 5 * time.Second
	// backlogRatio is the ratio of waiting to running tasks from which a team
	// counts as demanding more than it can get.
	backlogRatio = 2
	// overuseThreshold is the ratio of usage to share above which a team's jobs
	// are penalised.
	overuseThreshold = 1.1
	// overuseExponent sets how steeply ranks rise with usage above
	// overuseThreshold.
	overuseExponent = 50
	// rankCacheTime is how long a team's first job and its rank are cached
	// while the team's jobs do not change. Ranks fall only slowly with age.
	rankCacheTime = 10 * time.Millisecond
	bitmapWords   = (maxClass + 64) / 64
)

// Job is a submission with waiting tasks. The queue owns the unexported fields;
// the caller must not change the others while the job is queued.
type Job struct {
	Team    string
	Arrived time.Duration
	// LongestDeclared is the longest declared run time of the job's tasks, zero
	// if unknown.
	LongestDeclared time.Duration
	// Priority and StartBy are used by Urgent. Priority 0 is the most urgent. A
	// job that starts after StartBy can't meet its objective.
	Priority uint32
	StartBy  time.Duration
	// Owner is the caller's own record for the job.
	Owner any

	late bool
	key  time.Duration

	waiting uint32
	class   int
	pos     int
	team    *team
}

// Late reports whether the job ranks with those that can no longer meet their
// objective.
func (j *Job) Late() bool { return j.late }

// Waiting returns the number of waiting tasks of the job.
func (j *Job) Waiting() uint32 { return j.waiting }

type team struct {
	name    string
	weight  float64
	usage   decayingMean
	backlog decayingMean
	waiting int
	running int // tasks dequeued and not yet ended
	limit   int // maximum of running, 0 for no limit
	pos     int // index in Queue.backlogged, -1 if no task waits
	// cachedHead is the team's first job and cachedRank its rank, both as of
	// cachedAt. It is nil if a new search is needed.
	cachedHead *Job
	cachedRank float64
	cachedAt   time.Duration
	classes    [maxClass + 1]classHeap
	// work is the declared run time, in seconds, of the waiting tasks in each
	// class.
	work     [maxClass + 1]float64
	nonEmpty [bitmapWords]uint64
}

// Queue holds waiting jobs. It is not safe for concurrent use.
type Queue struct {
	order        Order
	teams        map[string]*team
	backlogged   []*team // teams with waiting tasks
	waiting      int
	running      int // tasks dequeued and not yet ended
	usage        decayingMean
	activeWeight float64 // sum of the weights of teams with waiting or running tasks
	now          time.Duration
}

// New returns an empty queue with the given order.
func New(o Order) *Queue {
	return &Queue{order: o, teams: make(map[string]*team), usage: decayingMean{timeConstant: usageTimeConstant}}
}

// Len returns the total number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// SetTeam sets a team's weight, which is 1 by default, and the maximum number
// of its tasks that are dequeued and not yet ended, 0 for no limit.
func (q *Queue) SetTeam(name string, weight, limit uint32) {
	t := q.team(name)
	before := t.activeWeight()
	t.weight = float64(max(1, weight))
	q.activeWeight += t.activeWeight() - before
	t.limit = int(limit)
}

func (q *Queue) team(name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{
			name:    name,
			weight:  1,
			pos:     -1,
			usage:   decayingMean{timeConstant: usageTimeConstant},
			backlog: decayingMean{timeConstant: backlogTimeConstant},
		}
		q.teams[name] = t
	}
	return t
}

// Add adds n waiting tasks to a job and queues the job if it is not queued yet.
func (q *Queue) Add(j *Job, n uint32) {
	if n == 0 {
		return
	}
	if j.waiting == 0 {
		j.team = q.team(j.Team)
		q.markBacklogged(j.team)
	} else {
		j.team.remove(j)
	}
	j.waiting += n
	q.addWaiting(j.team, int(n))
	q.insert(j.team, j)
}

// Dequeue removes one waiting task from a job and counts it as running until
// EndTask.
func (q *Queue) Dequeue(j *Job) {
	t := j.team
	t.remove(j)
	j.waiting--
	q.addWaiting(t, -1)
	q.addRunning(t, 1)
	if j.waiting > 0 {
		q.insert(t, j)
	}
	q.unmarkIfEmpty(t)
}

// EndTask ends one running task of a team. It must be called once for each task
// dequeued.
func (q *Queue) EndTask(name string) { q.addRunning(q.team(name), -1) }

// addWaiting adds n to the number of waiting tasks of a team.
func (q *Queue) addWaiting(t *team, n int) {
	before := t.activeWeight()
	t.backlog.advance(q.now, t.waiting)
	t.waiting += n
	q.waiting += n
	q.activeWeight += t.activeWeight() - before
}

// addRunning adds n to the number of running tasks of a team.
func (q *Queue) addRunning(t *team, n int) {
	before := t.activeWeight()
	t.usage.advance(q.now, t.running)
	q.usage.advance(q.now, q.running)
	t.running += n
	q.running += n
	q.activeWeight += t.activeWeight() - before
}

// Remove removes all waiting tasks of a job.
func (q *Queue) Remove(j *Job) {
	if j.waiting == 0 {
		return
	}
	t := j.team
	t.remove(j)
	q.addWaiting(t, -int(j.waiting))
	j.waiting = 0
	q.unmarkIfEmpty(t)
}

// Head returns the job with the lowest rank, whose task is next, and that rank.
// It returns nil if no task may be dequeued now: none waits, or each team with
// waiting tasks is at its limit of running tasks.
func (q *Queue) Head(now time.Duration) (*Job, float64) {
	q.now = max(q.now, now)
	var best *Job
	rank := math.Inf(1)
	for _, t := range q.backlogged {
		if t.atLimit() {
			continue
		}
		j, r := t.head(q.order, now)
		if r *= q.penalty(t); r < rank || best == nil {
			best, rank = j, r
		}
	}
	return best, rank
}

// penalty returns the factor applied to the ranks of a team. It exceeds 1 if
// the team's average usage is above its share of the slots used by active teams
// and its backlog is large compared with that usage.
func (q *Queue) penalty(t *team) float64 {
	totalUsage := q.usage.advance(q.now, q.running)
	share := t.weight / q.activeWeight * max(1, totalUsage)
	usage := t.usage.advance(q.now, t.running)
	overuse := usage / share / overuseThreshold
	if overuse <= 1 || t.backlog.advance(q.now, t.waiting) < backlogRatio*usage {
		return 1
	}
	return math.Pow(overuse, overuseExponent)
}

// markBacklogged adds a team to the teams with waiting tasks.
func (q *Queue) markBacklogged(t *team) {
	if t.pos >= 0 {
		return
	}
	t.pos = len(q.backlogged)
	q.backlogged = append(q.backlogged, t)
}

func (q *Queue) unmarkIfEmpty(t *team) {
	if t.waiting > 0 {
		return
	}
	last := len(q.backlogged) - 1
	q.backlogged[t.pos] = q.backlogged[last]
	q.backlogged[t.pos].pos = t.pos
	q.backlogged = q.backlogged[:last]
	t.pos = -1
}

func (t *team) activeWeight() float64 {
	if t.waiting > 0 || t.running > 0 {
		return t.weight
	}
	return 0
}

func (t *team) atLimit() bool { return t.limit > 0 && t.running >= t.limit }

// insert computes a job's class and key and stores the job.
func (q *Queue) insert(t *team, j *Job) {
	j.class, j.key = q.order.class(j), q.order.key(j)
	t.put(j)
}

func (t *team) remove(j *Job) {
	t.cachedHead = nil
	h := &t.classes[j.class]
	h.remove(j)
	t.work[j.class] -= j.work()
	if len(*h) == 0 {
		t.work[j.class] = 0
		t.nonEmpty[j.class/64] &^= 1 << (j.class % 64)
	}
}

// head returns the team's first job and its rank. Within a class the job with
// the lowest key ranks first, so only the first job of each class is compared.
func (t *team) head(o Order, now time.Duration) (*Job, float64) {
	if t.cachedHead == nil || now >= t.cachedAt+rankCacheTime {
		if o == Urgent {
			t.demote(now)
		}
		t.cachedHead, t.cachedRank = t.search(o, now)
		t.cachedAt = now
	}
	return t.cachedHead, t.cachedRank
}

// work returns the declared run time, in seconds, of the job's waiting tasks.
func (j *Job) work() float64 { return float64(j.waiting) * j.runTime().Seconds() }

// WorkAhead returns the declared run time, in seconds, of the waiting tasks
// that rank before a new job of the given priority under Urgent.
func (q *Queue) WorkAhead(priority uint32) float64 {
	sum := 0.0
	for _, t := range q.backlogged {
		for class := range min(priority, maxUrgentPriority) + 1 {
			sum += t.work[class]
		}
	}
	return sum
}

// WorkBefore returns the declared run time, in seconds, of the waiting tasks
// that rank before a queued job under Urgent. The work in the job's own class
// and team counts in proportion to the jobs of that class that precede it.
func (q *Queue) WorkBefore(j *Job) float64 {
	if j.waiting == 0 || j.team == nil {
		return 0
	}
	ahead := 0.0
	for _, t := range q.backlogged {
		for class := range j.class {
			ahead += t.work[class]
		}
	}
	return ahead + j.workBeforeInClass()
}

// workBeforeInClass returns the work of the jobs before j in its class and team, as
// a share of the work of all.
func (j *Job) workBeforeInClass() float64 {
	sameClass := j.team.classes[j.class]
	before := 0
	for _, other := range sameClass {
		if other.key < j.key {
			before++
		}
	}
	return j.team.work[j.class] * float64(before) / float64(len(sameClass))
}

// demote moves jobs that can no longer meet their objective to the classes of
// late jobs.
func (t *team) demote(now time.Duration) {
	for class := range lateClass {
		for len(t.classes[class]) > 0 && t.classes[class][0].StartBy < now {
			j := t.classes[class][0]
			t.remove(j)
			j.late, j.class = true, class+lateClass
			t.put(j)
		}
	}
}

// put stores a job in the heap of its class.
func (t *team) put(j *Job) {
	t.cachedHead = nil
	t.classes[j.class].push(j)
	t.nonEmpty[j.class/64] |= 1 << (j.class % 64)
	t.work[j.class] += j.work()
}

// search returns the job with the lowest rank among the first jobs of all classes,
// and that rank.
func (t *team) search(o Order, now time.Duration) (*Job, float64) {
	var best *Job
	rank := math.Inf(1)
	for w, word := range t.nonEmpty {
		for word != 0 {
			c := w*64 + bits.TrailingZeros64(word)
			word &= word - 1
			j := t.classes[c][0]
			if r := o.Rank(j, now); r < rank || best == nil {
				best, rank = j, r
			}
		}
	}
	return best, rank
}
