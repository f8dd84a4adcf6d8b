package archivist

import (
	"bytes"
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
	"pimentorail.example/pimentorail/internal/supervisor"
)

const (
	// keyPrefixes is the number of key prefixes that distribute the rows over the store's
	// partitions.
	keyPrefixes = 256
	// maxPlainIDBytes is the length of the longest id that is part of a key unhashed.
	maxPlainIDBytes = 150
	// maxChainTurns bounds the length of a chain, so that reading a corrupt one ends.
	maxChainTurns = 4096
	// MaxTurnBytes is the size of the largest turn that is stored. It bounds the memory that a
	// turn takes.
	MaxTurnBytes = 16 << 20
	// MaxInputBytes is the size of the largest request that may begin a turn.
	MaxInputBytes = MaxTurnBytes / 2
)

// ErrNoTurn reports that no turn with that id is stored.
var ErrNoTurn = errors.New("archivist: no such turn")

// ErrTooLarge reports a turn that can never be stored.
var ErrTooLarge = errors.New("archivist: turn is too large")

// Options are the limits of an Archivist.
type Options struct {
	// RowBytes is the maximum size of a row's value.
	RowBytes int
	// CacheBytes is the size of the cache of recently used turns.
	CacheBytes int
	// HistoryBytes limits the large turns in the histories of requests in progress; zero is no
	// limit.
	HistoryBytes int
}

// Archivist persists turns and loads chains of them.
type Archivist struct {
	table   storer.Table
	options Options
	cache   *cache
	memory  *memory

	hits, misses, retries atomic.Int64
}

// New returns an archivist over the table service.
func New(table storer.Table, o Options) *Archivist {
	return &Archivist{table: table, options: o, cache: newCache(o.CacheBytes), memory: newMemory(o.HistoryBytes)}
}

// Counts returns the number of turns found in the cache, the number of turns read from
// the store, and the number of retried writes.
func (a *Archivist) Counts() (hits, misses, retries int64) {
	return a.hits.Load(), a.misses.Load(), a.retries.Load()
}

// Chain is a history, from its first turn to its last.
type Chain struct {
	nodes []*node
	// lease is the memory of the large turns; nil for none.
	lease *lease
}

// Release returns the memory of the history once its request is over. A repeated call has no
// effect.
func (c *Chain) Release() {
	if c != nil {
		c.lease.release()
	}
}

// Len returns the number of turns.
func (c *Chain) Len() int { return len(c.nodes) }

// Texts returns the text that each turn added, oldest turn first.
func (c *Chain) Texts() [][]byte {
	texts := make([][]byte, len(c.nodes))
	for i, n := range c.nodes {
		texts[i] = n.text
	}
	return texts
}

// ancestors returns the ids of the chain's last maxAncestors turns, latest turn first.
func (c *Chain) ancestors() []string {
	var ids []string
	for i := len(c.nodes) - 1; i >= 0 && len(ids) < maxAncestors; i-- {
		ids = append(ids, c.nodes[i].id)
	}
	return ids
}

// Chain returns the history that ends with a turn; an empty id yields the empty history.
// ErrNoTurn means that a turn of it is not stored, and ErrMemory that the history does not fit
// into the memory for histories; any other error leaves both open. The caller must release
// the chain.
func (a *Archivist) Chain(ctx context.Context, id string) (*Chain, error) {
	c := &Chain{lease: &lease{memory: a.memory}}
	defer c.lease.endReading()
	if err := a.readChain(ctx, c, id); err != nil {
		c.Release()
		return nil, err
	}
	return c, nil
}

// readChain adds the turns of the history that ends with a turn.
func (a *Archivist) readChain(ctx context.Context, c *Chain, id string) error {
	prefetched := map[string]*node{}
	for id != "" {
		if len(c.nodes) >= maxChainTurns {
			return errors.Errorf("chain at turn %q is longer than %d turns", id, maxChainTurns)
		}
		n, err := a.findTurn(ctx, c.lease, id, prefetched)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
		id = n.parent()
	}
	for i, j := 0, len(c.nodes)-1; i < j; i, j = i+1, j-1 {
		c.nodes[i], c.nodes[j] = c.nodes[j], c.nodes[i]
	}
	return nil
}

// findTurn returns a turn from the cache or from the store. With a turn from the store it
// also reads the ancestors that the turn's row names.
func (a *Archivist) findTurn(ctx context.Context, l *lease, id string, prefetched map[string]*node) (*node, error) {
	if n := prefetched[id]; n != nil {
		return n, nil
	}
	if n := a.cache.get(id); n != nil {
		a.hits.Add(1)
		return n, l.acquire(len(n.text))
	}
	n, err := a.readTurn(ctx, l, id)
	if err != nil {
		return nil, err
	}
	f := &prefetch{archivist: a, lease: l}
	for _, other := range n.ancestors {
		if a.cache.get(other) == nil {
			f.group.Add(1)
			go f.run(ctx, other)
		}
	}
	f.group.Wait()
	for _, m := range f.nodes {
		prefetched[m.id] = m
	}
	return n, f.err
}

// prefetch reads several turns concurrently.
type prefetch struct {
	archivist *Archivist
	lease     *lease
	group     sync.WaitGroup
	mu        sync.Mutex
	nodes     []*node
	err       error
}

func (f *prefetch) run(ctx context.Context, id string) {
	defer f.group.Done()
	n, err := f.read(ctx, id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.err = err
		return
	}
	f.nodes = append(f.nodes, n)
}

func (f *prefetch) read(ctx context.Context, id string) (n *node, err error) {
	defer supervisor.Return("archivist: read of a turn", &err)
	return f.archivist.readTurn(ctx, f.lease, id)
}

// readTurn reads a turn from the store and caches it.
func (a *Archivist) readTurn(ctx context.Context, l *lease, id string) (*node, error) {
	a.misses.Add(1)
	row, err := a.table.Get(ctx, key(id, 0))
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, errors.Wrapf(ErrNoTurn, "%q", id)
	}
	n, header, err := decode(id, row.Value, a.options.RowBytes)
	if err != nil {
		return nil, err
	}
	if err := l.acquireToRead(ctx, header.Bytes); err != nil {
		return nil, err
	}
	rest, err := a.readRows(ctx, id, header)
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		n.text = bytes.Join(append([][]byte{n.text}, rest...), nil)
	}
	if header.Content != "" && len(n.text) != header.Bytes {
		return nil, errors.Errorf("turn %q has %d bytes, not %d", id, len(n.text), header.Bytes)
	}
	a.cache.put(n)
	return n, nil
}

// Check returns ErrTooLarge if a turn that continues the turn parent and begins with a request
// of inputBytes can never be stored.
func (a *Archivist) Check(parent string, inputBytes int) error {
	if inputBytes > MaxInputBytes {
		return errors.Wrapf(ErrTooLarge, "request of %d bytes, limit %d", inputBytes, MaxInputBytes)
	}
	_, err := (&rowHeader{Ancestors: []string{parent}}).fit(a.options.RowBytes)
	return err
}

// Record persists a turn that continues a chain. It returns nil only once the store has
// acknowledged the write, and retries a failed or ambiguous write until the context ends.
func (a *Archivist) Record(ctx context.Context, c *Chain, t Turn) error {
	n := &node{id: t.ID, ancestors: c.ancestors(), text: t.Text}
	if n.parent() != t.Parent {
		return errors.Errorf("history of turn %q ends with turn %q, not with its parent %q", t.ID, n.parent(), t.Parent)
	}
	if len(t.Text) > MaxTurnBytes {
		return errors.Wrapf(ErrTooLarge, "turn %q of %d bytes", t.ID, len(t.Text))
	}
	calls, err := n.calls(a.options.RowBytes)
	if err != nil {
		return err
	}
	for _, tx := range calls {
		if err := a.commit(ctx, tx); err != nil {
			return err
		}
	}
	a.cache.put(n)
	return nil
}

// commit repeats a call until the store has acknowledged it or the context ends.
func (a *Archivist) commit(ctx context.Context, tx storer.Transaction) error {
	var backoff storer.Backoff
	for {
		_, err := a.table.Commit(ctx, tx)
		if err == nil {
			return nil
		}
		if !backoff.Wait(ctx) {
			return err
		}
		a.retries.Add(1)
	}
}

// key returns the key of one of a turn's rows; row 0 is the first.
func key(id string, row int) string {
	prefix := xxhash.Sum64String(id) % keyPrefixes
	if len(id) > maxPlainIDBytes {
		sum := sha256.Sum256([]byte(id))
		id = hex.EncodeToString(sum[:])
	}
	k := fmt.Sprintf("turns/%02x/%s", prefix, id)
	if row > 0 {
		k += "#" + strconv.Itoa(row)
	}
	return k
}
