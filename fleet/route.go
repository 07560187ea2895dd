package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route leads requests for a host and a path prefix to a service. Of the routes
// of a host, the one with the longest prefix of the path applies.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is what runs the tasks of the route's jobs.
	Service string
	// Timeout bounds the time to an answer.
	Timeout time.Duration
	// TargetLatency and LatencyFactor make the latency objective: the factor
	// times a job's longest chain of work, and the target on top.
	TargetLatency time.Duration
	LatencyFactor float64
	// Priority orders routes that compete; 0 is the most urgent.
	Priority uint32
	// MaxAttempts bounds the runs of one task that end in failure.
	MaxAttempts uint32
	// Idempotent says that requests may be repeated.
	Idempotent bool
}

// Objective returns the latency objective of a job whose longest chain of work
// takes that long.
func (r *Route) Objective(work time.Duration) time.Duration {
	return time.Duration(r.LatencyFactor*float64(work)) + r.TargetLatency
}

// Routes finds the route of a request.
type Routes struct {
	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
}

// add stores a route; Find needs sort to be called after the last one.
func (r *Routes) add(route Route) {
	r.byHost[route.Host] = append(r.byHost[route.Host], &route)
}

func (r *Routes) sort() {
	for _, routes := range r.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Prefix, b.Prefix))
		})
	}
}

// Find returns the route of a request and the rest of its path after the
// prefix, or nil if no route leads anywhere.
func (r *Routes) Find(host, path string) (route *Route, rest string) {
	if r == nil {
		return nil, ""
	}
	for _, route := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, route.Prefix); ok {
			return route, rest
		}
	}
	return nil, ""
}

// Len returns the number of routes.
func (r *Routes) Len() int {
	n := 0
	if r == nil {
		return n
	}
	for _, routes := range r.byHost {
		n += len(routes)
	}
	return n
}
