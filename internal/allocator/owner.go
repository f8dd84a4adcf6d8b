package allocator

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const sweepPeriod = 500 * time.Millisecond

// Ownership reports which partitions the last known map assigns to this daemon, whether or
// not its lease is valid, and which sessions have expired. A leaser.Leaser implements it.
type Ownership interface {
	Assigned(partition int) bool
	Partitions() int
	SessionExpired(session string) bool
}

// Declarations looks up the declarations of replicas; calls to undeclared ones are refused.
type Declarations interface {
	// Windows returns a replica's initial and maximum window, and false if it is not declared.
	Windows(replica string) (first, limit int, ok bool)
	// Leaving reports whether a replica accepts no new calls: the operator drains it, the
	// platform lists its VM as leaving, or it is no longer declared.
	Leaving(replica string) bool
}

// Options configures an Owner.
type Options struct {
	Ownership    Ownership
	Declarations Declarations
	Order        scheduler.Order
	// FixedWindows disables the adaptation of windows; they keep their initial size.
	FixedWindows bool
	// AdmissionControl is set if calls whose expected wait exceeds their limit are refused.
	AdmissionControl bool
}

// Owner serves the replicas of the partitions that its daemon owns.
type Owner struct {
	options  Options
	mu       sync.Mutex
	replicas map[string]*replica
	start    time.Time
	tomb     *tomb.Tomb
}

// New returns an owner without replicas.
func New(o Options) *Owner {
	return &Owner{options: o, replicas: map[string]*replica{}, start: time.Now()}
}

// PartitionOf returns the partition that a replica belongs to.
func PartitionOf(name string, partitions int) int {
	return leaser.PartitionOf("replica/"+name, partitions)
}

// Start runs the periodic expiry of slots until the context ends.
func (o *Owner) Start(ctx context.Context) {
	o.tomb, _ = tomb.WithContext(ctx)
	o.tomb.Go(o.run)
}

// Wait returns when the owner has stopped.
func (o *Owner) Wait() error { return o.tomb.Wait() }

func (o *Owner) run() error {
	for {
		select {
		case <-time.After(sweepPeriod):
			o.sweep()
		case <-o.tomb.Dying():
			return nil
		}
	}
}

func (o *Owner) sweep() {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for name, r := range o.replicas {
		r.leaving = o.options.Declarations.Leaving(name)
		r.expire(now, o.options.Ownership.SessionExpired)
		r.grantSlots(now, now.Sub(o.start))
	}
}

// Gained implements leaser.Observer.
func (o *Owner) Gained(leaser.Fence) {}

// Lost implements leaser.Observer. It wakes the waiting calls, which then ask the new owner.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, r := range o.replicas {
		if PartitionOf(name, o.options.Ownership.Partitions()) != partition {
			continue
		}
		for id, w := range r.waiters {
			delete(r.waiters, id)
			close(w.granted)
		}
		delete(o.replicas, name)
	}
}

// Drain implements leaser.Observer.
func (o *Owner) Drain(context.Context, int) error { return nil }

// ownedReplica returns a replica, created on first use. It returns nil without a fault if
// another daemon owns the replica.
func (o *Owner) ownedReplica(name string) (*replica, *classifier.Fault) {
	if !o.options.Ownership.Assigned(PartitionOf(name, o.options.Ownership.Partitions())) {
		return nil, nil
	}
	if r, ok := o.replicas[name]; ok {
		return r, nil
	}
	first, limit, ok := o.options.Declarations.Windows(name)
	if !ok {
		return nil, classifier.New(classifier.NoSuchTarget, classifier.RanNo, "replica %q is not declared", name)
	}
	w := scheduler.NewWindow(first, limit)
	if o.options.FixedWindows {
		w = scheduler.FixedWindow(first)
	}
	r := newReplica(name, o.options.Order, w)
	r.leaving = o.options.Declarations.Leaving(name)
	o.replicas[name] = r
	return r, nil
}

// Acquire grants a slot or refuses one. It waits for up to pollWait; if the call is still
// queued then, the caller has to ask again.
func (o *Owner) Acquire(ctx context.Context, q *AcquireRequest, a *AcquireReply) {
	w := o.tryAcquire(q, a)
	if w == nil {
		return
	}
	select {
	case <-w.granted:
	case <-time.After(pollWait):
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fillReply(q, a)
}

// tryAcquire grants a slot at once, refuses, or returns the queued call to wait for.
func (o *Owner) tryAcquire(q *AcquireRequest, a *AcquireReply) *waiter {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, fault := o.ownedReplica(q.Replica)
	if r == nil {
		a.Fault, a.Moved = fault, fault == nil
		return nil
	}
	now := time.Now()
	if _, ok := r.slots[q.ID]; ok {
		a.Granted, a.Level = true, scheduler.Level(q.Attained)
		return nil
	}
	w, ok := r.waiters[q.ID]
	if !ok {
		if o.options.AdmissionControl || r.leaving {
			if a.Fault = r.checkAdmission(q); a.Fault != nil {
				return nil
			}
		}
		w = r.enqueue(q, now, now.Sub(o.start))
	}
	w.lastPoll = now
	r.grantSlots(now, now.Sub(o.start))
	return w
}

// fillReply reports the state of a queued call. It refuses the call if it has waited for
// too long or the replica is leaving.
func (o *Owner) fillReply(q *AcquireRequest, a *AcquireReply) {
	r := o.replicas[q.Replica]
	if r == nil {
		a.Moved = true
		return
	}
	if _, ok := r.slots[q.ID]; ok {
		a.Granted, a.Level = true, scheduler.Level(q.Attained)
		return
	}
	w, ok := r.waiters[q.ID]
	if !ok {
		a.Moved = true
		return
	}
	if waited := time.Since(w.arrived); o.options.AdmissionControl && waited > q.Limit || r.leaving {
		r.queue.Remove(q.ID)
		delete(r.waiters, q.ID)
		a.Fault = overloadedFault(q, waited+r.expectedWait(q.Account, q.Weight))
		return
	}
	a.Waiting = true
}

// Release returns a slot.
func (o *Owner) Release(q *ReleaseRequest, a *ReleaseReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.replicas[q.Replica]
	if r == nil {
		a.Moved = true
		return
	}
	now := time.Now()
	r.release(q, now, now.Sub(o.start))
	r.grantSlots(now, now.Sub(o.start))
}

// Probe reports the expected wait for a new call, and the replica's speed and load.
func (o *Owner) Probe(q *ProbeRequest, a *ProbeReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, fault := o.ownedReplica(q.Replica)
	if r == nil {
		a.Moved = fault == nil
		a.Leaving = fault != nil
		return
	}
	now := time.Now()
	a.Leaving = r.leaving
	a.Wait = r.expectedWait(q.Account, q.Weight) + max(0, r.pausedUntil.Sub(now))
	a.Gap, a.Prefill, a.Tokens = r.speed.Gap(), r.speed.Prefill(), r.speed.Tokens()
	a.Stale = r.speed.Stale(now.Sub(o.start), maxSpeedAge)
	a.InFlight, a.Window, a.Queued = len(r.slots), r.window.Size(), r.queue.Len()
}
