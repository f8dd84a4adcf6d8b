package selector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/tracker"
)

const (
	replaySlots = 6
	// replayQueue is the number of requests that wait for a slot before further ones are refused.
	replayQueue = 24
	// backAfter is the time from a crash until the replica runs again as a new instance.
	backAfter = 3 * time.Second
	// crashAfter is how long a crashing request runs until the process of its replica ends.
	crashAfter   = 50 * time.Millisecond
	replicaTable = "replicas/all"
	// rowEvery is the time between two writes of a replica's row, and rowLasts the time
	// after which a row that is not written again is removed.
	rowEvery = 1200 * time.Millisecond
	rowLasts = 3 * time.Second
)

var (
	errNotSent  = errors.New("the connection is refused")
	errRefused  = errors.New("the replica has no room")
	errBrokeOff = errors.New("the replica broke off the connection")
)

// process is one start of a replica: a new one has another start time.
type process struct {
	startedMS int64
	slots     chan struct{}
	waiting   int
	ended     chan struct{}
}

// emulatedReplica is a replica whose process ends when it runs a crashing request.
type emulatedReplica struct {
	replay *replay
	id     string
	zone   string

	mu      sync.Mutex
	process *process // Nil while the replica is down.
	crashes int
}

func newProcess() *process {
	return &process{startedMS: time.Now().UnixMilli(), slots: make(chan struct{}, replaySlots), ended: make(chan struct{})}
}

// current returns the running process, or nil.
func (r *emulatedReplica) current() *process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process
}

// serve runs a request and returns the load that the response reports.
func (r *emulatedReplica) serve(q *replayRequest) (ranker.Load, error) {
	time.Sleep(time.Millisecond) // The way to the replica.
	r.mu.Lock()
	p := r.process
	if p == nil {
		r.mu.Unlock()
		return ranker.Load{}, errNotSent
	}
	if p.waiting >= replayQueue {
		r.mu.Unlock()
		return ranker.Load{}, errRefused
	}
	p.waiting++
	r.mu.Unlock()
	err := r.run(p, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	return ranker.Load{Running: len(p.slots), Waiting: p.waiting, Slots: replaySlots, Slowness: 1}, err
}

// run runs a request in a slot of a process.
func (r *emulatedReplica) run(p *process, q *replayRequest) error {
	select {
	case p.slots <- struct{}{}:
	case <-p.ended:
		return errBrokeOff
	}
	r.mu.Lock()
	p.waiting--
	r.mu.Unlock()
	defer func() { <-p.slots }()
	takes := q.duration
	if q.crashing {
		takes = crashAfter
	}
	select {
	case <-time.After(takes):
	case <-p.ended:
		return errBrokeOff
	}
	if q.crashing && r.crash(p) {
		q.countCrash()
	}
	select {
	case <-p.ended:
		return errBrokeOff
	default:
		return nil
	}
}

// crash ends a process. It returns false if that has ended before.
func (r *emulatedReplica) crash(p *process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.process != p {
		return false
	}
	close(p.ended)
	r.process = nil
	r.crashes++
	return true
}

// loop writes the row of the replica while it runs, and starts it again after a crash.
func (r *emulatedReplica) loop() {
	for r.replay.ctx.Err() == nil {
		p := r.current()
		if p == nil {
			time.Sleep(backAfter)
			r.mu.Lock()
			r.process = newProcess()
			r.mu.Unlock()
			continue
		}
		r.writeRow(p)
		select {
		case <-time.After(rowEvery):
		case <-p.ended:
		case <-r.replay.ctx.Done():
		}
	}
}

// writeRow writes the row of a process into the registry.
func (r *emulatedReplica) writeRow(p *process) {
	value, _ := json.Marshal(tracker.Replica{
		ID: r.id, Service: service, Address: r.id, Zone: r.zone, StartedMS: p.startedMS, Slots: replaySlots, Sequence: time.Now().UnixMilli(),
	})
	_, _ = r.replay.store.Commit(r.replay.ctx, storer.Transaction{Writes: []storer.Write{{Key: storer.Prefix(replicaTable) + r.id, Value: value}}})
}

// expireLoop removes the rows that are not written any more, as the platform does.
func (y *replay) expireLoop() {
	for y.ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		rows, err := storer.ScanAll(y.ctx, y.store, storer.Prefix(replicaTable))
		if err != nil {
			continue
		}
		for _, row := range rows {
			if written := decodeReplica(row).Sequence; time.Since(time.UnixMilli(written)) > rowLasts {
				_, _ = y.store.Commit(y.ctx, storer.Transaction{Writes: []storer.Write{{Key: row.Key, Delete: true}}})
			}
		}
	}
}

func decodeReplica(r storer.Row) *tracker.Replica {
	var v tracker.Replica
	_ = json.Unmarshal(r.Value, &v)
	return &v
}

// registry is the follower.Sink that brings the rows of the registry into a tracker.
type registry struct{ tracker *tracker.Tracker }

func (g *registry) Replace(rows []storer.Row, _ uint64) {
	var list []*tracker.Replica
	for _, r := range rows {
		list = append(list, decodeReplica(r))
	}
	g.tracker.Replace(list, time.Now())
	g.tracker.Expire(time.Now())
}

func (g *registry) Update(changes []storer.Change, _ uint64) {
	var rows []tracker.Row
	for _, c := range changes {
		r := tracker.Row{ID: c.Name()}
		if !c.Removed {
			r.Replica = decodeReplica(c.Row)
		}
		rows = append(rows, r)
	}
	g.tracker.Update(rows, time.Now())
	g.tracker.Expire(time.Now())
}

func (g *registry) StoreUnavailable(error) { g.tracker.StoreUnavailable() }

func (g *registry) StoreRecovered() { g.tracker.StoreRecovered(time.Now()) }

// hasEnded reports whether nothing listens at the address of a replica.
func (y *replay) hasEnded(_ context.Context, address string) bool {
	for _, r := range y.replicas {
		if r.id == address {
			return r.current() == nil
		}
	}
	panic(fmt.Sprintf("unknown address %q", address))
}
