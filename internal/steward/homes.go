package steward

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// avoidLeast is how long a home that failed is not asked; it doubles with each
	// further failure up to avoidMost.
	avoidLeast = 400 * time.Millisecond
	avoidMost  = 6 * time.Second
	// mixer spreads the bits of a product, 2^64 divided by the golden ratio.
	mixer = 0x9e3779b97f4a7c15
)

// homes knows which peers are not asked for a while.
type homes struct {
	mu      sync.Mutex
	avoided map[string]avoidance
}

// avoidance is a peer that failed.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// of returns a program's home; all daemons that know the same peers pick the same
// one. It returns false if that is this daemon.
func (h *homes) of(program, me string, peers []Peer, now time.Time) (Peer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := xxhash.Sum64String(program)
	var home Peer
	best := weight(key, me)
	for _, p := range peers {
		w := weight(key, p.Name)
		if w <= best || now.Before(h.avoided[p.Address].until) {
			continue
		}
		best, home = w, p
	}
	return home, home.Address != ""
}

func weight(key uint64, name string) uint64 {
	x := (key ^ xxhash.Sum64String(name)) * mixer
	return (x ^ x>>32) * mixer
}

// failed notes that a peer did not open a turn; it returns whether it had before.
func (h *homes) failed(address string, now time.Time) (first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.avoided == nil {
		h.avoided = map[string]avoidance{}
	}
	a := h.avoided[address]
	first = a.pause == 0
	if now.Before(a.until) {
		return false // Several turns were under way.
	}
	a.pause = min(max(avoidLeast, 2*a.pause), avoidMost)
	a.until = now.Add(a.pause)
	h.avoided[address] = a
	return first
}

// answered notes that a peer works.
func (h *homes) answered(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.avoided, address)
}
