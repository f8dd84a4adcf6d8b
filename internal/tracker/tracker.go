package tracker

import (
	"sync"
	"time"
)

// Change is a change of belief about one replica, for the log.
type Change struct {
	Replica *Replica
	// What is added, changed, draining, removed, doubtful or restored.
	What string
}

// Options are the times of a Tracker.
type Options struct {
	// ReturnGrace is how long after an outage a missing row is waited for.
	ReturnGrace time.Duration
}

// entry is a replica with what is believed of its row.
type entry struct {
	replica *Replica
	// doubt is when a missing replica stops being used; zero while its row is there.
	doubt time.Time
}

// Tracker holds the known replicas by service.
type Tracker struct {
	options Options

	mu       sync.RWMutex
	entries  map[string]*entry
	services map[string][]*Replica
	// returned is when the store was last regained.
	returned time.Time
	away     bool
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	return &Tracker{options: o, entries: map[string]*entry{}, services: map[string][]*Replica{}}
}

// Usable returns the replicas of a service that may get new requests; the slice must not be changed.
func (t *Tracker) Usable(service string) []*Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[service]
}

// Len returns the number of known replicas.
func (t *Tracker) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// Lost notes that the store does not answer.
func (t *Tracker) Lost() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away = true
}

// Regained notes that the store answers again.
func (t *Tracker) Regained(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.away {
		return
	}
	t.away, t.returned = false, now
	for _, e := range t.entries {
		if !e.doubt.IsZero() {
			e.doubt = now.Add(t.options.ReturnGrace)
		}
	}
}

// Replace takes the whole list of rows.
func (t *Tracker) Replace(list []*Replica, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	seen := map[string]bool{}
	for _, r := range list {
		seen[r.ID] = true
		changes = t.put(changes, r)
	}
	for id := range t.entries {
		if !seen[id] {
			changes = t.remove(changes, id, now)
		}
	}
	t.index()
	return changes
}

// Update takes changed rows and the ids of removed ones.
func (t *Tracker) Update(put []*Replica, removed []string, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, r := range put {
		changes = t.put(changes, r)
	}
	for _, id := range removed {
		changes = t.remove(changes, id, now)
	}
	t.index()
	return changes
}

// Expire drops the replicas whose rows did not come back in time.
func (t *Tracker) Expire(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away {
		return nil
	}
	var changes []Change
	for id, e := range t.entries {
		if !e.doubt.IsZero() && now.After(e.doubt) {
			changes = append(changes, Change{e.replica, "removed"})
			delete(t.entries, id)
		}
	}
	if len(changes) > 0 {
		t.index()
	}
	return changes
}

func (t *Tracker) put(changes []Change, r *Replica) []Change {
	e, ok := t.entries[r.ID]
	switch {
	case !ok:
		t.entries[r.ID] = &entry{replica: r.name()}
		return append(changes, Change{r, "added"})
	case r.Older(e.replica):
		return changes
	case !e.replica.Same(r):
		t.entries[r.ID] = &entry{replica: r.name()}
		return append(changes, Change{r, "changed"})
	case !e.doubt.IsZero():
		e.doubt = time.Time{}
		changes = append(changes, Change{r, "restored"})
	}
	if r.Draining != e.replica.Draining || r.Slots != e.replica.Slots {
		what := "changed"
		if r.Draining {
			what = "draining"
		}
		changes = append(changes, Change{r, what})
	}
	r.instance = e.replica.instance
	e.replica = r
	return changes
}

// remove takes a missing row: at once if the store was there all the while,
// after the grace time if the row may have lapsed in an outage.
func (t *Tracker) remove(changes []Change, id string, now time.Time) []Change {
	e, ok := t.entries[id]
	if !ok || !e.doubt.IsZero() {
		return changes
	}
	until := t.returned.Add(t.options.ReturnGrace)
	if !t.away && (t.returned.IsZero() || !now.Before(until)) || e.replica.Draining {
		delete(t.entries, id)
		return append(changes, Change{e.replica, "removed"})
	}
	e.doubt = until
	return append(changes, Change{e.replica, "doubtful"})
}

func (t *Tracker) index() {
	services := make(map[string][]*Replica, len(t.services))
	for _, e := range t.entries {
		if !e.replica.Draining {
			services[e.replica.Service] = append(services[e.replica.Service], e.replica)
		}
	}
	t.services = services
}
