package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	// maxReached is the number of replicas that are dialed to find out whether this daemon is
	// cut off.
	maxReached = 4
	// reachTimeout bounds these dials. Within a region a connection takes a few milliseconds.
	reachTimeout = 150 * time.Millisecond
)

// reach finds out whether this daemon reaches any replica besides one that refused it.
type reach struct {
	daemon *Daemon
	// address is that of the replica that refused the connection.
	address string
}

// run dials a few replicas at the same time and returns true once one accepts.
func (r *reach) run(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	list := r.daemon.tracker.Sample(maxReached, r.address)
	results := make(chan bool, len(list))
	for _, x := range list {
		go (&reachDial{reach: r, replica: x, results: results}).run(ctx)
	}
	for range list {
		if <-results {
			return true
		}
	}
	return false
}

// reachDial dials one replica.
type reachDial struct {
	*reach
	replica *tracker.Replica
	results chan<- bool
}

func (d *reachDial) run(ctx context.Context) {
	c, err := d.daemon.conns.DialDirectly(ctx, d.replica.Instance(), d.replica.Address)
	if err == nil {
		_ = c.Close()
	}
	d.results <- err == nil
}
