package scheduler

import (
	"container/heap"
	"container/list"
	"time"
)

const pruneEvery = 1024

// place is where a waiting item stands.
type place struct {
	account *account
	level   int
	element *list.Element
}

// Queue orders the waiting calls of one replica.
type Queue struct {
	order    Order
	ageing   time.Duration
	accounts map[string]*account
	active   accounts
	places   map[string]place
	virtual  float64
	queued   float64
	weights  float64
	pops     int
}

// NewQueue returns an empty queue of an order.
func NewQueue(o Order) *Queue {
	return &Queue{order: o, ageing: defaultAgeing, accounts: map[string]*account{}, places: map[string]place{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.places) }

// Has reports whether a call waits.
func (q *Queue) Has(id string) bool {
	_, ok := q.places[id]
	return ok
}

// Push adds a call; one that waits already stays where it is.
func (q *Queue) Push(it Item) {
	if q.Has(it.ID) {
		return
	}
	it.Weight = max(1, it.Weight)
	it.Cost = max(1, it.Cost)
	name, l := it.Account, 0
	switch q.order {
	case Arrival:
		name = ""
	case FairLeastAttained:
		l = it.level()
	}
	a := q.accounts[name]
	if a == nil {
		a = newAccount(name)
		a.tag = q.virtual
		q.accounts[name] = a
	}
	if a.count == 0 {
		a.tag = max(a.tag, q.virtual)
		a.weight = float64(it.Weight)
		q.weights += a.weight
		heap.Push(&q.active, a)
	}
	e := a.waiting[l].PushBack(&it)
	a.count++
	a.queued += it.Cost
	q.queued += it.Cost
	q.places[it.ID] = place{account: a, level: l, element: e}
}

// Pop removes and returns the call that goes next.
func (q *Queue) Pop(now time.Duration) (Item, bool) {
	if len(q.active) == 0 {
		return Item{}, false
	}
	a := q.active[0]
	e := a.waiting[a.best(now, q.ageing)].Front()
	it := *e.Value.(*Item)
	q.virtual = max(q.virtual, a.tag)
	q.Remove(it.ID)
	q.Charge(it.Account, it.Cost)
	q.prune()
	return it, true
}

// Remove takes a waiting call out; false means that it does not wait.
func (q *Queue) Remove(id string) bool {
	p, ok := q.places[id]
	if !ok {
		return false
	}
	it := p.account.waiting[p.level].Remove(p.element).(*Item)
	delete(q.places, id)
	p.account.count--
	p.account.queued -= it.Cost
	q.queued -= it.Cost
	if p.account.count == 0 {
		q.weights -= p.account.weight
		heap.Remove(&q.active, p.account.index)
	}
	return true
}

// Charge adds service to an account's tag; a negative cost returns what was charged too much.
func (q *Queue) Charge(name string, cost float64) {
	if q.order == Arrival {
		name = ""
	}
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.tag += cost / max(1, a.weight)
	if a.index >= 0 {
		heap.Fix(&q.active, a.index)
	}
}

// Ahead returns the service, in tokens, that is expected before a new call of an account.
func (q *Queue) Ahead(name string, weight int) float64 {
	if q.order == Arrival {
		return q.queued
	}
	own, others := 0.0, q.weights
	w := float64(max(1, weight))
	if a := q.accounts[name]; a != nil && a.count > 0 {
		own = a.queued
		others -= a.weight
	}
	return min(q.queued, own*(1+others/w))
}

// Queued returns the expected service of all waiting calls, in tokens.
func (q *Queue) Queued() float64 { return max(0, q.queued) }

// prune forgets idle accounts that have no debt against the others.
func (q *Queue) prune() {
	q.pops++
	if q.pops%pruneEvery != 0 {
		return
	}
	for name, a := range q.accounts {
		if a.count == 0 && a.tag <= q.virtual {
			delete(q.accounts, name)
		}
	}
}
