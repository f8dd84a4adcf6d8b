package selector

import (
	"math/rand/v2"
	"sync"
	"time"

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
	limits  limits

	mu      sync.Mutex
	tracked map[string]*tracked
}

// tracked is a view with the time of its last use.
type tracked struct {
	view     *ranker.View
	lastUsed time.Duration
}

func newViews(t *tracker.Tracker, zone string) *views {
	return &views{tracker: t, zone: zone, costs: ranker.DefaultCosts, start: time.Now(), tracked: map[string]*tracked{}}
}

func (s *views) now() time.Duration { return time.Since(s.start) }

// choose chooses the best replica that was not tried, and counts the request as in
// flight there. It returns a nil replica if there is none.
func (s *views) choose(v Service, w ranker.Work, tried map[string]bool) (Placement, *tracker.Replica) {
	usable := s.tracker.Usable(v.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	list := make([]*ranker.View, 0, len(usable))
	candidates := make([]*tracker.Replica, 0, len(usable))
	for _, r := range usable {
		if tried[r.Instance()] {
			continue
		}
		list = append(list, s.view(r, v, now))
		candidates = append(candidates, r)
	}
	i := s.costs.Choose(list, w, now, rand.IntN)
	if i < 0 {
		return Placement{}, nil
	}
	view := list[i]
	age, _ := view.Age(now)
	placement := Placement{
		Instance: candidates[i].Instance(), Candidates: len(list), Busy: view.Busy(now), Slowness: view.Slowness(now), Age: age, Cached: view.Cached(w.Parts),
		Limit: s.limits.of(candidates[i].Instance(), time.Now()),
	}
	view.Begin(w, now)
	return placement, candidates[i]
}

// begin counts a request as in flight at a replica that the coordinator chose. It
// returns nil if this daemon does not know the replica as usable.
func (s *views) begin(v Service, w ranker.Work, instance string) *tracker.Replica {
	for _, r := range s.tracker.Usable(v.Name) {
		if r.Instance() == instance {
			s.mu.Lock()
			defer s.mu.Unlock()
			now := s.now()
			s.view(r, v, now).Begin(w, now)
			return r
		}
	}
	return nil
}

// view returns the view of a replica, and creates it on first use.
func (s *views) view(r *tracker.Replica, v Service, now time.Duration) *ranker.View {
	e := s.tracked[r.Instance()]
	if e == nil {
		e = &tracked{view: &ranker.View{ID: r.ID, Local: r.Zone == s.zone, Slots: r.Slots, CacheTokens: v.CacheTokens}}
		s.tracked[r.Instance()] = e
	}
	e.lastUsed = now
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

// end records the end of a request at a replica.
func (s *views) end(instance string, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.tracked[instance]
	if e == nil {
		return
	}
	e.view.End()
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
	s.limits.retain(s.isTracked)
}

// isTracked reports whether there is a view of an instance. The caller holds the lock.
func (s *views) isTracked(instance string) bool { return s.tracked[instance] != nil }
