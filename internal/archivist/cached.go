package archivist

import "slices"

// NewChain returns the chain of persisted turns, given oldest first.
func NewChain(turns []Turn) *Chain {
	c := &Chain{}
	for _, t := range turns {
		c.nodes = append(c.nodes, &node{id: t.ID, ancestors: c.ancestors(), text: t.Text})
	}
	return c
}

// Turns returns the turns of the chain, oldest first.
func (c *Chain) Turns() []Turn {
	turns := make([]Turn, len(c.nodes))
	for i, n := range c.nodes {
		turns[i] = Turn{ID: n.id, Parent: n.parent(), Text: n.text}
	}
	return turns
}

// CachedChain returns the history that ends with a turn, and false if part of it is not
// in the cache. The caller must release the chain.
func (a *Archivist) CachedChain(id string) (*Chain, bool) {
	l := &lease{memory: a.memory}
	var turns []Turn
	for id != "" {
		n := a.cache.get(id)
		if n == nil || len(turns) >= maxChainTurns || l.acquire(len(n.text)) != nil {
			l.release()
			return nil, false
		}
		turns = append(turns, Turn{ID: n.id, Parent: n.parent(), Text: n.text})
		id = n.parent()
	}
	slices.Reverse(turns)
	c := NewChain(turns)
	c.lease = l
	return c, true
}

// AddToCache caches a turn that another daemon has recorded, if its parent is cached.
func (a *Archivist) AddToCache(t Turn) {
	n := &node{id: t.ID, text: t.Text}
	if t.Parent != "" {
		p := a.cache.get(t.Parent)
		if p == nil {
			return
		}
		n.ancestors = append([]string{t.Parent}, p.ancestors[:min(len(p.ancestors), maxAncestors-1)]...)
	}
	a.cache.put(n)
}
