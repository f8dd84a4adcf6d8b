package cataloger

import "sync/atomic"

// Keeper holds the newest catalog. The zero value holds none.
type Keeper struct {
	current atomic.Pointer[Catalog]
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
