package relayer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// neighboursPeriod is how long the list of the daemons of other zones is used.
	neighboursPeriod = 10 * time.Second
	// neighboursTimeout bounds one read of the list.
	neighboursTimeout = 500 * time.Millisecond
	// maxNeighbours bounds the daemons that are read for each zone.
	maxNeighbours = 100
)

// neighbours are the daemons of other zones, read only while they are needed.
type neighbours struct {
	mu     sync.Mutex
	list   []assigner.Peer
	readAt time.Time
}

// Elsewhere returns the daemons of other zones. It reads them from the store if they were not
// read lately, and returns those that are known if the store does not answer.
func (x *Relayer) Elsewhere(ctx context.Context) []assigner.Peer {
	n := &x.neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.readAt) < neighboursPeriod {
		return n.list
	}
	ctx, cancel := context.WithTimeout(ctx, neighboursTimeout)
	defer cancel()
	var list []assigner.Peer
	var failure error
	for _, zone := range x.options.OtherZones {
		rows, err := x.Scan(ctx, storer.Prefix(membersTable(zone)), "", maxNeighbours)
		if err != nil {
			failure = err
		}
		for _, r := range rows {
			var m member
			if json.Unmarshal(r.Value, &m) == nil && m.Address != "" {
				list = append(list, assigner.Peer{Name: r.Name(), Address: m.Address})
			}
		}
	}
	n.readAt = time.Now()
	if failure != nil {
		x.logger.Event("relayer", "other zones not read").Err(failure).End()
		n.readAt = n.readAt.Add(probePeriod - neighboursPeriod) // Try again soon.
	}
	if failure == nil || len(list) > len(n.list) {
		n.list = list
	}
	return n.list
}

// OpenStream opens a connection of its own to a daemon.
func (x *Relayer) OpenStream(ctx context.Context, address, kind string) (net.Conn, error) {
	pool := x.pool.Load()
	if pool == nil {
		return nil, errors.Wrap(messenger.ErrNotSent, "the deployment's secret is not known yet")
	}
	return pool.OpenStream(ctx, address, kind)
}

// RegisterStream registers a handler of connections from other daemons; call it before Start.
func (x *Relayer) RegisterStream(kind string, h messenger.StreamHandler) { x.streams[kind] = h }
