package tracker

import (
	"sync"
	"time"
)

// leavingRetention is how long the announced end of an instance is remembered. It is much
// longer than a planned stop of a replica takes.
const leavingRetention = 10 * time.Minute

// Change is a change of the state of one replica, for logging.
type Change struct {
	Replica *Replica
	// Kind is one of added, changed, draining, removed, doubtful, restored and confirmed. A
	// replica is doubtful while its row is missing because of an outage, and confirmed when it
	// has written a row after its process was taken to have ended.
	Kind string
}

// Options configures a Tracker.
type Options struct {
	// OutageGrace is how long after an outage a replica without a row stays usable.
	OutageGrace time.Duration
}

// entry is the state of one known replica.
type entry struct {
	replica *Replica
	// removeAt is when a replica whose row is missing is removed, zero while the row exists.
	removeAt time.Time
	// confirmation tells whether the row describes the process at the replica's address.
	confirmation confirmation
	// late are the rows that looked older than replica since it was read.
	late lateRows
}

// Tracker holds the known replicas and the outages of the registry's store.
type Tracker struct {
	options Options

	mu      sync.RWMutex
	entries map[string]*entry
	usable  map[string][]*Replica
	// leaving holds the instances that announced their end, and when they did.
	leaving map[string]time.Time
	// recoveredAt is when the last outage of the store ended, zero if there was none or if it
	// was none of the store but this daemon's own.
	recoveredAt      time.Time
	storeUnavailable bool
	// readBegan is when the last read of the registry began, and readVersion the version of the
	// store as of which the rows are.
	readBegan   time.Time
	readVersion uint64
	// confirmed is closed when a read of the registry has ended, or when it may have become known
	// to which processes connections lead.
	confirmed chan struct{}
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	return &Tracker{options: o, entries: map[string]*entry{}, usable: map[string][]*Replica{}, leaving: map[string]time.Time{}, confirmed: make(chan struct{})}
}

// Usable returns the replicas of a service that can receive new requests. The slice must not
// be modified.
func (t *Tracker) Usable(service string) []*Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.usable[service]
}

// Leave records that an instance announced its end. It receives no new requests from then
// on, whatever its row says. It returns false if that was known.
func (t *Tracker) Leave(instance string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaving[instance]; known {
		return false
	}
	t.leaving[instance] = now
	t.updateUsable()
	return true
}

// IsLeaving reports whether an instance announced its end.
func (t *Tracker) IsLeaving(instance string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, known := t.leaving[instance]
	return known
}

// IsEnding reports whether an instance announced its end, in a response or in its row.
func (t *Tracker) IsEnding(r *Replica) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, leaving := t.leaving[r.instance]
	e := t.entries[r.ID]
	return leaving || e != nil && e.replica.instance == r.instance && e.replica.Draining
}

// find returns the entry of an instance, or nil. The caller holds the lock.
func (t *Tracker) find(instance string) *entry {
	for _, e := range t.entries {
		if e.replica.instance == instance {
			return e
		}
	}
	return nil
}

// entryOf returns the entry of the instance that a replica's row described, or nil. The caller
// holds the lock.
func (t *Tracker) entryOf(r *Replica) *entry {
	if e := t.entries[r.ID]; e != nil && e.replica.instance == r.instance && e.replica.Version == r.Version {
		return e
	}
	return nil
}

// Find returns the known replica with an id, or nil.
func (t *Tracker) Find(id string) *Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if e := t.entries[id]; e != nil {
		return e.replica
	}
	return nil
}

// AtAddress returns a known replica at an address, or nil.
func (t *Tracker) AtAddress(address string) *Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, e := range t.entries {
		if e.replica.Address == address {
			return e.replica
		}
	}
	return nil
}

// Len returns the number of known replicas, usable or not.
func (t *Tracker) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.entries)
}

// StoreUnavailable records that the registry's store is unavailable.
func (t *Tracker) StoreUnavailable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeUnavailable = true
}

// StoreRecovered records that the registry's store is available again. The grace period
// of the replicas whose rows are missing starts now.
func (t *Tracker) StoreRecovered(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.storeUnavailable {
		return
	}
	t.storeUnavailable, t.recoveredAt = false, now
	for _, e := range t.entries {
		if !e.removeAt.IsZero() {
			e.removeAt = now.Add(t.options.OutageGrace)
		}
	}
}

// ConfirmRemovals records that the registry was up during the outage that ended at a time, and
// only this daemon could not read it. The replicas whose rows are missing are gone and are
// removed at once. It does nothing if another outage has begun since.
func (t *Tracker) ConfirmRemovals(recoveredAt time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeUnavailable || !t.recoveredAt.Equal(recoveredAt) {
		return nil
	}
	t.recoveredAt = time.Time{}
	var changes []Change
	for id, e := range t.entries {
		if !e.removeAt.IsZero() {
			changes = append(changes, Change{e.replica, "removed"})
			delete(t.entries, id)
		}
	}
	t.updateUsable()
	return changes
}

// Replace applies the complete list of registry rows and returns what changed.
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
	t.updateUsable()
	return changes
}

// Update applies changes of the registry in their order and returns what changed. A row
// that was removed and written again between two reads of the registry thus ends as written.
func (t *Tracker) Update(rows []Row, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, r := range rows {
		if r.Replica == nil {
			changes = t.remove(changes, r.ID, now)
		} else {
			changes = t.put(changes, r.Replica)
		}
	}
	t.updateUsable()
	return changes
}

// Expire removes the replicas whose rows are still missing after the grace period, unless
// the store is unavailable.
func (t *Tracker) Expire(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, since := range t.leaving {
		if now.Sub(since) > leavingRetention {
			delete(t.leaving, instance)
		}
	}
	if t.storeUnavailable {
		return nil
	}
	var changes []Change
	for id, e := range t.entries {
		if !e.removeAt.IsZero() && now.After(e.removeAt) {
			changes = append(changes, Change{e.replica, "removed"})
			delete(t.entries, id)
		}
	}
	if len(changes) > 0 {
		t.updateUsable()
	}
	return changes
}

// put adds or updates a replica, and ignores a row that is older than the known one unless that
// is wrong.
func (t *Tracker) put(changes []Change, r *Replica) []Change {
	e, ok := t.entries[r.ID]
	switch {
	case !ok:
		t.entries[r.ID] = &entry{replica: r.setInstance()}
		return append(changes, Change{r, "added"})
	case r.Older(e.replica) && !e.late.add(r):
		return changes
	case r.Older(e.replica) || !e.replica.SameInstance(r):
		t.entries[r.ID] = &entry{replica: r.setInstance()}
		return append(changes, Change{r, "changed"})
	case !e.removeAt.IsZero():
		e.removeAt = time.Time{}
		changes = append(changes, Change{r, "restored"})
	}
	if r.Draining != e.replica.Draining || r.Slots != e.replica.Slots {
		kind := "changed"
		if r.Draining {
			kind = "draining"
		}
		changes = append(changes, Change{r, kind})
	}
	r.instance = e.replica.instance
	e.replica, e.late = r, lateRows{}
	return changes
}

// remove handles a missing row. It removes the replica at once if it is stopping, or if the
// store is available and the grace period of the last outage is over. Otherwise the row may
// have expired in the outage, and the replica stays usable until the grace period ends.
func (t *Tracker) remove(changes []Change, id string, now time.Time) []Change {
	e, ok := t.entries[id]
	if !ok || !e.removeAt.IsZero() {
		return changes
	}
	graceEnd := t.recoveredAt.Add(t.options.OutageGrace)
	_, leaving := t.leaving[e.replica.instance]
	if !t.storeUnavailable && (t.recoveredAt.IsZero() || !now.Before(graceEnd)) || e.replica.Draining || leaving {
		delete(t.entries, id)
		return append(changes, Change{e.replica, "removed"})
	}
	e.removeAt = graceEnd
	return append(changes, Change{e.replica, "doubtful"})
}

// updateUsable recomputes the usable replicas by service.
func (t *Tracker) updateUsable() {
	usable := make(map[string][]*Replica, len(t.usable))
	for _, e := range t.entries {
		if _, leaving := t.leaving[e.replica.instance]; !leaving && !e.replica.Draining {
			usable[e.replica.Service] = append(usable[e.replica.Service], e.replica)
		}
	}
	t.usable = usable
}
