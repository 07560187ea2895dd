// Package hold decides which requests wait at an entry that has just started.
//
// The load pattern that it answers: all hosts have lost power and come back at
// once. An entry serves callers some tenths of a second before it has a
// configuration and a session with an agent, and all callers that lost their
// requests send them again in that time. Refused, they would come back after the
// time that most of them have; held, they are late but served.
//
// The package reads no clock; the caller passes the time.
package hold

import (
	"cmp"
	"slices"
	"time"
)

// Limits bound what is held.
type Limits struct {
	// Wait is the longest time for which a request is held; zero holds none.
	Wait time.Duration
	// Count and Bytes bound the requests held at a time and their bodies.
	Count, Bytes int
	// RunReserve is the part of the caller's time that a held request keeps for its run
	// and the answer; zero means DefaultRunReserve.
	RunReserve time.Duration
}

// DefaultRunReserve is the time for a short run and its answer.
const DefaultRunReserve = 100 * time.Millisecond

const (
	// patience is the time after the start during which requests are held, in
	// units of Limits.Wait. An entry that has no configuration by then is cut off
	// from the control hosts, and its callers are served sooner elsewhere.
	patience = 2
)

// Request is a request for a job.
type Request struct {
	// Host and Path identify the route.
	Host, Path string
	Bytes      int
	// ArrivedAt is when the request reached this host.
	ArrivedAt time.Duration
	// Left is how long the caller waits after that; zero if unknown.
	Left time.Duration

	held bool
}

// Turn is that of a request in the order in which held requests are admitted. Both
// functions are called once or more.
type Turn struct {
	// Missed is set if the request can be served now, but has waited so long for its
	// turn that others are to be served instead.
	Missed bool
	// Submitted lets the next request be admitted.
	Submitted func()
	// Answered makes room for another request.
	Answered func()
}

// End ends the turn.
func (t Turn) End() {
	t.Submitted()
	t.Answered()
}

// Verdict is what to do with a request that arrives.
type Verdict uint8

const (
	// Pass handles the request as it would be without this package.
	Pass Verdict = iota
	// Hold keeps the request until it is released or Until has come.
	Hold
)

// Gate holds requests until they can be served. It is not safe for concurrent use.
type Gate struct {
	limits Limits
	// until is when the last request is released.
	until time.Duration
	// route returns the service of a request; nil without a configuration.
	route func(*Request) (service string, ok bool)
	// reached holds the services of which an agent has been connected.
	reached map[string]bool
	held    []*Request // in order of arrival
	bytes   int
}

// New returns the gate of an entry that starts now.
func New(now time.Duration, l Limits) *Gate {
	return &Gate{limits: l, until: now + patience*l.Wait, reached: make(map[string]bool)}
}

// Arrive decides about a request.
func (g *Gate) Arrive(now time.Duration, r *Request) Verdict {
	if now >= g.Until(r) || g.servable(r) {
		return Pass
	}
	if len(g.held) >= g.limits.Count || g.bytes+r.Bytes > g.limits.Bytes {
		return Pass
	}
	r.held = true
	g.held = append(g.held, r)
	g.bytes += r.Bytes
	return Hold
}

// Until returns when a request is released at the latest. What is left of its
// caller's time then is too little for more waiting.
func (g *Gate) Until(r *Request) time.Duration {
	at := min(g.until, r.ArrivedAt+g.limits.Wait)
	if r.Left > 0 {
		at = min(at, r.ArrivedAt+r.Left-cmp.Or(g.limits.RunReserve, DefaultRunReserve))
	}
	return at
}

// servable reports whether there is no reason to hold a request: its route is
// unknown to the configuration, or an agent of its service has been connected.
func (g *Gate) servable(r *Request) bool {
	if g.route == nil {
		return false
	}
	service, ok := g.route(r)
	return !ok || g.reached[service]
}

// Configured records the configuration in force and returns the requests that it
// releases, in order of arrival.
func (g *Gate) Configured(route func(*Request) (service string, ok bool)) []*Request {
	g.route = route
	return g.release()
}

// Reached records that an agent of a service is connected and returns the
// requests that this releases, in order of arrival.
func (g *Gate) Reached(service string) []*Request {
	if service == "" || g.reached[service] {
		return nil
	}
	g.reached[service] = true
	return g.release()
}

func (g *Gate) release() []*Request {
	var out []*Request
	for _, r := range slices.Clone(g.held) {
		if g.servable(r) {
			g.Leave(r)
			out = append(out, r)
		}
	}
	return out
}

// Leave ends the hold of a request and reports whether it was held.
func (g *Gate) Leave(r *Request) bool {
	if !r.held {
		return false
	}
	r.held = false
	g.bytes -= r.Bytes
	g.held = slices.DeleteFunc(g.held, func(o *Request) bool { return o == r })
	return true
}

// Close holds no more requests and returns those that were held.
func (g *Gate) Close() []*Request {
	g.until = 0
	out := g.held
	g.held, g.bytes = nil, 0
	for _, r := range out {
		r.held = false
	}
	return out
}

// Held returns the number of requests held.
func (g *Gate) Held() int { return len(g.held) }
