package cataloger

import "sync/atomic"

// Keeper holds the newest catalog; its zero value holds none.
type Keeper struct {
	current atomic.Pointer[Catalog]
}

// Current returns the newest catalog, or nil before the first.
func (k *Keeper) Current() *Catalog { return k.current.Load() }

// Apply puts a catalog in force unless it is older than the current one.
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
