package archivist

import (
	"container/list"
	"sync"
)

// cache holds the most recently used turns, up to a total size.
type cache struct {
	mu        sync.Mutex
	maxBytes  int
	usedBytes int
	// recency lists the nodes, most recently used first.
	recency *list.List
	nodes   map[string]*list.Element
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, recency: list.New(), nodes: map[string]*list.Element{}}
}

func (c *cache) get(id string) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.nodes[id]
	if !ok {
		return nil
	}
	c.recency.MoveToFront(e)
	return e.Value.(*node)
}

func (c *cache) put(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.nodes[n.id]; ok || n.size() > c.maxBytes {
		return
	}
	c.nodes[n.id] = c.recency.PushFront(n)
	c.usedBytes += n.size()
	for c.usedBytes > c.maxBytes && c.recency.Len() > 1 {
		e := c.recency.Back()
		old := c.recency.Remove(e).(*node)
		delete(c.nodes, old.id)
		c.usedBytes -= old.size()
	}
}

// nodeOverheadBytes is the memory that a cached turn takes in addition to its text.
const nodeOverheadBytes = 400

func (n *node) size() int { return len(n.text) + nodeOverheadBytes }
