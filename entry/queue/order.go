package queue

import (
	"fmt"
	"math"
	"time"
)

// Order ranks waiting jobs; the lowest rank is next.
type Order uint8

// The orders.
const (
	// FIFO ranks by arrival.
	FIFO Order = iota
	// FewestLeft ranks by the count of waiting tasks.
	FewestLeft
	// LeftOverAge ranks by waiting tasks over age, so that a large job can't
	// wait for ever.
	LeftOverAge
	// LeftOverSlowdown ranks by the waiting work, as waiting tasks times the
	// longest declared run time, over the job's slowdown so far, as its age
	// over that run time.
	LeftOverSlowdown
	// Urgent ranks by priority, then by the latest start that still meets the
	// job's objective. Jobs that can't meet theirs any more come after all that
	// can.
	Urgent
)

const (
	// ageOffset keeps new jobs comparable with each other.
	ageOffset = 50 * time.Millisecond
	// defaultRunTime stands for a run time that the caller did not declare.
	defaultRunTime = 300 * time.Millisecond
)

const (
	// maxUrgentPriority is the highest priority that Urgent tells apart.
	maxUrgentPriority = 120
	// lateClass is the first class of jobs that can't meet their objective.
	lateClass = maxUrgentPriority + 1
	// priorityStep keeps the ranks of priorities apart; slacks, in seconds, are
	// below it.
	priorityStep = 1e4
	// lateOffset keeps the ranks of late jobs above those of all others.
	lateOffset = priorityStep * lateClass
)

// classesPerOctave is how finely LeftOverSlowdown tells sizes apart.
const classesPerOctave = 6

// orderNames are the names in settings and reports, by Order.
var orderNames = [...]string{"fifo", "fewest-left", "left-over-age", "left-over-slowdown", "urgent"}

// String returns the order's name in settings.
func (o Order) String() string {
	if int(o) < len(orderNames) {
		return orderNames[o]
	}
	return fmt.Sprintf("order(%d)", uint8(o))
}

// ParseOrder reads the form that String writes.
func ParseOrder(s string) (Order, error) {
	for i, name := range orderNames {
		if name == s {
			return Order(i), nil
		}
	}
	return 0, fmt.Errorf("order %q: valid are %q", s, orderNames)
}

// class groups jobs among which the oldest ranks first.
func (o Order) class(j *Job) int {
	switch o {
	case FIFO:
		return 0
	case Urgent:
		class := int(min(j.Priority, maxUrgentPriority))
		if j.late {
			class += lateClass
		}
		return class
	case LeftOverSlowdown:
		run := float64(j.runTime() / time.Millisecond)
		octaves := math.Log2(max(1, float64(j.waiting)*run*run))
		return int(min(octaves*classesPerOctave, maxClass))
	default:
		return int(min(j.waiting, maxClass))
	}
}

// runTime returns the job's longest declared run time, or a stand-in for it.
func (j *Job) runTime() time.Duration {
	if j.LongestDeclared <= 0 {
		return defaultRunTime
	}
	return j.LongestDeclared
}

// TaskRunTime returns the run time by which a task of the job counts as work.
func (j *Job) TaskRunTime() time.Duration { return j.runTime() }

// Rank returns the rank of a job now.
func (o Order) Rank(j *Job, now time.Duration) float64 {
	age := (now - j.Arrived + ageOffset).Seconds()
	switch o {
	case FIFO:
		return j.Arrived.Seconds()
	case Urgent:
		return j.urgency(now)
	case FewestLeft:
		return float64(j.waiting)
	case LeftOverSlowdown:
		run := j.runTime().Seconds()
		return float64(j.waiting) * run * run / age
	default:
		return float64(j.waiting) / age
	}
}

// urgency is the rank by Urgent.
func (j *Job) urgency(now time.Duration) float64 {
	slack := (j.StartBy - now).Seconds()
	slack = min(max(slack, -priorityStep/2+1), priorityStep/2-1) + priorityStep/2
	rank := float64(min(j.Priority, maxUrgentPriority))*priorityStep + slack
	if j.late {
		rank += lateOffset
	}
	return rank
}

// key orders the jobs of a class.
func (o Order) key(j *Job) time.Duration {
	if o == Urgent {
		return j.StartBy
	}
	return j.Arrived
}
