package archivist

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// parts spreads the turns over the store's partitions.
	parts = 256
	// maxKey is the longest id that is a key as it stands, in bytes.
	maxKey = 150
	// maxDepth bounds a chain, so that a damaged one ends.
	maxDepth = 4096
)

// ErrNoTurn says that no turn of that id is kept.
var ErrNoTurn = errors.New("archivist: no such turn")

// Options bound an Archivist.
type Options struct {
	// RowBytes is the largest value of a row.
	RowBytes int
	// CacheBytes is the memory for turns used lately.
	CacheBytes int
}

// Archivist records turns and puts chains together.
type Archivist struct {
	table   storer.Table
	options Options
	cache   *cache

	hits, misses, repeats atomic.Int64
}

// New returns an archivist over the table service.
func New(table storer.Table, o Options) *Archivist {
	return &Archivist{table: table, options: o, cache: newCache(o.CacheBytes)}
}

// Counts returns how many turns were found in memory, how many were read, and how many writes were repeated.
func (a *Archivist) Counts() (hits, misses, repeats int64) {
	return a.hits.Load(), a.misses.Load(), a.repeats.Load()
}

// Chain is a history, from its first turn to its last.
type Chain struct {
	nodes []*node
}

// Len returns the number of turns.
func (c *Chain) Len() int { return len(c.nodes) }

// Texts returns what each turn added, the oldest first.
func (c *Chain) Texts() [][]byte {
	texts := make([][]byte, len(c.nodes))
	for i, n := range c.nodes {
		texts[i] = n.text
	}
	return texts
}

// ancestors returns the nearest turns of the chain, the last first.
func (c *Chain) ancestors() []string {
	var ids []string
	for i := len(c.nodes) - 1; i >= 0 && len(ids) < maxAncestors; i-- {
		ids = append(ids, c.nodes[i].id)
	}
	return ids
}

// Chain returns the history that ends with a turn; an empty id is the empty history.
// ErrNoTurn is certain; any other error is not.
func (a *Archivist) Chain(ctx context.Context, id string) (*Chain, error) {
	c := &Chain{}
	near := map[string]*node{}
	for id != "" {
		if len(c.nodes) >= maxDepth {
			return nil, errors.Errorf("chain of turn %q is longer than %d", id, maxDepth)
		}
		n, err := a.find(ctx, id, near)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		id = n.parent()
	}
	for i, j := 0, len(c.nodes)-1; i < j; i, j = i+1, j-1 {
		c.nodes[i], c.nodes[j] = c.nodes[j], c.nodes[i]
	}
	return c, nil
}

// find returns a turn from memory or from the store; with it, it reads the ancestors that it names.
func (a *Archivist) find(ctx context.Context, id string, near map[string]*node) (*node, error) {
	if n := near[id]; n != nil {
		return n, nil
	}
	if n := a.cache.get(id); n != nil {
		a.hits.Add(1)
		return n, nil
	}
	n, err := a.read(ctx, id)
	if err != nil {
		return nil, err
	}
	f := &fetch{archivist: a}
	for _, other := range n.ancestors {
		if a.cache.get(other) == nil {
			f.group.Add(1)
			go f.run(ctx, other)
		}
	}
	f.group.Wait()
	for _, m := range f.found {
		near[m.id] = m
	}
	return n, f.err
}

// fetch reads several turns at once.
type fetch struct {
	archivist *Archivist
	group     sync.WaitGroup
	mu        sync.Mutex
	found     []*node
	err       error
}

func (f *fetch) run(ctx context.Context, id string) {
	defer f.group.Done()
	n, err := f.archivist.read(ctx, id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.err = err
		return
	}
	f.found = append(f.found, n)
}

func (a *Archivist) read(ctx context.Context, id string) (*node, error) {
	a.misses.Add(1)
	row, err := a.table.Get(ctx, key(id, 0))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, errors.Wrapf(ErrNoTurn, "%q", id)
	}
	n, more, err := decode(id, row.Value)
	if err != nil {
		return nil, err
	}
	for i := 1; i <= more; i++ {
		row, err := a.table.Get(ctx, key(id, i))
		if err != nil {
			return nil, err
		}
		if row.Version == 0 {
			return nil, errors.Errorf("row %d of turn %q is missing", i, id)
		}
		n.text = append(n.text, row.Value...)
	}
	a.cache.put(n)
	return n, nil
}

// Record keeps a turn after its chain; it returns nil only once the store has
// acknowledged it, and repeats a write in doubt until the context ends.
func (a *Archivist) Record(ctx context.Context, c *Chain, t Turn) error {
	n := &node{id: t.ID, ancestors: c.ancestors(), text: t.Text}
	if n.parent() != t.Parent {
		return errors.Errorf("turn %q continues %q, not %q", t.ID, n.parent(), t.Parent)
	}
	values, err := n.encode(a.options.RowBytes)
	if err != nil {
		return err
	}
	var tx storer.Transaction
	for i, v := range values {
		tx.Writes = append(tx.Writes, storer.Write{Key: key(t.ID, i), Value: v})
	}
	var pause storer.Backoff
	for {
		if _, err = a.table.Commit(ctx, tx); err == nil {
			a.cache.put(n)
			return nil
		}
		if !pause.Wait(ctx) {
			return err
		}
		a.repeats.Add(1)
	}
}

// key returns the key of a turn's row.
func key(id string, row int) string {
	part := xxhash.Sum64String(id) % parts
	if len(id) > maxKey {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	k := fmt.Sprintf("turns/%02x/%s", part, id)
	if row > 0 {
		k += "#" + strconv.Itoa(row)
	}
	return k
}
