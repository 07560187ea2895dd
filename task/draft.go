package task

import "time"

// Draft is a submission whose tasks are built once there is room for them.
type Draft struct {
	// Submission has no tasks.
	Submission
	// Count is the number of tasks, and PayloadBytes the size of the payload that they
	// share.
	Count, PayloadBytes int
	// Longest is the longest declared run time of a task.
	Longest time.Duration
	// Build returns the tasks.
	Build func() []Spec
}
