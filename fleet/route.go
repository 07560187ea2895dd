package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Route maps requests for a host and a path prefix to a service. Of the routes of
// a host, the one with the longest prefix that matches the path applies.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Service is the name of the service that runs the tasks of the route's jobs.
	Service string
	// Timeout bounds the time until the response.
	Timeout time.Duration
	// TargetLatency and LatencyFactor define the latency objective of a job:
	// LatencyFactor times the job's critical path, plus TargetLatency.
	TargetLatency time.Duration
	LatencyFactor float64
	// Priority orders competing routes; 0 is the highest priority.
	Priority uint32
	// MaxAttempts bounds the runs of one task that end with an upstream error.
	MaxAttempts uint32
	// Idempotent reports whether requests may be repeated.
	Idempotent bool
}

// Objective returns the latency objective of a job whose critical path takes the
// time work.
func (r *Route) Objective(work time.Duration) time.Duration {
	return time.Duration(r.LatencyFactor*float64(work)) + r.TargetLatency
}

// Routes finds the route of a request.
type Routes struct {
	// byHost holds the routes of each host, longest prefix first.
	byHost map[string][]*Route
}

// add stores a route. After the last add, sort must be called before Find.
func (r *Routes) add(route Route) {
	r.byHost[route.Host] = append(r.byHost[route.Host], &route)
}

// sort orders the routes of each host by prefix, longest first.
func (r *Routes) sort() {
	for _, routes := range r.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Prefix, b.Prefix))
		})
	}
}

// Find returns the route of a request and the part of its path after the prefix,
// or nil if no route matches.
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
