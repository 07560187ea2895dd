package task

import "time"

// Submission is what a caller asks for: one request, or a job of many tasks.
type Submission struct {
	Service string
	Team    string
	// Job is set for a job; a request has exactly one task.
	Job   bool
	Tasks []Spec
	// Idempotent allows a request that may have run to be sent again. Tasks of
	// a job start at most once whatever this says.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key; empty for none.
	IdempotencyKey string
	// Restart lets a task of a job whose run failed be run again, up to
	// MaxAttempts failed runs, once the run is surely over.
	Restart     bool
	MaxAttempts uint32
	// Priority orders submissions of one service, 0 first.
	Priority uint32
	// Objective is the time within which an answer is of full use; zero if
	// unknown.
	Objective time.Duration
	// Route is the route by which it came; empty for the callers' own
	// interface. Only a submission with a route may have no team.
	Route string
	// Ref is what the caller calls the submission, for logs.
	Ref string
	// Deadline bounds the time to the answer; zero takes the service's.
	Deadline time.Duration
}

// Answer is the one final answer to a submission.
type Answer struct {
	ID SubmissionID
	// State is Complete only if every task completed. NotRun means that no
	// task started.
	State  State
	Reason Reason
	// Detail is one sentence for people.
	Detail string
	// RetryAfter says when to come back; zero if coming back won't help.
	RetryAfter time.Duration
	// Outcomes has one entry a task, in the caller's order, if State is
	// Complete; it is empty otherwise, so that no answer is partial.
	Outcomes []Outcome
	// MaxRunTime is the longest run time among the tasks.
	MaxRunTime time.Duration
	// QueueTime is how long the submission waited until its last task was first
	// placed; zero if that never came.
	QueueTime time.Duration
	// Messages counts the messages between processes spent on the submission;
	// Wasted counts those of them that brought no task nearer its outcome.
	Messages uint32
	Wasted   uint32
	// Replayed is set if the outcome is that of an earlier submission with the
	// same idempotency key.
	Replayed bool
}
