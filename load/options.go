// Package load is an open-loop load generator for entries. It sends submissions
// at their intended times whether or not earlier ones were answered, checks every
// answer, and reports response times divided by the ideal response time.
// The ideal is the longest run time among the tasks plus one round trip.
package load

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/fireflytray/fireflytray/load/workload"
)

// Options configure a load run.
type Options struct {
	// Entries are the base URLs of the entries; submissions are sent to them
	// round-robin.
	Entries []string
	Service string
	Load    workload.Config
	// Duration is the period during which submissions are sent.
	Duration time.Duration
	// Warmup is the first part of the run, whose submissions are excluded from
	// the response time statistics. Their answers are checked like all others.
	Warmup time.Duration
	// Drain bounds the wait for answers after Duration has passed.
	Drain time.Duration
	// Deadline is sent with every submission; zero uses the service's default.
	Deadline time.Duration
	// RoundTrip is the network round trip included in the ideal response time;
	// zero measures it with requests to /healthz.
	RoundTrip time.Duration
	// Idempotent marks requests as idempotent.
	Idempotent bool
	// Work selects how the stand-in upstream runs a task: sleep or cpu; empty
	// uses its default.
	Work string
	// MaxInFlight bounds unanswered submissions. Submissions over the bound are
	// counted as not sent.
	MaxInFlight int
	// Upstreams are the base URLs of stand-in upstreams. Their journals of task
	// starts are checked after the run for tasks started more than once.
	Upstreams []string
	// Metrics are the URLs of Prometheus endpoints whose traffic counters are
	// read before and after the run.
	Metrics []string
	// Progress receives one line per second; nil discards it.
	Progress io.Writer
}

// Defaults of Options.
const (
	DefaultDuration    = 60 * time.Second
	DefaultDrain       = 60 * time.Second
	DefaultMaxInFlight = 20_000
)

func (o *Options) setDefaults() {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.Drain == 0 {
		o.Drain = DefaultDrain
	}
	if o.MaxInFlight == 0 {
		o.MaxInFlight = DefaultMaxInFlight
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
}

func (o *Options) check() error {
	if len(o.Entries) == 0 {
		return errors.New("load: no entry URL given")
	}
	for _, e := range o.Entries {
		if u, err := url.Parse(e); err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("load: entry %q: want a URL such as http://127.0.0.1:8080", e)
		}
	}
	if o.Service == "" {
		return errors.New("load: no service given")
	}
	if o.Warmup < 0 || o.Warmup >= o.Duration {
		return errors.New("load: warm-up must not be negative and must be shorter than the duration")
	}
	return o.Load.Check()
}
