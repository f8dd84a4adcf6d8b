package seater

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// unusedView is when the view of a replica that is gone is forgotten.
const unusedView = time.Minute

// views joins the known replicas with what is believed of each.
type views struct {
	tracker *tracker.Tracker
	zone    string
	costs   placer.Costs
	start   time.Time

	mu   sync.Mutex
	seen map[string]*seen
}

// seen is a view with the time of its last use.
type seen struct {
	view *placer.View
	used time.Duration
}

func newViews(t *tracker.Tracker, zone string) *views {
	return &views{tracker: t, zone: zone, costs: placer.DefaultCosts, start: time.Now(), seen: map[string]*seen{}}
}

func (s *views) now() time.Duration { return time.Since(s.start) }

// choose takes the best replica that was not tried, and counts the request there;
// it returns no replica if there is none.
func (s *views) choose(v Service, w placer.Work, tried map[string]bool) (Seat, *tracker.Replica) {
	usable := s.tracker.Usable(v.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	list := make([]*placer.View, 0, len(usable))
	fit := make([]*tracker.Replica, 0, len(usable))
	for _, r := range usable {
		if tried[r.Instance()] {
			continue
		}
		list = append(list, s.view(r, v, now))
		fit = append(fit, r)
	}
	i := s.costs.Choose(list, w, now, rand.IntN)
	if i < 0 {
		return Seat{}, nil
	}
	view := list[i]
	age, _ := view.Age(now)
	seat := Seat{
		Instance: fit[i].Instance(), Candidates: len(list), Busy: view.Busy(now), Slowness: view.Slowness(now), Age: age, Cached: view.Cached(w.Parts),
	}
	view.Begin(w, now)
	return seat, fit[i]
}

// take counts a request at a replica that the desk chose; it returns nil if the
// replica is not usable as far as is known here.
func (s *views) take(v Service, w placer.Work, instance string) *tracker.Replica {
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

func (s *views) view(r *tracker.Replica, v Service, now time.Duration) *placer.View {
	e := s.seen[r.Instance()]
	if e == nil {
		e = &seen{view: &placer.View{ID: r.ID, Local: r.Zone == s.zone, Slots: r.Slots, CacheTokens: v.CacheTokens}}
		s.seen[r.Instance()] = e
	}
	e.used = now
	return e.view
}

// told notes a load report of a replica.
func (s *views) told(instance string, l placer.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.seen[instance]; e != nil {
		e.view.ReportLoad(l, s.now())
	}
}

// end notes the end of a request at a replica.
func (s *views) end(instance string, how Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.seen[instance]
	if e == nil {
		return
	}
	e.view.End()
	switch how {
	case Served:
		e.view.Succeeded()
	case Refused:
		e.view.Refused(s.now())
	case Failed:
		e.view.Failed(s.now())
	}
}

// trim forgets replicas that were not seen for a while.
func (s *views) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.seen {
		if e.view.OwnInFlight() == 0 && s.now()-e.used > unusedView {
			delete(s.seen, key)
		}
	}
}
