package emulator

import (
	"container/list"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	bytesPerToken = 4
	eventLag      = 500 * time.Millisecond
)

// prefixCache is an LRU over message prefixes with a capacity in tokens.
type prefixCache struct {
	capacity int
	used     int
	nodes    map[uint64]*list.Element
	order    *list.List
	events   []CacheEvent
	times    []time.Time
}

type prefixNode struct {
	hash   uint64
	tokens int
}

// CacheEvent says that a prefix was stored in or evicted from an engine's cache.
type CacheEvent struct {
	Number int    `json:"number"`
	Hash   string `json:"hash"`
	Stored bool   `json:"stored"`
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, nodes: map[uint64]*list.Element{}, order: list.New()}
}

// prefixes returns the chain hash and the own tokens of each message prefix.
func prefixes(messages []Message) []prefixNode {
	nodes := make([]prefixNode, 0, len(messages))
	chain := uint64(0)
	for _, m := range messages {
		n := extend(chain, m)
		chain = n.hash
		nodes = append(nodes, n)
	}
	return nodes
}

// extend returns the node of a message after a prefix.
func extend(chain uint64, m Message) prefixNode {
	hash := xxhash.Sum64String(strconv.FormatUint(chain, 16) + "\x00" + m.Role + "\x00" + m.Content)
	return prefixNode{hash: hash, tokens: CountTokens(m.Content)}
}

// CountTokens returns the tokens that an engine counts for a text.
func CountTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// lookup returns the total and the cached tokens of a prompt, and refreshes what it hits.
func (c *prefixCache) lookup(nodes []prefixNode) (total, cached int) {
	hit := true
	for _, n := range nodes {
		total += n.tokens
		e, ok := c.nodes[n.hash]
		hit = hit && ok
		if hit {
			cached += n.tokens
			c.order.MoveToFront(e)
		}
	}
	return total, cached
}

func (c *prefixCache) insert(nodes []prefixNode) {
	for _, n := range nodes {
		if e, ok := c.nodes[n.hash]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.nodes[n.hash] = c.order.PushFront(n)
		c.used += n.tokens
		c.event(n.hash, true)
	}
	for c.used > c.capacity {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.order.Back()
	n := e.Value.(prefixNode)
	c.order.Remove(e)
	delete(c.nodes, n.hash)
	c.used -= n.tokens
	c.event(n.hash, false)
}

// eventsAfter returns the events after a number that are old enough to be told.
func (c *prefixCache) eventsAfter(number int) []CacheEvent {
	told := sort.Search(len(c.times), func(i int) bool { return time.Since(c.times[i]) < eventLag })
	return c.events[min(max(0, number), told):told]
}

func (c *prefixCache) event(hash uint64, stored bool) {
	ev := CacheEvent{Number: len(c.events) + 1, Hash: strconv.FormatUint(hash, 16), Stored: stored}
	c.events = append(c.events, ev)
	c.times = append(c.times, time.Now())
}
