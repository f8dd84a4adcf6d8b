package tunneler

import (
	"math/rand/v2"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
)

const (
	// maxOwnZone and maxElsewhere bound the peers that are asked for one connection. A zone
	// may be cut off as a whole, so peers of other zones are always among them.
	maxOwnZone   = 2
	maxElsewhere = 2
	// avoidFor is how long a peer is not asked after it was cut off or did not answer.
	avoidFor = 500 * time.Millisecond
	// rounds is how often further peers are asked for evidence while none answers.
	rounds = 2
)

// candidates decides which peers are asked, and knows those that are not to be asked now. It
// has no clock or socket.
type candidates struct {
	mu      sync.Mutex
	avoided map[string]time.Time
}

// choose returns the peers to ask, in this order: some of the own zone first, since bytes
// between zones are dear. Their order is random, so that they share the tunnels.
func (t *candidates) choose(zone, elsewhere []assigner.Peer, now time.Time) []assigner.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append(t.pick(zone, maxOwnZone, now), t.pick(elsewhere, maxElsewhere, now)...)
}

// rounds returns the peers to ask for evidence, in groups of which the second is asked if the
// first is silent. Peers that are avoided come last: one that could not tell a moment ago may
// be the only one that answers, and leaving it out would look like silence.
func (t *candidates) rounds(zone, elsewhere []assigner.Peer, now time.Time) [rounds][]assigner.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	zone, elsewhere = t.sort(zone, now), t.sort(elsewhere, now)
	var groups [rounds][]assigner.Peer
	for i := range groups {
		var a, b []assigner.Peer
		a, zone = split(zone, maxOwnZone)
		b, elsewhere = split(elsewhere, maxElsewhere)
		groups[i] = append(a, b...)
	}
	return groups
}

// split returns the first n peers and the remaining ones.
func split(peers []assigner.Peer, n int) (first, remaining []assigner.Peer) {
	n = min(n, len(peers))
	return peers[:n:n], peers[n:]
}

// sort returns the peers in random order, with those that are avoided at the end. The caller
// holds the lock.
func (t *candidates) sort(peers []assigner.Peer, now time.Time) []assigner.Peer {
	var list, last []assigner.Peer
	for _, i := range rand.Perm(len(peers)) {
		if now.After(t.avoided[peers[i].Address]) {
			list = append(list, peers[i])
		} else {
			last = append(last, peers[i])
		}
	}
	return append(list, last...)
}

// pick returns at most n random peers that are not avoided. The caller holds the lock.
func (t *candidates) pick(peers []assigner.Peer, n int, now time.Time) []assigner.Peer {
	var list []assigner.Peer
	for _, i := range rand.Perm(len(peers)) {
		if len(list) < n && now.After(t.avoided[peers[i].Address]) {
			list = append(list, peers[i])
		}
	}
	return list
}

// avoid leaves a peer out for a while.
func (t *candidates) avoid(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.avoided == nil {
		t.avoided = map[string]time.Time{}
	}
	for a, until := range t.avoided {
		if now.After(until) {
			delete(t.avoided, a)
		}
	}
	t.avoided[address] = now.Add(avoidFor)
}
