package archivist

import (
	"container/list"
	"sync"
)

// cache holds the turns that were used last, bounded by their bytes.
type cache struct {
	mu    sync.Mutex
	room  int
	used  int
	order *list.List
	nodes map[string]*list.Element
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), nodes: map[string]*list.Element{}}
}

func (c *cache) get(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.nodes[id]
	if !ok {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*node)
}

func (c *cache) put(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.nodes[n.id]; ok {
		return
	}
	c.nodes[n.id] = c.order.PushFront(n)
	c.used += n.size()
	for c.used > c.room && c.order.Len() > 1 {
		e := c.order.Back()
		old := c.order.Remove(e).(*node)
		delete(c.nodes, old.id)
		c.used -= old.size()
	}
}

// nodeOverhead is the memory of a cached turn beside its text, in bytes.
const nodeOverhead = 400

func (n *node) size() int { return len(n.text) + nodeOverhead }
