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
	"pimentorail.example/pimentorail/internal/supervisor"
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
	mu      sync.Mutex
	list    []assigner.Peer
	readAt  time.Time
	reading bool
	// done is closed at the end of the read in progress.
	done chan struct{}
}

// beginRead returns the known list, and whether the caller should read it now: before it
// returns if there was no list yet.
func (n *neighbours) beginRead(now time.Time) (list []assigner.Peer, read, first bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.reading || now.Sub(n.readAt) < neighboursPeriod {
		return n.list, false, false
	}
	n.reading, n.done = true, make(chan struct{})
	return n.list, true, n.readAt.IsZero()
}

// endRead replaces the list. After a failure, some zones may be missing in it.
func (n *neighbours) endRead(list []assigner.Peer, err error, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reading, n.readAt = false, now
	close(n.done)
	if err != nil {
		n.readAt = now.Add(probePeriod - neighboursPeriod) // Try again soon.
	}
	if err == nil || len(list) > len(n.list) {
		n.list = list
	}
}

// Elsewhere returns the daemons of other zones. Only the first call waits for the store.
func (x *Relayer) Elsewhere(ctx context.Context) []assigner.Peer {
	list, read, first := x.neighbours.beginRead(time.Now())
	r := neighboursRead{x}
	switch {
	case read && first:
		return r.run(ctx)
	case read:
		go r.run(context.WithoutCancel(ctx))
	}
	return list
}

// ElsewhereNow returns the daemons of other zones as read at most neighboursPeriod ago. It
// waits for a read if there is none so recent, and returns the older list if that fails or
// ctx ends before.
func (x *Relayer) ElsewhereNow(ctx context.Context) []assigner.Peer {
	list, read, _ := x.neighbours.beginRead(time.Now())
	if read {
		go neighboursRead{x}.run(context.WithoutCancel(ctx))
	}
	select {
	case <-x.neighbours.idle():
		return x.neighbours.known()
	case <-ctx.Done():
		return list
	}
}

// idle returns a channel that is closed once no read is in progress.
func (n *neighbours) idle() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.done == nil {
		n.done = make(chan struct{})
		close(n.done)
	}
	return n.done
}

// known returns the list as it was last read.
func (n *neighbours) known() []assigner.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list
}

// neighboursRead is one read of the daemons of other zones.
type neighboursRead struct{ relayer *Relayer }

func (r neighboursRead) run(ctx context.Context) []assigner.Peer {
	x := r.relayer
	ctx, cancel := context.WithTimeout(ctx, neighboursTimeout)
	defer cancel()
	list, failure := r.read(ctx)
	if failure != nil {
		x.logger.Event("relayer", "other zones not read").Err(failure).End()
	}
	x.neighbours.endRead(list, failure, time.Now())
	return list
}

// read returns the daemons of the other zones, as far as the store tells.
func (r neighboursRead) read(ctx context.Context) (list []assigner.Peer, failure error) {
	defer supervisor.Return("relayer: daemons of other zones", &failure)
	x := r.relayer
	for _, zone := range x.options.OtherZones {
		rows, err := x.Scan(ctx, storer.Prefix(membersTable(zone)), "", maxNeighbours)
		if err != nil {
			failure = err
		}
		for _, r := range rows {
			var m member
			if json.Unmarshal(r.Value, &m) == nil && m.Address != "" {
				list = append(list, assigner.Peer{Name: r.Name(), Address: m.Address, Process: m.Process})
			}
		}
	}
	return list, failure
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
