package isolator

import (
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// collectFor is how long requests that broke off at an instance are collected until it
	// is checked, and checkTimeout bounds the check.
	collectFor   = 10 * time.Millisecond
	checkTimeout = 500 * time.Millisecond
)

// brokenOff holds the requests of this daemon that broke off at one instance.
type brokenOff struct {
	isolator                   *Isolator
	service, instance, address string
	suspects                   []suspect
	// at is when the end of the instance was confirmed.
	at time.Time
}

// add adds a request and returns true if it is new. The caller holds the lock.
func (b *brokenOff) add(m Mark) bool {
	if len(b.suspects) >= maxSuspects || slices.ContainsFunc(b.suspects, func(s suspect) bool { return s.Whole == m.Whole }) {
		return false
	}
	b.suspects = append(b.suspects, newSuspect(m, b.isolator.found.known))
	return true
}

// run records a crash if the instance has ended, and otherwise forgets the requests: their
// connections broke, not the replica.
func (b *brokenOff) run() {
	defer supervisor.Recover("isolator: check of a replica")
	i := b.isolator
	ctx := i.tomb.Context(nil)
	select {
	case <-time.After(collectFor):
	case <-ctx.Done():
		return
	}
	crashed := i.crashed(ctx, b.address)
	i.mu.Lock()
	defer i.mu.Unlock()
	// Requests wait until the instance is no longer pending.
	defer delete(i.pending, b.instance)
	i.logger.Event("isolator", "requests broke off").Str("instance", b.instance).Int("suspects", len(b.suspects)).Bool("crashed", crashed).End()
	if crashed {
		i.recordLocked(b, time.Now())
		return
	}
	delete(i.pending, b.instance)
	i.changedLocked()
}

// Confirming reports whether it is not known yet that a replica which broke off a request has
// ended.
func (i *Isolator) Confirming(m Mark) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, b := range i.pending {
		if slices.ContainsFunc(b.suspects, func(s suspect) bool { return s.Whole == m.Whole }) {
			return true
		}
	}
	return false
}
