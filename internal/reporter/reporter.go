package reporter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// Reporter collects metrics in a scope and serves them over HTTP.
type Reporter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a reporter whose handler shows new values once per period.
func New(period time.Duration) *Reporter {
	registry := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: reportConflict})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pimentorail", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, period)
	return &Reporter{scope: scope, closer: closer, reporter: r}
}

// reportConflict reports a metric that conflicts with another one and is left out. The library's
// default is a panic.
func reportConflict(err error) { supervisor.ReportError("reporter: metric", err) }

// Scope returns the scope in which metrics are created.
func (r *Reporter) Scope() tally.Scope { return r.scope }

// Handler returns a handler that serves the metrics.
func (r *Reporter) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close stops reporting the metrics of the scope.
func (r *Reporter) Close() error { return r.closer.Close() }
