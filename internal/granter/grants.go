package granter

import (
	"sync"
	"time"
)

// closedRetention is how long the id of a closed grant is remembered, since the
// call that opens the grant may arrive after the call that closes it.
const closedRetention = 20 * time.Second

// peerGrant is the token reservation of a turn that was opened for another daemon.
type peerGrant struct {
	program string
	tokens  int
	expires time.Time
}

// grants is the table of grants made to other daemons.
type grants struct {
	mu     sync.Mutex
	open   map[string]peerGrant
	closed map[string]time.Time
}

// add records a grant; it returns false if the grant has already been closed.
func (t *grants) add(id string, g peerGrant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.closed[id]; ok {
		return false
	}
	if t.open == nil {
		t.open = map[string]peerGrant{}
	}
	t.open[id] = g
	return true
}

// close removes a grant; it returns false if no grant with that id is open.
func (t *grants) close(id string, now time.Time) (peerGrant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.open[id]
	delete(t.open, id)
	if t.closed == nil {
		t.closed = map[string]time.Time{}
	}
	t.closed[id] = now.Add(closedRetention)
	return g, ok
}

// expire removes and returns the grants that have expired.
func (t *grants) expire(now time.Time) []peerGrant {
	t.mu.Lock()
	defer t.mu.Unlock()
	var expired []peerGrant
	for id, g := range t.open {
		if now.After(g.expires) {
			expired = append(expired, g)
			delete(t.open, id)
		}
	}
	for id, until := range t.closed {
		if now.After(until) {
			delete(t.closed, id)
		}
	}
	return expired
}
