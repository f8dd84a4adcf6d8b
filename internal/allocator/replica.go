package allocator

import (
	"hash/fnv"
	"time"

	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	// pollWait is how long one Acquire waits for a slot, and the minimum retry delay of a
	// refused call.
	pollWait = time.Second
	// abandonedAfter is the time since its last poll after which a waiting call is removed.
	abandonedAfter = 3 * time.Second
	// slotLifetime is the time after which a slot that was not released is freed. The
	// conductor bounds an attempt at a program's call to the same time.
	slotLifetime = 5 * time.Minute
	// maxSpeedAge is the age of the last observation at which a speed counts as stale.
	maxSpeedAge = 2 * time.Second
	// failurePause is how long no slots are granted after a failed call, times the number
	// of failures in a row up to maxPauseFactor.
	failurePause   = time.Second
	maxPauseFactor = 8
	// retryJitter is the largest fraction by which jitter extends a retry delay.
	retryJitter = 0.5
	// prefillCost is the cost of a prefilled token as a fraction of a decoded one.
	prefillCost = 0.02
	// defaultAnswerTokens is the expected service of a call while none has been observed.
	defaultAnswerTokens = 64
)

// slot is a slot that was granted to a call.
type slot struct {
	session    string
	account    string
	cost       float64
	granted    time.Time
	windowFull bool
	inFlight   int
}

// waiter is a queued call.
type waiter struct {
	request  AcquireRequest
	cost     float64
	arrived  time.Time
	lastPoll time.Time
	granted  chan struct{}
}

// replica is the state of one owned replica.
type replica struct {
	name        string
	queue       *scheduler.Queue
	window      *scheduler.Window
	speed       scheduler.SpeedEstimate
	waiters     map[string]*waiter
	slots       map[string]*slot
	leaving     bool
	failures    int
	pausedUntil time.Time
}

func newReplica(name string, o scheduler.Order, w *scheduler.Window) *replica {
	return &replica{
		name: name, queue: scheduler.NewQueue(o), window: w,
		waiters: map[string]*waiter{}, slots: map[string]*slot{},
	}
}

// cost returns the expected service of a call, in decoded tokens. A prefilled token costs a
// small fraction of a decoded one.
func (r *replica) cost(tokens int) float64 {
	answer := r.speed.Tokens()
	if answer == 0 {
		answer = defaultAnswerTokens
	}
	return answer + prefillCost*float64(tokens)
}

// expectedWait returns the expected time in the queue for a new call of an account, zero if
// a slot is free or the replica's rate is unknown.
func (r *replica) expectedWait(account string, weight int) time.Duration {
	if r.queue.Len() == 0 && len(r.slots) < r.window.Size() {
		return 0
	}
	rate := r.speed.Rate()
	if rate == 0 {
		return 0
	}
	// cost/rate is the mean time between two completions. On average, half of it passes
	// until the next slot becomes free.
	ahead := r.queue.Ahead(account, weight) + r.cost(0)/2
	return time.Duration(ahead / rate * float64(time.Second))
}

// checkAdmission returns a fault with a retry time if a new call can't be queued, since the
// replica is leaving or the expected wait exceeds the call's limit.
func (r *replica) checkAdmission(q *AcquireRequest) *classifier.Fault {
	if r.leaving {
		return classifier.New(classifier.TargetAway, classifier.RanNo, "replica %s is leaving and accepts no new calls", r.name).After(pollWait)
	}
	wait := r.expectedWait(q.Account, q.Weight)
	if wait <= q.Limit {
		return nil
	}
	return overloadedFault(q, wait)
}

// overloadedFault returns a fault that asks the caller to retry once the queue has drained
// to half of the call's limit. Jitter by call ID keeps the retries apart.
func overloadedFault(q *AcquireRequest, wait time.Duration) *classifier.Fault {
	excess := wait - q.Limit/2
	h := fnv.New32a()
	_, _ = h.Write([]byte(q.ID))
	jitter := 1 + retryJitter*float64(h.Sum32()%1000)/1000
	retryAfter := max(pollWait, time.Duration(float64(excess)*jitter))
	return classifier.New(classifier.Overloaded, classifier.RanNo,
		"the expected wait for replica %s is %v, the limit is %v", q.Replica, wait.Round(time.Millisecond), q.Limit).After(retryAfter)
}

func (r *replica) enqueue(q *AcquireRequest, now time.Time, elapsed time.Duration) *waiter {
	w := &waiter{request: *q, cost: r.cost(q.Tokens), arrived: now, lastPoll: now, granted: make(chan struct{})}
	r.waiters[q.ID] = w
	r.queue.Push(scheduler.Item{
		ID: q.ID, Account: q.Account, Weight: q.Weight, Attained: q.Attained, New: q.New, Cost: w.cost, Arrived: elapsed,
	})
	return w
}

// grantSlots grants free slots to waiting calls in the order of the queue.
func (r *replica) grantSlots(now time.Time, elapsed time.Duration) {
	if now.Before(r.pausedUntil) {
		return
	}
	for len(r.slots) < r.window.Size() {
		it, ok := r.queue.Pop(elapsed)
		if !ok {
			return
		}
		w := r.waiters[it.ID]
		delete(r.waiters, it.ID)
		r.slots[it.ID] = &slot{
			session: w.request.Session, account: it.Account, cost: w.cost, granted: now,
			windowFull: len(r.slots)+1 >= r.window.Size(), inFlight: len(r.slots) + 1,
		}
		close(w.granted)
	}
}

// release frees a slot or removes a waiting call, and updates the speed estimate and the
// window with what the call observed.
func (r *replica) release(q *ReleaseRequest, now time.Time, elapsed time.Duration) {
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
		r.pausedUntil = now.Add(failurePause * time.Duration(min(r.failures, maxPauseFactor)))
		return
	}
	r.failures, r.pausedUntil = 0, time.Time{}
	if q.Service == 0 {
		r.queue.Charge(s.account, -s.cost)
		return
	}
	service := float64(q.Service) + prefillCost*float64(q.Prefill)
	r.queue.Charge(s.account, service-s.cost)
	r.speed.ObserveFirst(q.First, q.Prefill)
	r.speed.ObserveCall(elapsed, service, q.Gap, q.Took, s.inFlight)
	r.window.Observe(q.First-time.Duration(q.Prefill)*r.speed.Prefill(), q.Gap, s.windowFull)
}

// expire frees slots that are too old or whose session has expired, and removes waiting calls
// whose caller no longer polls.
func (r *replica) expire(now time.Time, gone func(session string) bool) {
	for id, s := range r.slots {
		if now.Sub(s.granted) > slotLifetime || gone(s.session) {
			delete(r.slots, id)
		}
	}
	for id, w := range r.waiters {
		if now.Sub(w.lastPoll) > abandonedAfter {
			r.queue.Remove(id)
			delete(r.waiters, id)
		}
	}
}
