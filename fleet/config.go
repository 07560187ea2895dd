// Package fleet holds the configuration of the whole fleet: services, teams
// with their quotas, routes, and the retry policy, as a base with an overlay for
// each site.
package fleet

import (
	"time"
)

// Config is the effective configuration of one site: the defaults, the base and
// the overlay of the site.
type Config struct {
	// Index is the position of the change in the replicated log; it never
	// decreases. Zero marks the built-in defaults, which a process uses until it
	// receives a configuration.
	Index uint64
	// Digest is a hash over all sections of the base and every overlay.
	Digest   uint64
	Services map[string]Service
	Teams    map[string]Team
	// Routes maps callers' requests to services; see Route.
	Routes *Routes
	Retry  Retry
	// Limits are those of the published document.
	Limits RequestLimits
	// Domains holds the failure domains for which operators have given an order.
	Domains map[string]Domain
}

// Domain is the state that operators have ordered for a failure domain.
type Domain struct {
	Name string
	// Evacuated domains get no new work.
	Evacuated bool
}

// Evacuated reports whether a failure domain gets no new work. A process without
// a configuration knows of no evacuation.
func (c *Config) Evacuated(domain string) bool {
	return c != nil && c.Domains[domain].Evacuated
}

// Service is a kind of work that callers may request, with its limits.
type Service struct {
	Name string
	// MaxTasks bounds the number of tasks in one job.
	MaxTasks uint32
	// MaxBody bounds a request's body and a task's payload, in bytes.
	MaxBody uint32
	// Deadline applies to a request or job whose caller sets none.
	Deadline time.Duration
	// MaxDeadline bounds the deadline that a caller may set.
	MaxDeadline time.Duration
	// MaxWaiting bounds the tasks waiting at one entry.
	MaxWaiting uint32
	// KeyKeep is the retention period of an idempotency key.
	KeyKeep time.Duration
}

// Team is a tenant of the platform.
type Team struct {
	Name string
	// Weight is the team's share when teams compete for capacity.
	Weight uint32
	// Rate bounds the whole team's tasks per second; zero means no bound.
	Rate float64
	// Burst is the number of tasks that may arrive at once in excess of Rate.
	Burst float64
	// MaxRunning bounds the tasks in flight at one entry; zero means no bound.
	MaxRunning uint32
	// MaxKeys bounds the idempotency keys stored for the team at a time.
	MaxKeys uint32
	// Services lists the services that the team may call; empty means all.
	Services []string
}

// Retry is the retry policy.
type Retry struct {
	// Budget bounds retries to a share of recent successes, from 0 to 1.
	Budget float64
	// MaxAttempts bounds the sends of one idempotent request.
	MaxAttempts uint32
}
