package server

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
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

// run implements tunneler.Reach. It dials a few replicas at the same time and ends once one
// accepts. Replicas that lately ended say nothing if they refuse, and if there are only such,
// this daemon is taken to reach replicas: it did when it found that they had ended.
func (r *reach) run(ctx context.Context) (reached, others bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	list := r.daemon.tracker.Sample(maxReached, r.address)
	results := make(chan reachResult, len(list))
	for _, x := range list {
		go (&reachDial{reach: r, replica: x, results: results}).run(ctx)
	}
	ended := 0
	for range list {
		switch <-results {
		case reachAccepted:
			return true, true
		case reachEnded:
			ended++
		}
	}
	return len(list) > 0 && ended == len(list), len(list) > 0
}

// reachResult is what one of the dials shows.
type reachResult int

const (
	reachFailed reachResult = iota
	reachAccepted
	// reachEnded is the result at a replica that had lately ended and is not back.
	reachEnded
)

// reachDial dials one replica.
type reachDial struct {
	*reach
	replica *tracker.Replica
	results chan<- reachResult
}

func (d *reachDial) run(ctx context.Context) {
	result := reachFailed
	defer func() { d.results <- result }()
	defer supervisor.Recover("server: dial of a replica")
	c, err := d.daemon.conns.DialDirectly(ctx, d.replica.Instance(), d.replica.Address)
	switch {
	case err == nil:
		_ = c.Close()
		result = reachAccepted
	case d.daemon.endings.has(d.replica.Address, time.Now()):
		result = reachEnded
	}
}
