// Package load is an open-loop load tool for entries: it sends submissions at
// their intended times whether or not earlier ones were answered, checks every
// answer, and reports response times over the ideal.
package load

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"time"

	"github.com/fireflytray/fireflytray/load/workload"
)

// Options say what to load and how.
type Options struct {
	// Entries are base URLs; submissions go to them in turn.
	Entries []string
	Service string
	Load    workload.Config
	// Duration is how long submissions are sent.
	Duration time.Duration
	// Warmup leaves the submissions of its first part out of the times; their
	// answers are checked like all others.
	Warmup time.Duration
	// Drain bounds the wait for answers after the last submission.
	Drain time.Duration
	// Deadline is named on every submission; zero for the service's own.
	Deadline time.Duration
	// RoundTrip is part of the ideal; zero measures it on the health page.
	RoundTrip time.Duration
	// Idempotent marks requests.
	Idempotent bool
	// Work is what the stand-in upstream does: sleep or cpu; empty for its
	// default.
	Work string
	// MaxInFlight bounds unanswered submissions; more are counted, not sent.
	MaxInFlight int
	// Upstreams are base URLs of stand-in upstreams whose journals are checked
	// at the end for tasks started twice.
	Upstreams []string
	// Metrics are URLs of Prometheus pages whose message counters are read
	// before and after.
	Metrics []string
	// Progress gets a line a second; nil for none.
	Progress io.Writer
}

// The defaults of Options.
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
		return errors.New("load: no entry to load")
	}
	for _, e := range o.Entries {
		if u, err := url.Parse(e); err != nil || u.Scheme != "http" || u.Host == "" {
			return fmt.Errorf("load: entry %q: want a URL such as http://127.0.0.1:8080", e)
		}
	}
	if o.Service == "" {
		return errors.New("load: no service to load")
	}
	if o.Warmup < 0 || o.Warmup >= o.Duration {
		return errors.New("load: the warm-up must be shorter than the run")
	}
	return o.Load.Check()
}
