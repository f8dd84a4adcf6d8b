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
	eventDelay    = 500 * time.Millisecond
)

// prefixCache is an LRU cache of message prefixes with a capacity in tokens.
type prefixCache struct {
	capacity   int
	used       int
	nodes      map[uint64]*list.Element
	order      *list.List
	events     []CacheEvent
	eventTimes []time.Time
}

// prefixNode is a message of a prompt, identified by the hash of the prompt up to and
// including it.
type prefixNode struct {
	hash   uint64
	tokens int
}

// CacheEvent records that a prefix was stored in or evicted from an engine's cache.
type CacheEvent struct {
	Number int    `json:"number"`
	Hash   string `json:"hash"`
	Stored bool   `json:"stored"`
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, nodes: map[uint64]*list.Element{}, order: list.New()}
}

// prefixes returns a node for each message: the hash of the prefix that ends with the
// message, and the message's own token count.
func prefixes(messages []Message) []prefixNode {
	nodes := make([]prefixNode, 0, len(messages))
	chain := uint64(0)
	for _, m := range messages {
		n := appendMessage(chain, m)
		chain = n.hash
		nodes = append(nodes, n)
	}
	return nodes
}

// appendMessage returns the node of a message that follows the prefix with the hash chain.
func appendMessage(chain uint64, m Message) prefixNode {
	hash := xxhash.Sum64String(strconv.FormatUint(chain, 16) + "\x00" + m.Role + "\x00" + m.Content)
	return prefixNode{hash: hash, tokens: CountTokens(m.Content)}
}

// CountTokens returns the number of tokens that an engine counts for a text.
func CountTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// lookup returns the total and the cached tokens of a prompt and marks the cached
// prefix as recently used.
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
		c.recordEvent(n.hash, true)
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
	c.recordEvent(n.hash, false)
}

// eventsAfter returns the events with a greater number that are at least eventDelay old.
func (c *prefixCache) eventsAfter(number int) []CacheEvent {
	visible := sort.Search(len(c.eventTimes), func(i int) bool { return time.Since(c.eventTimes[i]) < eventDelay })
	return c.events[min(max(0, number), visible):visible]
}

func (c *prefixCache) recordEvent(hash uint64, stored bool) {
	ev := CacheEvent{Number: len(c.events) + 1, Hash: strconv.FormatUint(hash, 16), Stored: stored}
	c.events = append(c.events, ev)
	c.eventTimes = append(c.eventTimes, time.Now())
}
