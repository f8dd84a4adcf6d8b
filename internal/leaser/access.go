package leaser

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/storer"
)

// Valid reports whether the lease holds on the monotonic clock right now.
func (l *Leaser) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validLocked()
}

// Owns returns the fence of a partition that this daemon owns under a valid
// lease. Whoever asks for another one may know of a handover first, so the map
// is read again soon.
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

// Held returns the fences of all partitions held.
func (l *Leaser) Held() []Fence {
	l.mu.Lock()
	defer l.mu.Unlock()
	fences := make([]Fence, 0, len(l.held))
	for _, f := range l.held {
		fences = append(fences, f)
	}
	return fences
}

// Members returns the members with a running lease, those that leave included.
func (l *Leaser) Members() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveLocked(time.Now(), true)
}

// Gone reports whether a session has no running lease for this observer.
func (l *Leaser) Gone(session string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.goneLocked(session, time.Now())
}

// Session returns the daemon's session.
func (l *Leaser) Session() string { return l.o.Session }

// Partitions returns the number of partitions.
func (l *Leaser) Partitions() int { return l.o.Partitions }

// Synced returns how long ago the map was read.
func (l *Leaser) Synced() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.synced)
}

// SetConfig states the configuration version in force from the next renewal on.
func (l *Leaser) SetConfig(version uint64) {
	l.mu.Lock()
	changed := version != l.self.Config
	l.self.Config = version
	l.changed = l.changed || changed
	l.mu.Unlock()
	if changed {
		l.Refresh()
	}
}

// Leave hands all partitions over and returns when none is held or the context ends.
func (l *Leaser) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.self.State = Leaving
	l.changed = true
	l.mu.Unlock()
	for {
		l.Refresh()
		left := l.named()
		if left == 0 {
			return nil
		}
		select {
		case <-time.After(l.o.Period / 10):
		case <-ctx.Done():
			return errors.Errorf("%d partitions were not handed over", left)
		}
	}
}

// named returns the number of partitions that are held or whose rows name this daemon.
func (l *Leaser) named() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.held)
	for p, o := range l.owners {
		if _, held := l.held[p]; !held && o.Session == l.o.Session {
			n++
		}
	}
	return n
}

// End stops renewing and deletes the member row.
func (l *Leaser) End(ctx context.Context) {
	l.mu.Lock()
	l.ended = true
	version := l.version
	l.mu.Unlock()
	key := MemberKey(l.o.Session)
	_, err := l.o.Table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: key, Version: version}},
		Writes:     []storer.Write{{Key: key, Delete: true}},
	})
	if err != nil {
		klog.Warningf("leaser: member row stays: %v", err)
	}
}
