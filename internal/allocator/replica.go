package allocator

import (
	"hash/fnv"
	"time"

	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	pollWait       = time.Second
	abandonedAfter = 3 * time.Second
	slotLifetime   = 5 * time.Minute
	paceAge        = 2 * time.Second
	failurePause   = time.Second
	maxFailurePace = 8
	retryJitter    = 0.5
	prefillWeight  = 0.02
	defaultAnswer  = 64
)

// slot is a granted slot.
type slot struct {
	session string
	account string
	cost    float64
	granted time.Time
	full    bool
	beside  int
}

// waiter is a queued call.
type waiter struct {
	request AcquireRequest
	cost    float64
	arrived time.Time
	asked   time.Time
	granted chan struct{}
}

// replica is the state of one owned replica.
type replica struct {
	name     string
	queue    *scheduler.Queue
	window   *scheduler.Window
	pace     scheduler.SpeedEstimate
	waiters  map[string]*waiter
	slots    map[string]*slot
	leaving  bool
	failures int
	paused   time.Time
}

func newReplica(name string, o scheduler.Order, w *scheduler.Window) *replica {
	return &replica{
		name: name, queue: scheduler.NewQueue(o), window: w,
		waiters: map[string]*waiter{}, slots: map[string]*slot{},
	}
}

// cost returns the expected service of a call, in tokens of decoding.
func (r *replica) cost(tokens int) float64 {
	answer := r.pace.Tokens()
	if answer == 0 {
		answer = defaultAnswer
	}
	return answer + prefillWeight*float64(tokens)
}

// wait returns the expected time in the queue for a new call of an account.
func (r *replica) wait(account string, weight int) time.Duration {
	if r.queue.Len() == 0 && len(r.slots) < r.window.Size() {
		return 0
	}
	rate := r.pace.Rate()
	if rate == 0 {
		return 0
	}
	ahead := r.queue.Ahead(account, weight) + r.cost(0)/2
	return time.Duration(ahead / rate * float64(time.Second))
}

// refuse returns why a new call can't be queued, with when to come back.
func (r *replica) refuse(q *AcquireRequest) *classifier.Fault {
	if r.leaving {
		return classifier.New(classifier.TargetAway, classifier.RanNo, "replica %s is leaving", r.name).After(pollWait)
	}
	wait := r.wait(q.Account, q.Weight)
	if wait <= q.Limit {
		return nil
	}
	return overloaded(q, wait)
}

// overloaded tells a call to come back once the excess of the queue has drained, spread by jitter.
func overloaded(q *AcquireRequest, wait time.Duration) *classifier.Fault {
	excess := wait - q.Limit/2
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.ID))
	spread := 1 + retryJitter*float64(h.Sum32()%1000)/1000
	back := max(pollWait, time.Duration(float64(excess)*spread))
	return classifier.New(classifier.Overloaded, classifier.RanNo,
		"the wait for %s is %v and the limit %v", q.Replica, wait.Round(time.Millisecond), q.Limit).After(back)
}

func (r *replica) enqueue(q *AcquireRequest, now time.Time, since time.Duration) *waiter {
	w := &waiter{request: *q, cost: r.cost(q.Tokens), arrived: now, asked: now, granted: make(chan struct{})}
	r.waiters[q.ID] = w
	r.queue.Push(scheduler.Item{
		ID: q.ID, Account: q.Account, Weight: q.Weight, Attained: q.Attained, New: q.New, Cost: w.cost, Arrived: since,
	})
	return w
}

// dispatch grants free slots to waiting calls in order.
func (r *replica) dispatch(now time.Time, since time.Duration) {
	if now.Before(r.paused) {
		return
	}
	for len(r.slots) < r.window.Size() {
		it, ok := r.queue.Pop(since)
		if !ok {
			return
		}
		w := r.waiters[it.ID]
		delete(r.waiters, it.ID)
		r.slots[it.ID] = &slot{
			session: w.request.Session, account: it.Account, cost: w.cost, granted: now,
			full: len(r.slots)+1 >= r.window.Size(), beside: len(r.slots) + 1,
		}
		close(w.granted)
	}
}

// release returns a slot and learns from what was observed.
func (r *replica) release(q *ReleaseRequest, now time.Time, since time.Duration) {
	if r.queue.Remove(q.ID) {
		delete(r.waiters, q.ID)
		return
	}
	s, ok := r.slots[q.ID]
	if !ok {
		return
	}
	delete(r.slots, q.ID)
	if q.Failed {
		r.failures++
		r.paused = now.Add(failurePause * time.Duration(min(r.failures, maxFailurePace)))
		return
	}
	r.failures, r.paused = 0, time.Time{}
	if q.Service == 0 {
		r.queue.Charge(s.account, -s.cost)
		return
	}
	service := float64(q.Service) + prefillWeight*float64(q.Prefill)
	r.queue.Charge(s.account, service-s.cost)
	r.pace.ObserveFirst(q.First, q.Prefill)
	r.pace.ObserveCall(since, service, q.Gap, q.Took, s.beside)
	r.window.Observe(q.First-time.Duration(q.Prefill)*r.pace.Prefill(), q.Gap, s.full)
}

// expire returns the slots of entries that are gone, and forgets calls that no one asks for.
func (r *replica) expire(now time.Time, gone func(session string) bool) {
	for id, s := range r.slots {
		if now.Sub(s.granted) > slotLifetime || gone(s.session) {
			delete(r.slots, id)
		}
	}
	for id, w := range r.waiters {
		if now.Sub(w.asked) > abandonedAfter {
			r.queue.Remove(id)
			delete(r.waiters, id)
		}
	}
}
