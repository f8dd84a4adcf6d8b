package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// acceptTime is how long a stopping daemon takes requests that may last longer than the
	// daemon does. By then the balancer has asked it twice whether it is ready.
	acceptTime = 2800 * time.Millisecond
	// shutdownDelay is how long a stopping daemon accepts connections and keeps idle ones.
	shutdownDelay = 3500 * time.Millisecond
	// settleMargin is the part of the grace time in which budgets are settled even if
	// requests are still in progress.
	settleMargin = 700 * time.Millisecond
	// limitsLeaveTimeout bounds the handover of limits.
	limitsLeaveTimeout = 200 * time.Millisecond
	// exitMargin is the end of the grace time, left for the process to exit.
	exitMargin = 250 * time.Millisecond
)

// stop reports unready, accepts requests until the balancer and the clients have left,
// finishes those in progress, settles the budgets, and removes the daemon's member row.
func (d *Daemon) stop() {
	began := time.Now()
	endsAt := began.Add(d.options.Grace - exitMargin)
	d.stopping.Store(true)
	d.acceptor.Stop()
	d.programs.Leave()
	d.placements.Leave()
	d.tunnelService.Leave()
	d.leaveLimits()
	d.forwarder.Shutdown(began.Add(min(acceptTime, d.options.Grace*2/5)), endsAt)
	d.logger.Event("server", "stop").Int("active", d.forwarder.Active()).End()
	if d.tomb.Alive() && d.listening.Load() {
		time.Sleep(min(shutdownDelay, d.options.Grace/2))
	}
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	err := d.finishRequests(ctx, settleMargin-exitMargin)
	s := &settlement{daemon: d, done: make(chan struct{})}
	go s.run(ctx)
	if err != nil {
		// Requests that are still in progress get all of the grace time.
		err = d.finishRequests(ctx, 0)
	}
	<-s.done
	d.tunnelService.Drain(ctx)
	d.logCounts()
	d.logger.Event("server", "stopped").Int("active", d.forwarder.Active()).Dur("took", time.Since(began)).Err(err).End()
	_ = d.readyServer.Close()
	if d.metricsServer != nil {
		_ = d.metricsServer.Close()
	}
	d.forwarder.Close()
	d.tomb.Kill(nil)
}

// leaveLimits hands over the accounts whose limits this daemon keeps. What a member does not take in time counts as
// that of one that was killed.
func (d *Daemon) leaveLimits() {
	ctx, cancel := context.WithTimeout(context.Background(), limitsLeaveTimeout)
	defer cancel()
	d.limits.Leave(ctx)
}

// finishRequests waits until all requests are finished, or until the given time before
// the deadline of the context.
func (d *Daemon) finishRequests(ctx context.Context, before time.Duration) error {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-before))
	defer cancel()
	d.clientConns.drain(d.clientServer)
	if err := d.clientConns.await(ctx); err != nil {
		return err
	}
	return d.clientServer.Shutdown(ctx)
}

// settlement returns the unused tokens of a stopping daemon and removes its member row.
type settlement struct {
	daemon *Daemon
	done   chan struct{}
}

func (s *settlement) run(ctx context.Context) {
	defer close(s.done)
	for _, step := range []func(context.Context){s.daemon.programs.Drain, s.daemon.budgets.Settle, s.daemon.relayer.Leave} {
		s.runStep(ctx, step)
	}
}

// runStep runs a step, whose panic does not keep the next one from running.
func (s *settlement) runStep(ctx context.Context, step func(context.Context)) {
	defer supervisor.Recover("server: settlement")
	step(ctx)
}
