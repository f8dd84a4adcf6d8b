package leaser

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/storer"
)

// Valid reports whether less than Lifetime minus Margin has passed since the start of the
// last renewal that took effect, by the monotonic or the wall clock, whichever shows more.
// It is false before the first renewal.
func (l *Leaser) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validLocked()
}

// Owns returns the fence of a partition that this daemon owns under a valid lease.
// If the daemon does not hold the partition, its map may be older than the caller's, so
// Owns also requests a new read of the map.
func (l *Leaser) Owns(p int) (Fence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, ok := l.held[p]
	if !ok {
		l.Refresh()
	}
	return f, ok && l.validLocked()
}

// Assigned reports whether the last known map assigns the partition to this daemon, even
// if its lease has lapsed. Soft state may rely on it while the store is unavailable.
func (l *Leaser) Assigned(p int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.held[p]
	return ok
}

// Owner returns the last known owner of a partition.
func (l *Leaser) Owner(p int) (Partition, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.owners[p]
	return o, ok
}

// Held returns the fences of all partitions that this daemon holds.
func (l *Leaser) Held() []Fence {
	l.mu.Lock()
	defer l.mu.Unlock()
	fences := make([]Fence, 0, len(l.held))
	for _, f := range l.held {
		fences = append(fences, f)
	}
	return fences
}

// Members returns the members whose lease has not expired, including leaving ones.
func (l *Leaser) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unexpiredLocked(time.Now(), true)
}

// SessionExpired reports whether the lease of a session has expired for this observer.
func (l *Leaser) SessionExpired(session string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessionExpiredLocked(session, time.Now())
}

// Session returns the session id of this daemon.
func (l *Leaser) Session() string { return l.options.Session }

// Partitions returns the number of partitions.
func (l *Leaser) Partitions() int { return l.options.Partitions }

// MapAge returns the time since the partition map was last read.
func (l *Leaser) MapAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.mapReadAt)
}

// SetConfigVersion sets the configuration version that the member row reports as in force
// from the next renewal on.
func (l *Leaser) SetConfigVersion(version uint64) {
	l.mu.Lock()
	changed := version != l.self.Config
	l.self.Config = version
	l.dirty = l.dirty || changed
	l.mu.Unlock()
	if changed {
		l.Refresh()
	}
}

// Leave hands over all partitions. It returns once none is left or the context ends.
func (l *Leaser) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.self.State = Leaving
	l.dirty = true
	l.mu.Unlock()
	for {
		l.Refresh()
		remaining := l.countNamed()
		if remaining == 0 {
			return nil
		}
		select {
		case <-time.After(l.options.Period / 10):
		case <-ctx.Done():
			return errors.Errorf("%d partitions were not handed over", remaining)
		}
	}
}

// countNamed returns the number of partitions that are held or whose rows name this daemon.
func (l *Leaser) countNamed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.held)
	for p, o := range l.owners {
		if _, held := l.held[p]; !held && o.Session == l.options.Session {
			n++
		}
	}
	return n
}

// Deregister stops renewing and deletes the member row.
func (l *Leaser) Deregister(ctx context.Context) {
	l.mu.Lock()
	l.ended = true
	version := l.rowVersion
	l.mu.Unlock()
	key := MemberKey(l.options.Session)
	_, err := l.options.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		klog.Warningf("leaser: deleting the member row failed: %v", err)
	}
}
