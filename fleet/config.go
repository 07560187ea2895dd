// Package fleet holds the configuration of the whole fleet: services, teams
// with their quotas, and retry policy, as a base with an overlay for each site.
package fleet

import (
	"time"
)

// Config is the configuration in force at one site, after its overlay.
type Config struct {
	// Index is the position of the change in the replicated log; it never
	// goes down. Zero is the built-in configuration of a new process.
	Index uint64
	// Digest is a hash over all sections of the base and every overlay.
	Digest   uint64
	Services map[string]Service
	Teams    map[string]Team
	// Routes lead callers' requests to services; see Route.
	Routes *Routes
	Retry  Retry
}

// Service is what callers may run.
type Service struct {
	Name string
	// MaxTasks bounds the tasks of one job.
	MaxTasks uint32
	// MaxBody bounds a request's body and a task's payload, in bytes.
	MaxBody uint32
	// Deadline bounds a request or job whose caller names none.
	Deadline time.Duration
	// MaxDeadline bounds what a caller may name.
	MaxDeadline time.Duration
	// MaxWaiting bounds the tasks that wait at one entry.
	MaxWaiting uint32
	// KeyKeep is how long an idempotency key is remembered.
	KeyKeep time.Duration
}

// Team is a tenant of the platform.
type Team struct {
	Name string
	// Weight is the team's share where teams compete.
	Weight uint32
	// Rate bounds the tasks a second of the whole team; zero means no bound.
	Rate float64
	// Burst is how many tasks may come at once above Rate.
	Burst float64
	// MaxRunning bounds the tasks in flight at one entry; zero means no bound.
	MaxRunning uint32
	// MaxKeys bounds the idempotency keys remembered for the team at a time.
	MaxKeys uint32
	// Services lists what the team may call; empty means all.
	Services []string
}

// Retry is the policy of retries.
type Retry struct {
	// Budget is the share of recent successes that may be retried, 0 to 1.
	Budget float64
	// MaxAttempts bounds the sends of one idempotent request.
	MaxAttempts uint32
}
