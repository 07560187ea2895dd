// Package queue orders the jobs that wait at an entry by an Order over each
// job's waiting tasks, age and declared run time, and fairly among teams: the
// jobs of a team that has long had more than its share, and has a backlog besides,
// rank behind the others'.
// It keeps no clock; the caller passes the time.
package queue

import (
	"math"
	"math/bits"
	"time"
)

const (
	// maxClass is the highest class of jobs told apart; see Order.class.
	maxClass = 255
	// usageTimeConstant is over how long a team's use of slots is averaged, backlogTime
	// the same for its waiting tasks.
	usageTimeConstant   = 20 * time.Second
	backlogTimeConstant = 5 * time.Second
	// backlogRatio is how many times the tasks that run for a team must wait
	// before it counts as one that asks for more than it can get.
	backlogRatio = 2
	// overuseThreshold is the use over the share above which a team's jobs fall back.
	overuseThreshold = 1.1
	// overuseExponent is how steeply ranks rise with the use above overUse.
	overuseExponent = 50
	// rankCacheTime is how long a team's first job and its rank are kept while
	// nothing of the team changes; ranks fall slowly with age.
	rankCacheTime = 10 * time.Millisecond
	bitmapWords   = (maxClass + 64) / 64
)

// Job is a submission with tasks that wait. The queue owns the unexported
// fields; the others must not change while the job is queued.
type Job struct {
	Team    string
	Arrived time.Duration
	// LongestDeclared is the longest declared run time of its tasks, zero if unknown.
	LongestDeclared time.Duration
	// Priority and StartBy are used by Urgent: 0 is the most urgent, and a job
	// that starts after StartBy can't meet its objective.
	Priority uint32
	StartBy  time.Duration
	// Owner is the caller's own record of the job.
	Owner any

	late bool
	key  time.Duration

	waiting uint32
	class   int
	pos     int
	team    *team
}

// Waiting returns how many of the job's tasks wait.
func (j *Job) Waiting() uint32 { return j.waiting }

type team struct {
	name    string
	weight  float64
	usage   decayingMean
	backlog decayingMean
	waiting int
	running int // tasks taken and not settled
	limit   int // bound on running, 0 for none
	pos     int // index in Queue.due, -1 if nothing waits
	// cachedHead is the team's first job and its rank, as of firstAt; nil if it must
	// be looked for.
	cachedHead *Job
	cachedRank float64
	cachedAt   time.Duration
	classes    [maxClass + 1]classHeap
	// work is the declared run time of the waiting tasks of each class, in
	// seconds.
	work     [maxClass + 1]float64
	nonEmpty [bitmapWords]uint64
}

// Queue holds waiting jobs. It is not safe for concurrent use.
type Queue struct {
	order        Order
	teams        map[string]*team
	backlogged   []*team // teams with waiting tasks
	waiting      int
	running      int // tasks taken and not settled
	usage        decayingMean
	activeWeight float64 // sum of the weights of teams with waiting or running tasks
	now          time.Duration
}

// New returns an empty queue with the given order.
func New(o Order) *Queue {
	return &Queue{order: o, teams: make(map[string]*team), usage: decayingMean{timeConstant: usageTimeConstant}}
}

// Len returns how many tasks wait in all.
func (q *Queue) Len() int { return q.waiting }

// SetTeam sets a team's share, 1 by default, and the bound on its tasks taken
// and not settled, 0 for none.
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

// Add adds n waiting tasks to a job, which joins the queue if it is not in it.
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

// Take removes one waiting task of a job, which then counts as running.
func (q *Queue) Take(j *Job) {
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

// Settle ends what Take began, once for each task taken.
func (q *Queue) Settle(name string) { q.addRunning(q.team(name), -1) }

// addWaiting adds n to the waiting tasks of a team.
func (q *Queue) addWaiting(t *team, n int) {
	before := t.activeWeight()
	t.backlog.advance(q.now, t.waiting)
	t.waiting += n
	q.waiting += n
	q.activeWeight += t.activeWeight() - before
}

// addRunning adds n to the running tasks of a team.
func (q *Queue) addRunning(t *team, n int) {
	before := t.activeWeight()
	t.usage.advance(q.now, t.running)
	q.usage.advance(q.now, q.running)
	t.running += n
	q.running += n
	q.activeWeight += t.activeWeight() - before
}

// Remove takes all of a job's waiting tasks out.
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

// Head returns the job whose task is next and its rank, lowest first. It
// returns nil if nothing may be taken now.
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

// penalty is the factor on the ranks of a team that has long used more than
// its share of the slots that the active teams use, and asks for far more.
func (q *Queue) penalty(t *team) float64 {
	all := q.usage.advance(q.now, q.running)
	share := t.weight / q.activeWeight * max(1, all)
	use := t.usage.advance(q.now, t.running)
	over := use / share / overuseThreshold
	if over <= 1 || t.backlog.advance(q.now, t.waiting) < backlogRatio*use {
		return 1
	}
	return math.Pow(over, overuseExponent)
}

// markBacklogged makes a team due.
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

// head returns the team's first job. Within a class the oldest job ranks first,
// so only the first of each class is compared.
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

// work is the declared run time of a job's waiting tasks, in seconds.
func (j *Job) work() float64 { return float64(j.waiting) * j.runTime().Seconds() }

// WorkAhead returns the declared run time, in seconds, of the waiting tasks that
// rank before a new job of a priority by Urgent.
func (q *Queue) WorkAhead(priority uint32) float64 {
	sum := 0.0
	for _, t := range q.backlogged {
		for class := range min(priority, maxUrgentPriority) + 1 {
			sum += t.work[class]
		}
	}
	return sum
}

// WorkBefore returns the declared run time, in seconds, of the waiting tasks that
// rank before a waiting job by Urgent. Of its own class it takes the share by
// which the job lies behind the first.
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
	h := j.team.classes[j.class]
	before := 0
	for _, o := range h {
		if o.key < j.key {
			before++
		}
	}
	return ahead + j.team.work[j.class]*float64(before)/float64(len(h))
}

// demote moves jobs that can't meet their objective any more to the classes of
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

// put stores a job in its class.
func (t *team) put(j *Job) {
	t.cachedHead = nil
	t.classes[j.class].push(j)
	t.nonEmpty[j.class/64] |= 1 << (j.class % 64)
	t.work[j.class] += j.work()
}

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
