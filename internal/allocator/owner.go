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

// Holder says which partitions this daemon keeps and which sessions are gone; a Leaser is one.
type Holder interface {
	Keeps(partition int) bool
	Partitions() int
	Gone(session string) bool
}

// Catalog says how a replica is declared; unknown replicas are refused.
type Catalog interface {
	// Limits returns a replica's first and greatest window, and false if it is not declared.
	Limits(replica string) (first, limit int, ok bool)
	// Leaving reports whether a replica takes no new work.
	Leaving(replica string) bool
}

// Options configures an Owner.
type Options struct {
	Holder  Holder
	Catalog Catalog
	Order   scheduler.Order
	// Fixed makes windows keep their first size.
	Fixed bool
	// Admit refuses calls whose expected wait is over their limit.
	Admit bool
}

// Owner serves the replicas of the partitions that its daemon keeps.
type Owner struct {
	o        Options
	mu       sync.Mutex
	replicas map[string]*replica
	start    time.Time
	tomb     *tomb.Tomb
}

// New returns an owner without replicas.
func New(o Options) *Owner {
	return &Owner{o: o, replicas: map[string]*replica{}, start: time.Now()}
}

// PartitionOf returns the partition that a replica belongs to.
func PartitionOf(name string, partitions int) int {
	return leaser.PartitionOf("replica/"+name, partitions)
}

// Start expires slots until the context ends.
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
		r.leaving = o.o.Catalog.Leaving(name)
		r.expire(now, o.o.Holder.Gone)
		r.dispatch(now, now.Sub(o.start))
	}
}

// Gained implements leaser.Observer.
func (o *Owner) Gained(leaser.Fence) {}

// Lost implements leaser.Observer: calls that wait ask the new owner.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for name, r := range o.replicas {
		if PartitionOf(name, o.o.Holder.Partitions()) != partition {
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

// find returns an owned replica, nil if another daemon owns it.
func (o *Owner) find(name string) (*replica, *classifier.Fault) {
	if !o.o.Holder.Keeps(PartitionOf(name, o.o.Holder.Partitions())) {
		return nil, nil
	}
	if r, ok := o.replicas[name]; ok {
		return r, nil
	}
	first, limit, ok := o.o.Catalog.Limits(name)
	if !ok {
		return nil, classifier.New(classifier.NoSuchTarget, classifier.RanNo, "replica %q is not declared", name)
	}
	w := scheduler.NewWindow(first, limit)
	if o.o.Fixed {
		w = scheduler.FixedWindow(first)
	}
	r := newReplica(name, o.o.Order, w)
	r.leaving = o.o.Catalog.Leaving(name)
	o.replicas[name] = r
	return r, nil
}

// Acquire grants a slot, or waits for one for up to a second.
func (o *Owner) Acquire(ctx context.Context, q *AcquireRequest, a *AcquireReply) {
	w := o.ask(q, a)
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
	o.answer(q, a)
}

// ask grants at once, refuses, or returns the queued call to wait for.
func (o *Owner) ask(q *AcquireRequest, a *AcquireReply) *waiter {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, fault := o.find(q.Replica)
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
		if o.o.Admit || r.leaving {
			if a.Fault = r.refuse(q); a.Fault != nil {
				return nil
			}
		}
		w = r.enqueue(q, now, now.Sub(o.start))
	}
	w.asked = now
	r.dispatch(now, now.Sub(o.start))
	return w
}

// answer reports what became of a queued call.
func (o *Owner) answer(q *AcquireRequest, a *AcquireReply) {
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
	if waited := time.Since(w.arrived); o.o.Admit && waited > q.Limit || r.leaving {
		r.queue.Remove(q.ID)
		delete(r.waiters, q.ID)
		a.Fault = overloaded(q, waited+r.wait(q.Account, q.Weight))
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
	r.dispatch(now, now.Sub(o.start))
}

// Probe reports what a new call would meet.
func (o *Owner) Probe(q *ProbeRequest, a *ProbeReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, fault := o.find(q.Replica)
	if r == nil {
		a.Moved = fault == nil
		a.Leaving = fault != nil
		return
	}
	now := time.Now()
	a.Leaving = r.leaving
	a.Wait = r.wait(q.Account, q.Weight) + max(0, r.paused.Sub(now))
	a.Gap, a.Prefill, a.Tokens = r.pace.Gap(), r.pace.Prefill(), r.pace.Tokens()
	a.Stale = r.pace.Stale(now.Sub(o.start), paceAge)
	a.InFlight, a.Window, a.Queued = len(r.slots), r.window.Size(), r.queue.Len()
}
