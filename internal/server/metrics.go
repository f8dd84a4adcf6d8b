package server

import (
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// reportPeriod is the period after which the metrics address shows new values of counters.
const reportPeriod = 2 * time.Second

// updateGauges sets the gauges to the current state.
func (d *Daemon) updateGauges() {
	s := d.metrics.Scope()
	s.Gauge("requests-active").Update(float64(d.forwarder.Active()))
	s.Gauge("response-memory-bytes").Update(float64(d.forwarder.ResponseBytes()))
	s.Gauge("config-version").Update(float64(d.catalog.Current().Version()))
	s.Gauge("replicas").Update(float64(d.tracker.Len()))
	s.Gauge("replicas-limited").Update(float64(d.placements.LimitedReplicas()))
	suspects, condemned := d.isolator.Counts()
	s.Gauge("requests-suspect").Update(float64(suspects))
	s.Gauge("requests-condemned").Update(float64(condemned))
	s.Gauge("store-away-seconds").Update(d.store.OutageDuration().Seconds())
	s.Gauge("listeners-waiting").Update(float64(d.acceptor.Waiting()))
	s.Gauge("accept-failures").Update(float64(d.acceptor.Failures()))
	s.Gauge("log-lines-dropped").Update(float64(d.logger.Dropped()))
	s.Gauge("log-lines-unwritten").Update(float64(d.logger.Unwritten()))
	s.Gauge("panics").Update(float64(supervisor.Panics()))
	s.Gauge("loops-restarted").Update(float64(supervisor.Restarts()))
	c := d.forwarder.Connections()
	s.Gauge("connections-dialed").Update(float64(c.Dialed))
	s.Gauge("connections-detoured").Update(float64(c.Detoured))
	s.Gauge("tunnels-served").Update(float64(d.tunnelService.Active()))
	cutOffSeconds := 0.0
	if since, cut := d.conns.CutOff(); cut {
		cutOffSeconds = time.Since(since).Seconds()
	}
	s.Gauge("replicas-cut-off-seconds").Update(cutOffSeconds)
	s.Gauge("connections-reused").Update(float64(c.Reused))
	s.Gauge("exchanges-failed").Update(float64(c.Failed))
	s.Gauge("answers-foreign").Update(float64(c.Foreign))
}
