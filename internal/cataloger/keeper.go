package cataloger

import (
	"sync"
	"sync/atomic"
	"time"
)

// Keeper holds the newest catalog. The zero value holds none.
type Keeper struct {
	current atomic.Pointer[Catalog]

	mu           sync.Mutex
	confirmation confirmation
	// unreadable is set while the newest version can't be decoded.
	unreadable bool
}

// Current returns the newest catalog, or nil if none has been applied.
func (k *Keeper) Current() *Catalog { return k.current.Load() }

// Apply makes c the current catalog and returns true, unless the current one has the same
// or a newer version.
func (k *Keeper) Apply(c *Catalog) bool {
	for {
		old := k.current.Load()
		if c.Version() <= old.Version() && old != nil {
			return false
		}
		if k.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Try records an attempt to read the configuration, whatever its result.
func (k *Keeper) Try(began, ended time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmation.try(began, ended)
}

// Confirm records that no version newer than those read existed at a time.
func (k *Keeper) Confirm(asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmation.confirm(asOf)
}

// SetUnreadable records whether the newest version can't be decoded, so that it is not known what
// it adds and withdraws.
func (k *Keeper) SetUnreadable(unreadable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreadable = unreadable
}

// Fresh reports whether the configuration was read within maxAge, readable or not.
func (k *Keeper) Fresh(now time.Time, maxAge time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmation.certainty(now, maxAge) == Confirmed
}

// Certainty returns whether the catalog was confirmed within maxAge. What it returns holds for
// the catalogs that Current returns afterwards.
func (k *Keeper) Certainty(now time.Time, maxAge time.Duration) Certainty {
	k.mu.Lock()
	defer k.mu.Unlock()
	certainty := k.confirmation.certainty(now, maxAge)
	if certainty == Confirmed && k.unreadable {
		return Unreachable
	}
	return certainty
}
