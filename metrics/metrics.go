// Package metrics is the root of a process's metrics: a tally scope that is
// reported to a Prometheus page.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	namespace         = "fireflytray"
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
	// Path is where Serve shows the page.
	Path = "/metrics"
)

// Root holds the metrics of one process.
type Root struct {
	scope    tally.Scope
	registry *prometheus.Registry
	tags     map[string]string
	closer   io.Closer
	handler  http.Handler
}

// New returns a root whose metrics carry the process's role, id and failure
// domain. OnError is told of metrics that can't be registered.
func New(role, id, domain string, onError func(error)) *Root {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: onError,
	})
	tags := map[string]string{"role": role, "id": id, "domain": domain}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 namespace,
		Tags:                   tags,
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        sanitizer(),
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Root{scope: scope, registry: registry, tags: tags, closer: closer, handler: reporter.HTTPHandler()}
}

// sanitizer keeps tag values as they are: process ids and failure domains are
// checked by their settings, reasons are constants.
func sanitizer() *tally.SanitizeOptions {
	opts := tallyprom.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'_', '-', '.'},
	}
	return &opts
}

// Scope returns the root scope.
func (r *Root) Scope() tally.Scope { return r.scope }

// CounterFunc shows a count that is kept elsewhere.
func (r *Root) CounterFunc(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: r.tags,
	}, value))
}

// Handler returns the Prometheus page; it lags by at most a second.
func (r *Root) Handler() http.Handler { return r.handler }

// Close reports what is left and stops.
func (r *Root) Close() error { return r.closer.Close() }

// Serve shows the page on addr until ctx ends.
func (r *Root) Serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: listen %s: %w", addr, err)
	}
	mux := http.NewServeMux()
	mux.Handle(Path, r.handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		server.Shutdown(end)
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: serve %s: %w", addr, err)
	}
	return nil
}
