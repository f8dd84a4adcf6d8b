package steward

import (
	"sync"
	"time"
)

// forgetClosed is how long a closed grant is remembered, in case that the call
// which opens it comes later than the one that closes it.
const forgetClosed = 20 * time.Second

// holding are the tokens of a grant made to another daemon.
type holding struct {
	program string
	tokens  int
	until   time.Time
}

// book is the list of grants made to other daemons.
type book struct {
	mu     sync.Mutex
	open   map[string]holding
	closed map[string]time.Time
}

// add notes a grant; it returns false if the grant was closed before.
func (b *book) add(id string, h holding) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.closed[id]; ok {
		return false
	}
	if b.open == nil {
		b.open = map[string]holding{}
	}
	b.open[id] = h
	return true
}

// close removes a grant; it returns false if there is none of that id.
func (b *book) close(id string, now time.Time) (holding, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.open[id]
	delete(b.open, id)
	if b.closed == nil {
		b.closed = map[string]time.Time{}
	}
	b.closed[id] = now.Add(forgetClosed)
	return h, ok
}

// expire removes and returns the grants whose time is over.
func (b *book) expire(now time.Time) []holding {
	b.mu.Lock()
	defer b.mu.Unlock()
	var over []holding
	for id, h := range b.open {
		if now.After(h.until) {
			over = append(over, h)
			delete(b.open, id)
		}
	}
	for id, until := range b.closed {
		if now.After(until) {
			delete(b.closed, id)
		}
	}
	return over
}
