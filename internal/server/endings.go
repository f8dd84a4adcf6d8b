package server

import (
	"sync"
	"time"
)

// endingRetention is how long a replica counts as down after its process was found to have
// ended. A replica that crashed is back after a few seconds.
const endingRetention = 10 * time.Second

// endings are the addresses whose processes were lately found to have ended. They handle a
// service of two or three replicas that crash one after the other: each is refused while the
// next one ends, which must not look like a cut of this daemon.
type endings struct {
	mu      sync.Mutex
	endedAt map[string]time.Time
}

// add records that the process at an address has ended.
func (e *endings) add(address string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.endedAt == nil {
		e.endedAt = map[string]time.Time{}
	}
	for a, at := range e.endedAt {
		if now.Sub(at) > endingRetention {
			delete(e.endedAt, a)
		}
	}
	e.endedAt[address] = now
}

// has reports whether the process at an address has lately ended.
func (e *endings) has(address string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.endedAt[address]
	return ok && now.Sub(at) <= endingRetention
}
