// Package metrics sets up the metrics of a process: a tally scope whose values are
// exported in Prometheus format.
package metrics

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/fireflytray/fireflytray/internal/netlisten"
)

const (
	namespace         = "fireflytray"
	reportInterval    = time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = time.Second
	// writeTimeout bounds one answer, idleTimeout the wait for a further request.
	writeTimeout = 10 * time.Second
	idleTimeout  = time.Minute
	// maxConnections bounds the open connections, maxHeaderBytes the headers of a request.
	maxConnections = 32
	maxHeaderBytes = 16 << 10
	// Path is the HTTP path at which Serve exports the metrics.
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

// New returns a root whose metrics are labelled with the process's role, id and
// failure domain. It calls onError for each metric that can't be registered.
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

// sanitizer returns options that also allow '_', '-' and '.' in tag values, so that
// they are exported unchanged. Process ids and failure domains are validated with
// the settings, and reasons are constants.
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

// CounterFunc registers a counter that reads its value from a function.
func (r *Root) CounterFunc(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: name, Help: help, ConstLabels: r.tags,
	}, value))
}

// Handler returns the handler that exports the metrics. Its values lag by at most
// one second.
func (r *Root) Handler() http.Handler { return r.handler }

// Close reports the remaining values and stops reporting.
func (r *Root) Close() error { return r.closer.Close() }

// Serve exports the metrics on addr until ctx ends. It returns once the scrapes under
// way are answered, for which they have shutdownTimeout.
func (r *Root) Serve(ctx context.Context, addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: listen %s: %w", addr, err)
	}
	refused := r.scope.Counter("metrics_connections_refused")
	warn := sync.OnceFunc(func() {
		log.Warn("a bound of the metrics page was reached, further refusals are only counted", "addr", addr, "connections_limit", maxConnections)
	})
	ln = netlisten.Limit(ln, maxConnections, func() { refused.Inc(1); warn() })
	mux := http.NewServeMux()
	mux.Handle(Path, r.handler)
	server := &http.Server{
		Handler: mux, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	shutdown := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdown <- server.Shutdown(end)
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("metrics: serve %s: %w", addr, err)
	}
	if err := <-shutdown; err != nil {
		return fmt.Errorf("metrics: shut down %s: %w", addr, errors.Join(err, server.Close()))
	}
	return nil
}
