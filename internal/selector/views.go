package selector

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/prioritizer"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/tracker"
)

// viewIdleTimeout is how long an unused view, such as that of a removed replica, is
// retained.
const viewIdleTimeout = time.Minute

// views maps the usable replicas to this daemon's estimates of their state.
type views struct {
	tracker *tracker.Tracker
	zone    string
	costs   ranker.Costs
	start   time.Time
	limits  *limits

	mu      sync.Mutex
	tracked map[string]*tracked
	// trials holds the trials of suspect requests by service, while a service has suspects or
	// a replica that is away.
	trials map[string]*trials
}

// tracked is a view with the time of its last use.
type tracked struct {
	view     *ranker.View
	replica  *tracker.Replica
	lastUsed time.Duration
}

func newViews(t *tracker.Tracker, zone string, l *limits) *views {
	return &views{tracker: t, zone: zone, costs: ranker.DefaultCosts, start: time.Now(), limits: l, tracked: map[string]*tracked{}, trials: map[string]*trials{}}
}

func (s *views) now() time.Duration { return time.Since(s.start) }

// demand is what a request asks of the replicas.
type demand struct {
	service   Service
	work      ranker.Work
	tried     map[string]bool
	remaining time.Duration
	suspicion Suspicion
	version   string
}

// admits reports whether the request may be sent to a replica.
func (q *demand) admits(r *tracker.Replica) bool {
	return !q.tried[r.Instance()] && (q.version == "" || q.version == r.Version)
}

// choose chooses the best replica that the request may be sent to, and counts the request as in flight
// there and against its limit. It returns ErrNoReplica or a BusyError if there is none.
func (s *views) choose(q demand, by scope) (Placement, *tracker.Replica, error) {
	v, w := q.service, q.work
	usable := s.tracker.Usable(v.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	list, candidates := s.candidates(q, usable, by, now)
	var limited *BusyError
	if s.limits.count() > 0 {
		underWay := !w.Model || ranker.UnderWay(list, w.Parts)
		list, candidates, limited = s.withRoom(list, candidates, w, now, prioritizer.MaxWait(q.remaining, underWay))
	}
	list, candidates, err := s.keepApart(q, usable, list, candidates, now)
	if err != nil {
		return Placement{}, nil, err
	}
	i := s.costs.Choose(list, w, now, rand.IntN)
	switch {
	case i < 0 && limited != nil:
		return Placement{}, nil, limited
	case i < 0:
		return Placement{}, nil, ErrNoReplica
	}
	view := list[i]
	age, _ := view.Age(now)
	placement := Placement{
		Instance: candidates[i].Instance(), Candidates: len(list), Busy: view.Busy(now), Slowness: view.Slowness(now), Age: age, Cached: view.Cached(w.Parts),
		Limit: s.limits.of(candidates[i].Instance(), time.Now()), Wait: view.Wait,
	}
	view.Begin(w, now)
	s.limits.book(v.Name, placement.Instance, by, time.Now())
	s.beginSuspect(candidates[i], q.suspicion, now+q.remaining)
	return placement, candidates[i], nil
}

// candidates returns the replicas that the request may be sent to, with their views.
func (s *views) candidates(q demand, usable []*tracker.Replica, by scope, now time.Duration) ([]*ranker.View, []*tracker.Replica) {
	list := make([]*ranker.View, 0, len(usable))
	replicas := make([]*tracker.Replica, 0, len(usable))
	for _, r := range usable {
		if !q.admits(r) {
			continue
		}
		view := s.view(r, q.service, now)
		view.Wait = s.limits.wait(r.Instance(), by, time.Now())
		list = append(list, view)
		replicas = append(replicas, r)
	}
	return list, replicas
}

// withRoom removes the replicas that begin to run a request later than in maxWait: those at
// their limits, and those without a limit whose queues have grown because of the others. It
// returns a BusyError with the shortest delay of these.
func (s *views) withRoom(views []*ranker.View, replicas []*tracker.Replica, w ranker.Work, now, maxWait time.Duration) ([]*ranker.View, []*tracker.Replica, *BusyError) {
	var limited *BusyError
	n := 0
	for i, v := range views {
		if delay := s.costs.Delay(v, w, now); delay <= maxWait {
			views[n], replicas[n] = v, replicas[i]
			n++
		} else if limited == nil || delay < limited.after {
			limited = &BusyError{reason: atLimits, after: delay}
		}
	}
	return views[:n], replicas[:n], limited
}

// begin counts a request as in flight at a replica that the coordinator chose. It
// returns nil if this daemon does not know the replica as usable.
func (s *views) begin(q demand, instance string) *tracker.Replica {
	v, w := q.service, q.work
	for _, r := range s.tracker.Usable(v.Name) {
		if r.Instance() == instance && q.admits(r) {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := s.now()
			s.view(r, v, now).Begin(w, now)
			s.beginSuspect(r, q.suspicion, now+q.remaining)
			return r
		}
	}
	return nil
}

// namedLimits returns the limits of the usable replicas of a service.
func (s *views) namedLimits(service string) map[string]Limit {
	if s.limits.count() == 0 {
		return nil
	}
	var instances []string
	for _, r := range s.tracker.Usable(service) {
		instances = append(instances, r.Instance())
	}
	return s.limits.all(instances, time.Now())
}

// view returns the view of a replica, and creates it on first use.
func (s *views) view(r *tracker.Replica, v Service, now time.Duration) *ranker.View {
	e := s.tracked[r.Instance()]
	if e == nil {
		e = &tracked{view: &ranker.View{ID: r.ID, Local: r.Zone == s.zone, Slots: r.Slots, CacheTokens: v.CacheTokens}}
		s.tracked[r.Instance()] = e
	}
	e.replica, e.lastUsed = r, now
	return e.view
}

// reportLoad records a load report of a replica.
func (s *views) reportLoad(instance string, l ranker.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.tracked[instance]; e != nil {
		e.view.ReportLoad(l, s.now())
	}
}

// end records the end of a request that was sent to a replica at a time.
func (s *views) end(instance string, p Suspicion, outcome Outcome, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.tracked[instance]
	if e == nil {
		return
	}
	e.view.End()
	s.endSuspect(e.replica, p, outcome, sentAt.Sub(s.start), s.now())
	switch outcome {
	case Served:
		e.view.Succeeded()
	case Refused:
		e.view.Refused(s.now())
	case Failed:
		e.view.Failed(s.now())
	}
}

// evictIdle removes the views that have no request in flight and were not used for
// viewIdleTimeout.
func (s *views) evictIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.tracked {
		if e.view.OwnInFlight() == 0 && s.now()-e.lastUsed > viewIdleTimeout {
			delete(s.tracked, key)
		}
	}
	for service, t := range s.trials {
		t.absences.observe(s.tracker.Usable(service), s.now())
		t.forgetHeld(s.now())
		if t.idle() {
			delete(s.trials, service)
		}
	}
	s.limits.retain(s.isTracked)
}

// isTracked reports whether there is a view of an instance. The caller holds the lock.
func (s *views) isTracked(instance string) bool { return s.tracked[instance] != nil }
