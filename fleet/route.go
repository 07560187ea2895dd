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
	// byHost holds the routes of each host as it is written, longest prefix first.
	byHost map[string][]*Route
	// byName holds the routes of each host in its comparable form, in the order in which
	// Find takes them.
	byName map[string][]routeEntry
}

// routeEntry is a route with the comparable form of its prefix.
type routeEntry struct {
	*Route
	prefix string
}

// newRoutes returns the table of some routes.
func newRoutes(routes map[string]Route) *Routes {
	r := &Routes{byHost: map[string][]*Route{}, byName: map[string][]routeEntry{}}
	for _, name := range sortedKeys(routes) {
		route := routes[name]
		host := comparableHost(route.Host)
		r.byHost[route.Host] = append(r.byHost[route.Host], &route)
		r.byName[host] = append(r.byName[host], routeEntry{&route, ComparablePath(route.Prefix)})
	}
	for _, routes := range r.byHost {
		slices.SortFunc(routes, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), strings.Compare(a.Prefix, b.Prefix))
		})
	}
	for _, entries := range r.byName {
		slices.SortFunc(entries, compareForFind)
	}
	return r
}

// compareForFind orders routes of one host, longest prefix first. Of routes that differ by
// the case of their host only, which earlier builds have accepted, the one that these served
// comes first.
func compareForFind(a, b routeEntry) int {
	return cmp.Or(cmp.Compare(len(b.prefix), len(a.prefix)), cmp.Compare(len(b.Prefix), len(a.Prefix)),
		strings.Compare(a.Prefix, b.Prefix), strings.Compare(b.Host, a.Host), strings.Compare(a.Name, b.Name))
}

// Find returns the route of a request, whose path is as it was sent, and the part of the path
// after the prefix, or nil if no route matches. A host has no case. If no route names it with
// its port, those that name it without one apply.
func (r *Routes) Find(host, path string) (route *Route, rest string) {
	if r == nil {
		return nil, ""
	}
	host = comparableHost(host)
	if route, rest := find(r.byName[host], path); route != nil {
		return route, rest
	}
	if name, ok := withoutPort(host); ok {
		return find(r.byName[name], path)
	}
	return nil, ""
}

// find takes the longest comparable prefix. Of several of one length, the one with which the
// path begins as it was sent precedes.
func find(entries []routeEntry, path string) (route *Route, rest string) {
	plain := ComparablePath(path)
	shortest := 0
	for i := range entries {
		e := &entries[i]
		if len(e.prefix) < shortest {
			break
		}
		if rest, ok := e.restAsSent(path, plain); ok {
			return e.Route, rest
		}
		if after, ok := strings.CutPrefix(plain, e.prefix); ok && route == nil {
			route, rest, shortest = e.Route, after, len(e.prefix)
		}
	}
	return route, rest
}

// restAsSent returns what follows the prefix in a path that begins with it as it was sent,
// without escapes. Dots after the prefix may not leave it.
func (e *routeEntry) restAsSent(path, plain string) (rest string, ok bool) {
	sent, ok := strings.CutPrefix(path, e.Prefix)
	if !ok {
		return "", false
	}
	if rest, ok := strings.CutPrefix(plain, e.prefix); ok {
		return rest, true
	}
	// The prefix ends within an escape of the path.
	return sent, !strings.Contains(sent, "/")
}

// list returns all routes, ordered by host, prefix and name.
func (r *Routes) list() []Route {
	var out []Route
	for _, name := range sortedKeys(r.byName) {
		for _, e := range r.byName[name] {
			out = append(out, *e.Route)
		}
	}
	return out
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
