package tracker

import (
	"context"
	"time"
)

// SawEnd records that the process of an instance was seen to end: a connection broke off, or
// a dial was refused. The instance is unconfirmed until it has written a further row. SawEnd
// returns false if the end was known, announced, or that of an instance that is not known.
func (t *Tracker) SawEnd(instance string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(instance)
	if _, leaving := t.leaving[instance]; e == nil || leaving || e.replica.Draining {
		return false
	}
	return e.confirmation.sawEnd(now)
}

// SawEndSince reports whether the process of an instance was seen to end after a time, and the
// instance is not confirmed since.
func (t *Tracker) SawEndSince(r *Replica, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entryOf(r)
	return e != nil && e.confirmation.endedAt.After(since)
}

// Unconfirmed returns the usable instances of a service whose process was seen to end.
func (t *Tracker) Unconfirmed(service string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []string
	for _, r := range t.usable[service] {
		if e := t.entries[r.ID]; e != nil && !e.confirmation.endedAt.IsZero() {
			list = append(list, r.instance)
		}
	}
	return list
}

// EndedBefore returns the replicas whose process was seen to end, for the last time before a time,
// and that are not confirmed since.
func (t *Tracker) EndedBefore(now time.Time) []*Replica {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var list []*Replica
	for _, e := range t.entries {
		if ended := e.confirmation.endedAt; !ended.IsZero() && ended.Before(now) && e.removeAt.IsZero() {
			list = append(list, e.replica)
		}
	}
	return list
}

// Owns reports whether a connection to an instance's address, opened at a time, is known to
// lead to the process of the instance. It is not if the process may have been replaced by
// another one whose row has not been read yet.
func (t *Tracker) Owns(r *Replica, opened time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entryOf(r)
	return e != nil && e.confirmation.owns(opened)
}

// Outlived reports whether an instance is certain to have lived after a connection to its
// address was opened: it wrote a row after that, or named itself on that connection or a later
// one. No other process can have accepted the connection then, even if rows are written late.
func (t *Tracker) Outlived(r *Replica, opened time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entryOf(r)
	return e != nil && e.confirmation.outlived(opened)
}

// AliveSince reports whether an instance wrote a row after a version of the store.
func (t *Tracker) AliveSince(r *Replica, version uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entryOf(r)
	return e != nil && version > 0 && e.confirmation.aliveVersion >= version
}

// ReachedVersion records that the rows are those of a version of the store or a later one.
func (t *Tracker) ReachedVersion(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readVersion = max(t.readVersion, version)
}

// Covers reports whether the rows are as new as a version of the store, or were read at a time or
// later. A replica that wrote its row before, and is not known, is gone.
func (t *Tracker) Covers(version uint64, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.covers(version, since)
}

// AwaitCovered waits until Covers is true or the context ends, and returns Covers.
func (t *Tracker) AwaitCovered(ctx context.Context, version uint64, since time.Time) bool {
	for {
		t.mu.RLock()
		covered, next := t.covers(version, since), t.confirmed
		t.mu.RUnlock()
		if covered {
			return true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// covers is Covers. The caller holds the lock.
func (t *Tracker) covers(version uint64, since time.Time) bool {
	return version > 0 && t.readVersion >= version || !t.readBegan.Before(since)
}

// ReadCompleted records that the rows are those of a read of the registry that began at a time,
// once Replace or Update has applied them. It returns the replicas that this confirms.
func (t *Tracker) ReadCompleted(began time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readBegan = began
	var changes []Change
	for _, e := range t.entries {
		if e.removeAt.IsZero() && e.confirmation.read(began, t.readVersion, e.replica.Sequence) {
			changes = append(changes, Change{e.replica, "confirmed"})
		}
	}
	t.announceConfirmed()
	return changes
}

// Identified records that an instance's process named its own start time on a connection that
// was opened at a time. It lived at that time.
func (t *Tracker) Identified(r *Replica, opened time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entryOf(r); e != nil {
		e.confirmation.identified(opened)
		t.announceConfirmed()
	}
}

// AwaitOwned waits until Owns is true, the instance is replaced or the context ends, and
// returns Owns.
func (t *Tracker) AwaitOwned(ctx context.Context, r *Replica, opened time.Time) bool {
	return t.await(ctx, r, func(c *confirmation) bool { return c.owns(opened) })
}

// await waits until the confirmation of an instance meets a condition, and returns false if the
// instance is replaced or the context ends before.
func (t *Tracker) await(ctx context.Context, r *Replica, met func(*confirmation) bool) bool {
	for {
		t.mu.RLock()
		e, next := t.entryOf(r), t.confirmed
		ok := e != nil && met(&e.confirmation)
		t.mu.RUnlock()
		if ok || e == nil {
			return ok
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// announceConfirmed wakes those that wait in one of the Await methods. The caller holds the lock.
func (t *Tracker) announceConfirmed() {
	close(t.confirmed)
	t.confirmed = make(chan struct{})
}
