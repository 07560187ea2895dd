package task

import "time"

// Submission is a caller's request for work: a single request, or a job of many
// tasks.
type Submission struct {
	Service string
	Team    string
	// Job is set for a job; a request has exactly one task.
	Job   bool
	Tasks []Spec
	// Idempotent allows a request that may have run to be retried, unless it has
	// an IdempotencyKey. It has no effect on the tasks of a job.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key; empty for none.
	IdempotencyKey string
	// Restart allows a failed task of a job to be run again once the previous run
	// has certainly ended. MaxAttempts bounds the runs of one task that end with
	// an upstream error; runs that were cut off or stalled don't count.
	Restart     bool
	MaxAttempts uint32
	// Priority orders submissions of one service, 0 first.
	Priority uint32
	// Objective is the latency objective: the time within which an answer has
	// its full value to the caller; zero if unknown.
	Objective time.Duration
	// Route is the route on which the submission arrived; empty if it came
	// through the native submission interface. Only a submission with a route
	// may have no team.
	Route string
	// Ref is the caller's own reference for the submission, for logs.
	Ref string
	// Deadline bounds the time to the answer; zero selects the service's
	// deadline.
	Deadline time.Duration
}

// Answer is the final answer to a submission. There is exactly one.
type Answer struct {
	ID SubmissionID
	// State is Complete only if every task completed. NotRun means that no
	// task started.
	State  State
	Reason Reason
	// Detail is a human-readable sentence.
	Detail string
	// RetryAfter is the delay before a retry; zero if a retry won't help.
	RetryAfter time.Duration
	// Outcomes has one entry per task, in the caller's order, if State is
	// Complete; otherwise it is empty, so that no answer is partial.
	Outcomes []Outcome
	// MaxRunTime is the longest run time among the tasks.
	MaxRunTime time.Duration
	// QueueTime is the time until the submission's last task was first placed on
	// an agent; zero if that never happened.
	QueueTime time.Duration
	// Messages counts the inter-process messages sent for the submission; Wasted
	// counts those that did not contribute to the outcome of any task.
	Messages uint32
	Wasted   uint32
	// Replayed is set if the outcome was recorded by an earlier submission with
	// the same idempotency key.
	Replayed bool
}
