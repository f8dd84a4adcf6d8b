package assigner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAvoidance is how long a peer is excluded after its first failure; it doubles
	// with each further failure up to maxAvoidance.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 6 * time.Second
	// hashMultiplier is 2^64 divided by the golden ratio; multiplying by it mixes the
	// bits of a hash.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// Assigner picks peers for one daemon.
type Assigner struct {
	self  string
	peers Peers

	mu      sync.Mutex
	avoided map[string]avoidance
}

// avoidance is the time until which a failed peer is excluded, and for how long that is.
type avoidance struct {
	until    time.Time
	duration time.Duration
}

// New returns an assigner for the daemon with the given name; peers may be nil.
func New(self string, peers Peers) *Assigner {
	return &Assigner{self: self, peers: peers, avoided: map[string]avoidance{}}
}

// Of returns the peer to which a key is assigned, and false if that is this daemon.
func (a *Assigner) Of(key string) (Peer, bool) {
	if a.peers == nil {
		return Peer{}, false
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	hash := xxhash.Sum64String(key)
	var picked Peer
	maxWeight := weight(hash, a.self)
	for _, p := range a.peers.Others() {
		w := weight(hash, p.Name)
		if w <= maxWeight || now.Before(a.avoided[p.Address].until) {
			continue
		}
		maxWeight, picked = w, p
	}
	return picked, picked.Address != ""
}

// weight returns the rendezvous weight of a daemon for a hashed key; the daemon with the
// highest weight is picked.
func weight(key uint64, name string) uint64 {
	x := (key ^ xxhash.Sum64String(name)) * hashMultiplier
	return (x ^ x>>32) * hashMultiplier
}

// Failed records that a peer failed and excludes it for a while. It returns true for the
// first failure since the peer last answered.
func (a *Assigner) Failed(address string) (first bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.avoided[address]
	if now.Before(v.until) {
		return false // Concurrent calls count as one failure.
	}
	first = v.duration == 0
	v.duration = min(max(minAvoidance, 2*v.duration), maxAvoidance)
	v.until = now.Add(v.duration)
	a.avoided[address] = v
	return first
}

// Answered records that a peer works and ends its exclusion.
func (a *Assigner) Answered(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.avoided, address)
}
