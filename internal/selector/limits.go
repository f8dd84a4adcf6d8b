package selector

import (
	"sync"
	"time"
)

// Limit is the number of requests a second that a replica takes from all daemons together.
type Limit struct {
	// Rate is in requests a second, zero for no limit.
	Rate float64
	// Age is the time since a response last named the limit.
	Age time.Duration
}

// namedLimit is the limit of one instance, as of the last response that named it.
type namedLimit struct {
	rate    float64
	namedAt time.Time
}

// limits holds the limits that replicas name in their responses, by instance. A limit lasts
// until a response to a request that was sent after it was last named has none.
type limits struct {
	mu    sync.Mutex
	named map[string]namedLimit
}

// report records the rate that a response named, zero for none, to a request that was sent
// at the given time. It returns true if the replica's limit began, changed or ended.
func (l *limits) report(instance string, rate float64, sentAt, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.named[instance]
	switch {
	case rate > 0:
		if l.named == nil {
			l.named = map[string]namedLimit{}
		}
		l.named[instance] = namedLimit{rate, now}
	case !ok || sentAt.Before(old.namedAt):
		return false
	default:
		delete(l.named, instance)
	}
	return rate != old.rate
}

// of returns the limit of an instance, the zero Limit for none.
func (l *limits) of(instance string, now time.Time) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n, ok := l.named[instance]; ok {
		return Limit{Rate: n.rate, Age: now.Sub(n.namedAt)}
	}
	return Limit{}
}

// count returns the number of instances with a limit.
func (l *limits) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.named)
}

// retain forgets the limits of instances that are no longer known.
func (l *limits) retain(known func(instance string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for instance := range l.named {
		if !known(instance) {
			delete(l.named, instance)
		}
	}
}
