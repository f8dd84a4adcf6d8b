package seater_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/recorder"
	"pimentorail.example/pimentorail/internal/seater"
	"pimentorail.example/pimentorail/internal/tracker"
)

const service = "engine"

// zone is a few daemons that reach each other in memory, before the same replicas.
type zone struct {
	daemons []*daemon
	cancel  context.CancelFunc
}

// daemon is one seater of a zone.
type daemon struct {
	zone    *zone
	address string
	seater  *seater.Seater
	desk    *seater.Desk
	calls   atomic.Int64
	// silent daemons never answer, and deaf ones take no reports.
	silent, deaf atomic.Bool
}

// newZone returns daemons before replicas of some slots each; alone they know no peers.
func newZone(daemons, replicas, slots int, alone bool) *zone {
	ctx, cancel := context.WithCancel(context.Background())
	z := &zone{cancel: cancel}
	for i := range daemons {
		t := tracker.New(tracker.Options{})
		var list []*tracker.Replica
		for n := range replicas {
			list = append(list, &tracker.Replica{ID: fmt.Sprintf("r%d", n), Service: service, Address: fmt.Sprintf("r%d", n), Zone: "z", Slots: slots, Born: 1})
		}
		t.Replace(list, time.Now())
		d := &daemon{zone: z, address: fmt.Sprintf("d%d", i)}
		var peers assigner.Peers
		if !alone {
			peers = d
		}
		d.seater = seater.Start(ctx, t, peers, recorder.Start(ctx, io.Discard), seater.Options{Zone: "z", Node: d.address, Name: d.address + "-1"})
		d.desk = d.seater.Desk()
		z.daemons = append(z.daemons, d)
	}
	return z
}

// end stops all daemons.
func (z *zone) end() {
	z.cancel()
	time.Sleep(time.Minute)
}

// at returns the daemon that seats requests for the service.
func (z *zone) at() *daemon {
	for _, d := range z.daemons {
		if _, elsewhere := assigner.New(d.address, d).Of(service); !elsewhere {
			return d
		}
	}
	return nil
}

// Others implements assigner.Peers.
func (d *daemon) Others() []assigner.Peer {
	var list []assigner.Peer
	for _, o := range d.zone.daemons {
		if o != d {
			list = append(list, assigner.Peer{Name: o.address, Address: o.address})
		}
	}
	return list
}

// Call implements linker.Caller.
func (d *daemon) Call(ctx context.Context, address, _ string, args, reply any) error {
	for _, o := range d.zone.daemons {
		if o.address != address {
			continue
		}
		o.calls.Add(1)
		if o.silent.Load() {
			<-ctx.Done()
			return linker.ErrLost
		}
		switch q := args.(type) {
		case seater.PlaceRequest:
			return o.desk.Place(q, reply.(*seater.PlaceReply))
		case seater.ReportRequest:
			if o.deaf.Load() {
				return linker.ErrLost
			}
			return o.desk.Report(q, reply.(*seater.ReportReply))
		}
	}
	return linker.ErrUnreached
}

// floor counts the requests at each replica.
type floor struct {
	mu      sync.Mutex
	busy    map[string]int
	highest int
}

func (f *floor) move(instance string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy == nil {
		f.busy = map[string]int{}
	}
	f.busy[instance] += by
	f.highest = max(f.highest, f.busy[instance])
}
