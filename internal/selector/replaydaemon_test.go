package selector_test

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// replayAttempts and replayRuns are the replicas that a daemon tries for a request, and
	// those that may have run it.
	replayAttempts = 5
	replayRuns     = 2
	// confirmWait is how long a request that was broken off waits until it is known whether
	// its replica has ended, and confirmPoll the time between two checks.
	confirmWait = 250 * time.Millisecond
	confirmPoll = 50 * time.Millisecond
	// awayRetryAfter is the time after which a client is asked to come back if no replica
	// could be reached.
	awayRetryAfter = 250 * time.Millisecond
	// unreachedRetryAfter replaces it if as many replicas as are tried were away.
	unreachedRetryAfter = time.Second
	replayTimeout       = 10 * time.Second
)

// answer is what a client gets for one attempt.
type answer int

const (
	served answer = iota
	notRun
	broken
	condemned
)

// replayDaemon is a daemon with the decisions of a real one and without a network. Its serve
// does what package forwarder does for a repeatable request.
type replayDaemon struct {
	replay   *replay
	daemon   *daemon
	isolator *isolator.Isolator
}

// startReplayDaemon starts a daemon of a zone.
func (y *replay) startReplayDaemon(z *zone, zoneName, name string) *replayDaemon {
	lines := logger.Start(y.ctx, io.Discard)
	t := tracker.New(tracker.Options{OutageGrace: 2200 * time.Millisecond})
	d := &replayDaemon{replay: y, daemon: &daemon{zone: z, address: name}}
	z.daemons = append(z.daemons, d.daemon)
	d.daemon.selector = selector.Start(y.ctx, t, d.daemon, lines, selector.Options{Zone: zoneName, VM: name, Name: name + "-1", Zones: zonesOfDeployment})
	d.daemon.coordinator = d.daemon.selector.Coordinator()
	d.isolator = isolator.Start(y.ctx, y.store, lines, isolator.Options{Name: name + "-1", Crashed: y.hasEnded})
	follower.Start(y.ctx, y.store, d.isolator, follower.Options{Table: isolator.Table, LongPoll: 2 * time.Second, PollInterval: 150 * time.Millisecond, Timeout: 900 * time.Millisecond})
	follower.Start(y.ctx, y.store, &registry{t}, follower.Options{Table: replicaTable, PollInterval: 700 * time.Millisecond, Timeout: 900 * time.Millisecond, VerifyAfter: 2200 * time.Millisecond})
	return d
}

// serve sends a request to one replica after another, and returns the answer for the client
// with the time after which it is to come back.
func (d *replayDaemon) serve(q *replayRequest) (answer, time.Duration) {
	attempts, runs, waited, tried := 0, 0, time.Duration(0), map[string]bool{}
	deadline := time.Now().Add(replayTimeout)
	ctx, cancel := context.WithDeadline(d.replay.ctx, deadline)
	defer cancel()
	var busy *selector.BusyError
	for attempts < replayAttempts {
		v := d.isolator.Check(q.mark)
		if v.Condemned {
			return condemned, 0
		}
		c, err := d.daemon.selector.Choose(ctx, selector.Request{
			Service: selector.Service{Name: service}, Work: ranker.Work{Bytes: 300}, Tried: tried, Deadline: deadline,
			Suspicion: selector.Suspicion{Fingerprint: q.mark.Start, Crashes: v.Crashes},
		})
		if errors.As(err, &busy) && runs > 0 && waited < confirmWait {
			time.Sleep(confirmPoll)
			waited += confirmPoll
			continue
		}
		if err != nil {
			break
		}
		attempts++
		tried[c.Instance] = true
		if d.try(c, q) == nil {
			return served, 0
		}
		if errors.Is(q.last, errBrokeOff) {
			if runs++; runs >= replayRuns {
				return broken, 0
			}
		}
	}
	switch {
	case runs > 0:
		return broken, 0
	case busy != nil:
		return notRun, max(awayRetryAfter, busy.RetryAfter())
	case attempts >= replayAttempts:
		return notRun, unreachedRetryAfter
	}
	return notRun, awayRetryAfter
}

// try sends a request to the chosen replica.
func (d *replayDaemon) try(c *selector.Choice, q *replayRequest) error {
	load, err := d.replay.replica(c.Replica.ID).serve(q)
	switch q.last = err; {
	case err == nil:
		c.ReportLoad(load)
		d.isolator.Served(q.mark, time.Now())
		c.End(selector.Served)
	case errors.Is(err, errBrokeOff):
		d.isolator.BrokeOff(service, c.Instance, c.Replica.Address, q.mark)
		c.End(selector.Failed)
	case errors.Is(err, errRefused):
		c.End(selector.Refused)
	default:
		c.End(selector.Failed)
	}
	return err
}
