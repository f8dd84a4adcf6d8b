package forwarder

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/placer"
	"pimentorail.example/pimentorail/internal/tracker"
)

// unusedView is when the view of a replica that is gone is forgotten.
const unusedView = time.Minute

// replicas joins the known replicas with what is believed of each.
type replicas struct {
	tracker *tracker.Tracker
	zone    string
	costs   placer.Costs
	start   time.Time

	mu    sync.Mutex
	views map[string]*seen
}

// seen is a view with the time of its last use.
type seen struct {
	view *placer.View
	used time.Duration
}

func newReplicas(t *tracker.Tracker, zone string) *replicas {
	return &replicas{tracker: t, zone: zone, costs: placer.DefaultCosts, start: time.Now(), views: map[string]*seen{}}
}

func (r *replicas) now() time.Duration { return time.Since(r.start) }

// choice is a replica that was chosen, with what decided.
type choice struct {
	replica  *tracker.Replica
	instance string
	view     *placer.View
	// busy, age, slowness and cached are the inputs of the decision.
	busy, slowness float64
	age            time.Duration
	cached         int
	candidates     int
}

// choose takes the best replica that was not tried, and counts the request there.
func (r *replicas) choose(s *cataloger.Service, w placer.Work, tried map[string]bool) (choice, bool) {
	usable := r.tracker.Usable(s.Name)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	views := make([]*placer.View, 0, len(usable))
	fit := make([]*tracker.Replica, 0, len(usable))
	for _, x := range usable {
		key := x.Instance()
		if tried[key] {
			continue
		}
		views = append(views, r.view(key, x, s, now))
		fit = append(fit, x)
	}
	i := r.costs.Choose(views, w, now, rand.IntN)
	if i < 0 {
		return choice{}, false
	}
	v := views[i]
	age, _ := v.Age(now)
	c := choice{
		replica: fit[i], instance: fit[i].Instance(), view: v, candidates: len(views),
		busy: v.Busy(now), slowness: v.Slowness(now), age: age, cached: v.Cached(w.Parts),
	}
	v.Begin(w, now)
	return c, true
}

func (r *replicas) view(key string, x *tracker.Replica, s *cataloger.Service, now time.Duration) *placer.View {
	e := r.views[key]
	if e == nil {
		e = &seen{view: &placer.View{ID: x.ID, Local: x.Zone == r.zone, Slots: x.Slots, CacheTokens: s.CacheTokens}}
		r.views[key] = e
	}
	e.used = now
	return e.view
}

// told notes a load report of a chosen replica.
func (r *replicas) told(c choice, l placer.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.view.Told(l, r.now())
}

// end notes the end of a request at a chosen replica.
func (r *replicas) end(c choice, how result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.view.End()
	switch how {
	case answered:
		c.view.Succeeded()
	case refused:
		c.view.Refused(r.now())
	case broken, unsent, elsewhere:
		c.view.Failed(r.now())
	}
}

// trim forgets replicas that were not seen for a while.
func (r *replicas) trim() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.views {
		if e.view.Mine() == 0 && r.now()-e.used > unusedView {
			delete(r.views, key)
		}
	}
}
