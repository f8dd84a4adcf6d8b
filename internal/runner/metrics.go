package runner

import (
	"context"
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"gopkg.in/tomb.v2"
)

const gaugePeriod = time.Second

// metrics is the daemon's metrics in the Prometheus form.
type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
	daemon   *Daemon
	tomb     *tomb.Tomb
}

func newMetrics() *metrics {
	g := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pimentorail", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, gaugePeriod)
	return &metrics{scope: scope, closer: closer, reporter: r}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// watch updates the gauges until the context ends.
func (m *metrics) watch(ctx context.Context, d *Daemon) {
	m.daemon = d
	m.tomb, _ = tomb.WithContext(ctx)
	m.tomb.Go(m.run)
}

func (m *metrics) run() error {
	for {
		select {
		case <-time.After(gaugePeriod):
			m.update()
		case <-m.tomb.Dying():
			return m.closer.Close()
		}
	}
}

func (m *metrics) update() {
	d := m.daemon
	c := d.journal.Counts()
	m.scope.Gauge("journal-batches").Update(float64(c.Batches))
	m.scope.Gauge("journal-records").Update(float64(c.Records))
	m.scope.Gauge("journal-bytes").Update(float64(c.Bytes))
	m.scope.Gauge("rpc-calls").Update(float64(d.pool.Calls()))
	m.scope.Gauge("partitions").Update(float64(len(d.leaser.Held())))
	m.scope.Gauge("members").Update(float64(len(d.leaser.Members())))
	m.scope.Gauge("config-version").Update(float64(d.watcher.Snapshot().Version()))
	m.scope.Gauge("config-sure").Update(flag(d.watcher.Sure()))
	m.scope.Gauge("lease-valid").Update(flag(d.leaser.Valid()))
	m.scope.Gauge("store-away").Update(flag(d.journal.Away()))
	m.scope.Gauge("calls-active").Update(float64(d.conductor.Active()))
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
