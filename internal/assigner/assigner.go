package assigner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// avoidLeast is how long a peer that failed is left out; it doubles with each
	// further failure up to avoidMost.
	avoidLeast = 400 * time.Millisecond
	avoidMost  = 6 * time.Second
	// mixer spreads the bits of a product, 2^64 divided by the golden ratio.
	mixer = 0x9e3779b97f4a7c15
)

// Assigner picks peers for one daemon.
type Assigner struct {
	me    string
	peers Peers

	mu      sync.Mutex
	avoided map[string]avoidance
}

// avoidance is a peer that failed.
type avoidance struct {
	until time.Time
	pause time.Duration
}

// New returns an assigner for the daemon of that name; peers may be nil.
func New(me string, peers Peers) *Assigner {
	return &Assigner{me: me, peers: peers, avoided: map[string]avoidance{}}
}

// Of returns the peer that a key is assigned to, and false if that is this daemon.
func (a *Assigner) Of(key string) (Peer, bool) {
	if a.peers == nil {
		return Peer{}, false
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	hash := xxhash.Sum64String(key)
	var picked Peer
	best := weight(hash, a.me)
	for _, p := range a.peers.Others() {
		w := weight(hash, p.Name)
		if w <= best || now.Before(a.avoided[p.Address].until) {
			continue
		}
		best, picked = w, p
	}
	return picked, picked.Address != ""
}

func weight(key uint64, name string) uint64 {
	x := (key ^ xxhash.Sum64String(name)) * mixer
	return (x ^ x>>32) * mixer
}

// Failed notes that a peer did not do its work; it returns whether it did before.
func (a *Assigner) Failed(address string) (first bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.avoided[address]
	if now.Before(v.until) {
		return false // Several calls were under way.
	}
	first = v.pause == 0
	v.pause = min(max(avoidLeast, 2*v.pause), avoidMost)
	v.until = now.Add(v.pause)
	a.avoided[address] = v
	return first
}

// Answered notes that a peer works.
func (a *Assigner) Answered(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.avoided, address)
}
