package runner

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/reporter"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const gaugePeriod = time.Second

// metrics serves the daemon's metrics in the Prometheus text format.
type metrics struct {
	*reporter.Reporter
	daemon *Daemon
	tomb   *tomb.Tomb
}

func newMetrics() *metrics { return &metrics{Reporter: reporter.New(gaugePeriod)} }

// start updates the gauges until the context ends.
func (m *metrics) start(ctx context.Context, d *Daemon) {
	m.daemon = d
	m.tomb, _ = tomb.WithContext(ctx)
	m.tomb.Go(supervisor.Loop(m.tomb, "runner: gauges", m.run))
}

func (m *metrics) run() error {
	for {
		select {
		case <-time.After(gaugePeriod):
			m.update()
		case <-m.tomb.Dying():
			return m.Close()
		}
	}
}

func (m *metrics) update() {
	d := m.daemon
	c := d.journal.Counts()
	m.Scope().Gauge("journal-batches").Update(float64(c.Batches))
	m.Scope().Gauge("journal-records").Update(float64(c.Records))
	m.Scope().Gauge("journal-bytes").Update(float64(c.Bytes))
	m.Scope().Gauge("rpc-calls").Update(float64(d.pool.Calls()))
	m.Scope().Gauge("partitions").Update(float64(len(d.leaser.Held())))
	m.Scope().Gauge("members").Update(float64(len(d.leaser.Members())))
	m.Scope().Gauge("config-version").Update(float64(d.watcher.Snapshot().Version()))
	// config-sure is 1 while the configuration in force is confirmed.
	m.Scope().Gauge("config-sure").Update(gaugeValue(d.watcher.Confirmed()))
	m.Scope().Gauge("lease-valid").Update(gaugeValue(d.leaser.Valid()))
	// store-away is 1 while the journal can't commit; other parts may still reach the store.
	m.Scope().Gauge("store-away").Update(gaugeValue(d.journal.Unavailable()))
	m.Scope().Gauge("calls-active").Update(float64(d.conductor.InFlight()))
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
