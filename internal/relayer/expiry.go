package relayer

import (
	"context"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// livenessTimeout bounds a call to a daemon whose row was not renewed.
	livenessTimeout = 500 * time.Millisecond
	// maxLivenessCalls and maxRemovals bound the calls to daemons and the rows to be removed
	// after one read of the member rows.
	maxLivenessCalls = 16
	maxRemovals      = 4
)

// expiry finds out which of the daemons whose rows were not renewed still answer, and removes
// the rows of those that are dead.
type expiry struct{ relayer *Relayer }

func (e *expiry) run() error {
	x := e.relayer
	ctx := x.tomb.Context(nil)
	for x.sleep(membersPeriod) && !x.left.Load() {
		e.call(ctx)
		if rows := x.members.removable(time.Now()); len(rows) > 0 && e.reachesPeer(ctx) {
			e.remove(ctx, rows)
		}
	}
	return nil
}

// call calls the daemons whose rows were not renewed, all at the same time.
func (e *expiry) call(ctx context.Context) {
	var done sync.WaitGroup
	for _, p := range e.relayer.members.callable(time.Now()) {
		done.Add(1)
		go (&livenessCall{e.relayer, p, &done}).run(ctx)
	}
	done.Wait()
}

// reachesPeer reports whether a peer answers, or there is none. A daemon that is cut off from
// all of them can't tell which are alive.
func (e *expiry) reachesPeer(ctx context.Context) bool {
	others := e.relayer.Others()
	for _, p := range others[:min(len(others), maxPeers)] {
		if e.relayer.announceTo(ctx, p) == nil {
			return true
		}
	}
	return len(others) == 0
}

// remove deletes rows unless they were written since they were read.
func (e *expiry) remove(ctx context.Context, rows []storer.Condition) {
	x := e.relayer
	for _, c := range rows {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := x.Commit(ctx, storer.Transaction{Conditions: []storer.Condition{c}, Writes: []storer.Write{{Key: c.Key, Delete: true}}})
		cancel()
		x.logger.Event("relayer", "member row of a dead daemon").Str("key", c.Key).Bool("removed", err == nil).Err(err).End()
	}
}

// livenessCall calls a daemon whose row was not renewed. The call announces this daemon, which
// daemons of the previous build understand too.
type livenessCall struct {
	relayer *Relayer
	peer    assigner.Peer
	done    *sync.WaitGroup
}

func (c *livenessCall) run(ctx context.Context) {
	defer c.done.Done()
	defer supervisor.Recover("relayer: call of a peer")
	err := c.relayer.announceTo(ctx, c.peer)
	if c.relayer.members.called(c.peer.Name, err == nil) {
		c.relayer.logger.Event("relayer", "peer expired").Str("peer", c.peer.Name).Err(err).End()
	}
}

// announceTo announces this daemon to another one, which answers if it is alive.
func (x *Relayer) announceTo(ctx context.Context, p assigner.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, livenessTimeout)
	defer cancel()
	return x.Call(ctx, p.Address, joinMethod, JoinRequest{Name: x.options.VM, Address: x.options.Address, Process: x.options.Process}, &JoinReply{})
}
