package queue

import (
	"fmt"
	"math"
	"time"
)

// Order ranks waiting jobs; the job with the lowest rank is dispatched first.
type Order uint8

// The supported orders.
const (
	// FIFO ranks by arrival time.
	FIFO Order = iota
	// FewestLeft ranks by the number of waiting tasks.
	FewestLeft
	// LeftOverAge ranks by the number of waiting tasks divided by the job's
	// age. The age keeps a large job from starving.
	LeftOverAge
	// LeftOverSlowdown ranks by the waiting work divided by the job's slowdown
	// so far. The work is the number of waiting tasks times the longest
	// declared run time, the slowdown is the job's age divided by that run
	// time.
	LeftOverSlowdown
	// Urgent ranks by priority, then by the latest start that still meets the
	// job's objective. Jobs that can no longer meet their objective rank after
	// all jobs that can.
	Urgent
)

const (
	// ageOffset is added to ages so that the ranks of new jobs stay comparable.
	ageOffset = 50 * time.Millisecond
	// defaultRunTime is assumed for jobs without a declared run time.
	defaultRunTime = 300 * time.Millisecond
)

const (
	// maxUrgentPriority is the highest priority number that Urgent
	// distinguishes.
	maxUrgentPriority = 120
	// lateClass is the first class of jobs that can no longer meet their
	// objective.
	lateClass = maxUrgentPriority + 1
	// priorityStep separates the ranks of adjacent priorities. Slacks, in
	// seconds, are limited to less than it.
	priorityStep = 1e4
	// lateOffset puts the ranks of late jobs above those of all other jobs.
	lateOffset = priorityStep * lateClass
)

// classesPerOctave is the number of size classes of LeftOverSlowdown per
// doubling of the size.
const classesPerOctave = 6

// orderNames holds the names used in settings and reports, indexed by Order.
var orderNames = [...]string{"fifo", "fewest-left", "left-over-age", "left-over-slowdown", "urgent"}

// String returns the name of the order in settings.
func (o Order) String() string {
	if int(o) < len(orderNames) {
		return orderNames[o]
	}
	return fmt.Sprintf("order(%d)", uint8(o))
}

// ParseOrder parses a name as returned by String.
func ParseOrder(s string) (Order, error) {
	for i, name := range orderNames {
		if name == s {
			return Order(i), nil
		}
	}
	return 0, fmt.Errorf("order %q: valid are %q", s, orderNames)
}

// class returns the class of a job. Within a class the job with the lowest key
// ranks first.
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

// runTime returns the job's longest declared run time, or defaultRunTime if
// there is none.
func (j *Job) runTime() time.Duration {
	if j.LongestDeclared <= 0 {
		return defaultRunTime
	}
	return j.LongestDeclared
}

// TaskRunTime returns the run time that is counted for each task of the job.
func (j *Job) TaskRunTime() time.Duration { return j.runTime() }

// Rank returns the rank of a job at the given time.
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

// urgency returns the rank of a job under Urgent.
func (j *Job) urgency(now time.Duration) float64 {
	slack := (j.StartBy - now).Seconds()
	slack = min(max(slack, -priorityStep/2+1), priorityStep/2-1) + priorityStep/2
	rank := float64(min(j.Priority, maxUrgentPriority))*priorityStep + slack
	if j.late {
		rank += lateOffset
	}
	return rank
}

// key returns the value that orders jobs within a class, lowest first.
func (o Order) key(j *Job) time.Duration {
	if o == Urgent {
		return j.StartBy
	}
	return j.Arrived
}
