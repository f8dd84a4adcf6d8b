package selector

import (
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/ranker"
)

// minRate is the least rate in requests a second at which a replica is tried, also if it takes
// none, so that the end of its limit is noticed.
const minRate = 0.05

// Limit is the number of requests a second that a replica takes from all daemons together.
type Limit struct {
	// Rate is in requests a second, zero for no limit.
	Rate float64
	// Age is the time since a response last named the limit.
	Age time.Duration
}

// scope is the set of daemons whose requests are counted together against a limit.
type scope int

const (
	// zoneScope is all daemons of the zone, whose coordinator counts their requests.
	zoneScope scope = iota
	// daemonScope is this daemon alone, which places requests without a coordinator.
	daemonScope
	scopeCount
)

// namedLimit is the limit of one instance, as of the last response that named it, with the
// pace of the requests that count against it.
type namedLimit struct {
	rate    float64
	namedAt time.Time
	paces   [scopeCount]ranker.Pace
}

// limits holds the limits that replicas name in their responses, by instance. A limit lasts
// until a response to a request that was sent after it was last named has none.
type limits struct {
	// share returns the part of a limit of a service's replica that is a scope's to use.
	share func(s scope, service string) float64
	start time.Time

	mu    sync.Mutex
	named map[string]*namedLimit
}

func newLimits(share func(s scope, service string) float64) *limits {
	return &limits{share: share, start: time.Now(), named: map[string]*namedLimit{}}
}

// report records the rate that a response named, zero for none, to a request that was sent
// at the given time. It returns true if the replica's limit began, changed or ended.
func (l *limits) report(instance string, rate float64, sentAt, now time.Time) bool {
	if rate > 0 {
		return l.learn(instance, Limit{Rate: rate}, now)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.named[instance]
	if n == nil || sentAt.Before(n.namedAt) {
		return false
	}
	delete(l.named, instance)
	return true
}

// learn records a limit unless a newer response is known. It returns true if the limit
// began or changed.
func (l *limits) learn(instance string, limit Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := now.Add(-limit.Age)
	n := l.named[instance]
	if n == nil {
		n = &namedLimit{rate: limit.Rate, namedAt: at}
		for s := range scopeCount {
			n.paces[s].Start(now.Sub(l.start), l.interval(n, s, ""))
		}
		l.named[instance] = n
		return true
	}
	if at.Before(n.namedAt) {
		return false
	}
	changed := n.rate != limit.Rate
	n.rate, n.namedAt = limit.Rate, at
	return changed
}

// of returns the limit of an instance, the zero Limit for none.
func (l *limits) of(instance string, now time.Time) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.named[instance]; n != nil {
		return Limit{Rate: n.rate, Age: now.Sub(n.namedAt)}
	}
	return Limit{}
}

// all returns the limits of the given instances that have one.
func (l *limits) all(instances []string, now time.Time) map[string]Limit {
	list := map[string]Limit{}
	for _, instance := range instances {
		if limit := l.of(instance, now); limit.Rate > 0 {
			list[instance] = limit
		}
	}
	return list
}

// wait returns the time until a scope may send its next request to an instance.
func (l *limits) wait(instance string, s scope, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.named[instance]
	if n == nil {
		return 0
	}
	return n.paces[s].Wait(now.Sub(l.start))
}

// book counts a request of a scope against the limit of an instance of a service.
func (l *limits) book(service, instance string, s scope, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.named[instance]; n != nil {
		n.paces[s].Book(now.Sub(l.start), l.interval(n, s, service))
	}
}

// interval returns the time between two requests of a scope.
func (l *limits) interval(n *namedLimit, s scope, service string) time.Duration {
	return time.Duration(float64(time.Second) / (n.rate * l.share(s, service)))
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
