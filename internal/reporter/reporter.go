package reporter

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Reporter collects metrics in a scope and serves them.
type Reporter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a reporter whose metrics reach its handler once a period.
func New(period time.Duration) *Reporter {
	g := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pimentorail", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, period)
	return &Reporter{scope: scope, closer: closer, reporter: r}
}

// Scope returns where metrics are made.
func (r *Reporter) Scope() tally.Scope { return r.scope }

// Handler serves the metrics as text.
func (r *Reporter) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close ends the reporting.
func (r *Reporter) Close() error { return r.closer.Close() }
