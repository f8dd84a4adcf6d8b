package scheduler

import (
	"container/heap"
	"container/list"
	"time"
)

const popsPerEviction = 1024

// position locates a waiting item.
type position struct {
	account *account
	level   int
	element *list.Element
}

// Queue orders the waiting calls of one replica.
type Queue struct {
	order        Order
	ageing       time.Duration
	accounts     map[string]*account
	active       accounts
	positions    map[string]position
	virtualTime  float64
	queuedCost   float64
	activeWeight float64
	pops         int
}

// NewQueue returns an empty queue with the given order.
func NewQueue(o Order) *Queue {
	return &Queue{order: o, ageing: ageingPeriod, accounts: map[string]*account{}, positions: map[string]position{}}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.positions) }

// Has reports whether a call waits.
func (q *Queue) Has(id string) bool {
	_, ok := q.positions[id]
	return ok
}

// Push adds a call; one that already waits keeps its position.
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
		a.virtualTime = q.virtualTime
		q.accounts[name] = a
	}
	if a.waitingCalls == 0 {
		a.virtualTime = max(a.virtualTime, q.virtualTime)
		a.weight = float64(it.Weight)
		q.activeWeight += a.weight
		heap.Push(&q.active, a)
	}
	e := a.queues[l].PushBack(&it)
	a.waitingCalls++
	a.queuedCost += it.Cost
	q.queuedCost += it.Cost
	q.positions[it.ID] = position{account: a, level: l, element: e}
}

// Pop removes and returns the call that goes next.
func (q *Queue) Pop(now time.Duration) (Item, bool) {
	if len(q.active) == 0 {
		return Item{}, false
	}
	a := q.active[0]
	e := a.queues[a.nextLevel(now, q.ageing)].Front()
	it := *e.Value.(*Item)
	q.virtualTime = max(q.virtualTime, a.virtualTime)
	q.Remove(it.ID)
	q.Charge(it.Account, it.Cost)
	q.evictIdle()
	return it, true
}

// Remove removes a call and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	p, ok := q.positions[id]
	if !ok {
		return false
	}
	it := p.account.queues[p.level].Remove(p.element).(*Item)
	delete(q.positions, id)
	p.account.waitingCalls--
	p.account.queuedCost -= it.Cost
	q.queuedCost -= it.Cost
	if p.account.waitingCalls == 0 {
		q.activeWeight -= p.account.weight
		heap.Remove(&q.active, p.account.heapIndex)
	}
	return true
}

// Charge advances an account's virtual time by cost over weight. A negative cost refunds
// an estimate that was too high.
func (q *Queue) Charge(name string, cost float64) {
	if q.order == Arrival {
		name = ""
	}
	a := q.accounts[name]
	if a == nil {
		return
	}
	a.virtualTime += cost / max(1, a.weight)
	if a.heapIndex >= 0 {
		heap.Fix(&q.active, a.heapIndex)
	}
}

// Ahead returns the service in tokens that is expected to run before a new call of an
// account.
func (q *Queue) Ahead(name string, weight int) float64 {
	if q.order == Arrival {
		return q.queuedCost
	}
	own, others := 0.0, q.activeWeight
	w := float64(max(1, weight))
	if a := q.accounts[name]; a != nil && a.waitingCalls > 0 {
		own = a.queuedCost
		others -= a.weight
	}
	return min(q.queuedCost, own*(1+others/w))
}

// Queued returns the expected service of all waiting calls, in tokens.
func (q *Queue) Queued() float64 { return max(0, q.queuedCost) }

// evictIdle drops idle accounts that are not ahead of the queue's virtual time. An account
// that is ahead stays, since it still owes the others service.
func (q *Queue) evictIdle() {
	q.pops++
	if q.pops%popsPerEviction != 0 {
		return
	}
	for name, a := range q.accounts {
		if a.waitingCalls == 0 && a.virtualTime <= q.virtualTime {
			delete(q.accounts, name)
		}
	}
}
