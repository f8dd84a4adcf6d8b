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
	// takeoverAfter is how long a peer must have failed until this daemon leads in its place.
	takeoverAfter = 1500 * time.Millisecond
	// reportRetention is how long the report of another daemon that a peer failed counts.
	reportRetention = 5 * time.Second
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
	// reports are the times at which other daemons last reported that they missed a peer.
	reports map[string]time.Time
}

// avoidance is the time until which a failed peer is excluded, and for how long that is.
type avoidance struct {
	// since is the first failure since the peer last answered.
	since    time.Time
	until    time.Time
	duration time.Duration
}

// New returns an assigner for the daemon with the given name; peers may be nil.
func New(self string, peers Peers) *Assigner {
	return &Assigner{self: self, peers: peers, avoided: map[string]avoidance{}, reports: map[string]time.Time{}}
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

// Leads reports whether a key is assigned to this daemon in the view of its peers too: no
// other daemon ranks higher, apart from those that have failed for a while and that others
// miss as well. A peer that only this daemon does not reach still leads for the others.
func (a *Assigner) Leads(key string) bool {
	if a.peers == nil {
		return true
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	hash := xxhash.Sum64String(key)
	own := weight(hash, a.self)
	for _, p := range a.peers.Others() {
		if weight(hash, p.Name) <= own {
			continue
		}
		v, failed := a.avoided[p.Address]
		if !failed || now.Sub(v.since) < takeoverAfter || now.Sub(a.reports[p.Address]) > reportRetention {
			return false
		}
	}
	return true
}

// Passed returns the address of the peer that would be picked for a key if it had not
// failed, empty for none.
func (a *Assigner) Passed(key string) string {
	if a.peers == nil {
		return ""
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	hash := xxhash.Sum64String(key)
	address, maxWeight := "", weight(hash, a.self)
	for _, p := range a.peers.Others() {
		if w := weight(hash, p.Name); w > maxWeight {
			address, maxWeight = p.Address, w
		}
	}
	if now.Before(a.avoided[address].until) {
		return address
	}
	return ""
}

// FailedForPeer records that another daemon reported the failure of a peer. It returns true
// if the peer is not excluded here, so that the daemon should try it.
func (a *Assigner) FailedForPeer(address string) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reports[address] = now
	return !now.Before(a.avoided[address].until)
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
	if first = v.duration == 0; first {
		v.since = now
	}
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
