package server

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is how often counters reach the metrics address.
const reportPeriod = 2 * time.Second

// metrics is the daemon's metrics in the Prometheus form.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

func newMetrics() *metrics {
	g := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pimentorail", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &metrics{scope: scope, reporter: r}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *metrics) update(d *Daemon) {
	m.scope.Gauge("requests-active").Update(float64(d.forwarder.Active()))
	m.scope.Gauge("config-version").Update(float64(d.catalog.Current().Version()))
	m.scope.Gauge("replicas").Update(float64(d.tracker.Len()))
	m.scope.Gauge("store-away-seconds").Update(d.store.Away().Seconds())
	m.scope.Gauge("log-lines-dropped").Update(float64(d.recorder.Dropped()))
	c := d.forwarder.Connections()
	m.scope.Gauge("connections-dialed").Update(float64(c.Dialed))
	m.scope.Gauge("connections-reused").Update(float64(c.Reused))
	m.scope.Gauge("exchanges-failed").Update(float64(c.Failed))
	m.scope.Gauge("answers-foreign").Update(float64(c.Foreign))
}
