package archivist_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	rowBytes  = 65536
	bodyBytes = 4 << 20
)

// boundedTable refuses what the store refuses: a call of more than 100 entries or 1 MB, values
// in base64, and a value that is larger than a row. It can lose or delay writes, and kill the
// daemon after a number of calls.
type boundedTable struct {
	storer.Table
	rowBytes int
	// random selects the calls that fail, nil for none.
	random *rand.Rand
	// killAfter is the number of further calls that succeed, negative for no limit.
	killAfter int
	late      []storer.Transaction
}

// Commit implements storer.Table.
func (b *boundedTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	body, err := json.Marshal(tx)
	if err != nil || len(body) > 1_000_000 || len(tx.Writes)+len(tx.Conditions) > 100 {
		return 0, errors.Wrapf(storer.ErrRefused, "%d entries, %d bytes", len(tx.Writes), len(body))
	}
	for _, w := range tx.Writes {
		if len(w.Value) > b.rowBytes {
			return 0, errors.Wrapf(storer.ErrRefused, "value of %d bytes", len(w.Value))
		}
	}
	if b.killAfter == 0 {
		<-ctx.Done()
		return 0, errors.Wrap(storer.ErrUnavailable, "the daemon was killed")
	}
	b.killAfter--
	if b.random != nil {
		switch b.random.IntN(6) {
		case 0:
			return 0, storer.ErrRefused
		case 1:
			_, _ = b.Table.Commit(ctx, tx)
			return 0, storer.ErrUnavailable
		case 2:
			b.late = append(b.late, tx)
			return 0, storer.ErrUnavailable
		}
	}
	return b.Table.Commit(ctx, tx)
}

func largeText(n int, seed string) []byte {
	return bytes.Repeat([]byte(seed), n/len(seed)+1)[:n]
}

func newLargeArchivist(table storer.Table) *archivist.Archivist {
	return archivist.New(table, archivist.Options{RowBytes: rowBytes, CacheBytes: 1 << 20})
}

// TestATurnOfFourMegabytesIsStored guards against turns of legal size that fail in each
// attempt, since one call to the store does not take all of their rows.
func TestATurnOfFourMegabytesIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewStore()
		table := &boundedTable{Table: store, rowBytes: rowBytes, killAfter: -1}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		a := newLargeArchivist(table)
		parent, want := "", []byte(nil)
		for i, n := range []int{10, 700_000, bodyBytes, bodyBytes + 100_000, 10} {
			c, err := a.Chain(ctx, parent)
			is.NoErr(err)
			id := fmt.Sprint("turn-", i)
			commits := store.Counts().Commits
			text := largeText(n, id)
			is.NoErr(a.Record(ctx, c, archivist.Turn{ID: id, Parent: parent, Text: text}))
			if n <= 700_000 {
				is.Equal(store.Counts().Commits-commits, 1)
			}
			parent, want = id, append(want, text...)
		}
		for _, reader := range []*archivist.Archivist{a, newLargeArchivist(store)} {
			c, err := reader.Chain(ctx, parent)
			is.NoErr(err)
			is.True(bytes.Equal(bytes.Join(c.Texts(), nil), want))
		}
	})
}

// TestLargeTurnsAgainstAnOracle records large turns while calls fail, lose their reply or take
// effect only after later calls, and while daemons are killed between two calls. A turn that
// was interrupted does not exist; recorded again under the same id with another text, it has
// exactly that text.
func TestLargeTurnsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runLargeTurns(rand.New(rand.NewPCG(seed, 0))) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runLargeTurns returns a description of the first violation, or an empty string.
func runLargeTurns(r *rand.Rand) string {
	store := emulator.NewStore()
	const size = 300
	o := archivist.Options{RowBytes: size, CacheBytes: 1}
	text := largeText(size*(90+r.IntN(400)), fmt.Sprint(r.Uint64()))
	table := &boundedTable{Table: store, rowBytes: size, random: r, killAfter: -1}
	var attempts []string
	for range r.IntN(3) {
		// The first attempts are killed between two calls. The run of the turn was another one.
		table.killAfter = r.IntN(5)
		first := largeText(size*(90+r.IntN(400)), fmt.Sprint(r.Uint64()))
		attempts = append(attempts, string(first))
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		err := archivist.New(table, o).Record(ctx, &archivist.Chain{}, archivist.Turn{ID: "t", Text: first})
		cancel()
		if err == nil {
			return "" // It was not interrupted.
		}
		c, err := archivist.New(store, o).Chain(context.Background(), "t")
		// The last call of an attempt may have taken effect without a reply.
		if err == nil && !slices.Contains(attempts, string(c.Texts()[0])) {
			return "an interrupted turn exists with a text of no attempt"
		}
		if err != nil && !errors.Is(err, archivist.ErrNoTurn) {
			return err.Error()
		}
	}
	late := table.late
	table.killAfter, table.late = -1, nil
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	if err := archivist.New(table, o).Record(ctx, &archivist.Chain{}, archivist.Turn{ID: "t", Text: text}); err != nil {
		return err.Error()
	}
	for _, tx := range late {
		if !strings.Contains(tx.Writes[len(tx.Writes)-1].Key, "#") {
			continue // A late first row replaces the turn by the earlier one as a whole.
		}
		_, _ = store.Commit(ctx, tx)
	}
	for _, tx := range table.late {
		_, _ = store.Commit(ctx, tx)
	}
	c, err := archivist.New(store, o).Chain(ctx, "t")
	if err != nil {
		return err.Error()
	}
	if !bytes.Equal(c.Texts()[0], text) {
		return "the turn has another text"
	}
	return ""
}

// TestHistoriesOfLargeTurnsTakeBoundedMemory guards against reading histories of large turns
// until the VM's memory is exceeded: those that do not fit are refused before they are read.
func TestHistoriesOfLargeTurnsTakeBoundedMemory(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	writer := newLargeArchivist(store)
	parent := ""
	for i := range 4 {
		c, err := writer.Chain(ctx, parent)
		is.NoErr(err)
		id := fmt.Sprint("turn-", i)
		is.NoErr(writer.Record(ctx, c, archivist.Turn{ID: id, Parent: parent, Text: largeText(bodyBytes, id)}))
		parent = id
	}
	for _, cacheBytes := range []int{1, 64 << 20} {
		a := archivist.New(store, archivist.Options{RowBytes: rowBytes, CacheBytes: cacheBytes, HistoryBytes: 3 * bodyBytes})
		one, err := a.Chain(ctx, "turn-0")
		is.NoErr(err)
		two, err := a.Chain(ctx, "turn-1")
		is.NoErr(err)
		reads := store.Counts().Reads
		_, err = a.Chain(ctx, "turn-1")
		is.True(errors.Is(err, archivist.ErrMemory)) // Three turns are in use.
		is.True(store.Counts().Reads-reads <= 4)
		one.Release()
		two.Release()
		two.Release()
		for range 3 {
			_, err = a.Chain(ctx, "turn-3")
			is.True(errors.Is(err, archivist.ErrMemory)) // Never fits, and keeps nothing.
			three, err := a.Chain(ctx, "turn-2")
			is.NoErr(err)
			is.Equal(three.Len(), 3)
			three.Release()
		}
	}
}

// measuringTable measures the largest live heap during calls.
type measuringTable struct {
	storer.Table
	mu    sync.Mutex
	calls int
	peak  uint64
}

// Get implements storer.Table.
func (m *measuringTable) Get(ctx context.Context, key string) (storer.Row, error) {
	m.measure()
	row, err := m.Table.Get(ctx, key)
	row.Value = slices.Clone(row.Value) // As if it came over the network.
	return row, err
}

func (m *measuringTable) measure() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.calls++; m.calls%5 == 0 {
		m.peak = max(m.peak, liveHeap())
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// TestReadingLargeTurnsTakesTwiceTheirMemory guards against reads whose memory grows with the
// number of requests or with the length of a history beyond the limit: 12 requests of one
// history of 12 MB take at most twice the limit of 14 MB, that of a VM of 112 MB.
func TestReadingLargeTurnsTakesTwiceTheirMemory(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	writer := newLargeArchivist(store)
	for i := range 3 {
		c, err := writer.Chain(ctx, []string{"", "t0", "t1"}[i])
		is.NoErr(err)
		is.NoErr(writer.Record(ctx, c, archivist.Turn{ID: fmt.Sprint("t", i), Parent: []string{"", "t0", "t1"}[i], Text: largeText(bodyBytes, "abc")}))
	}
	writer = nil
	const limit = 14 << 20
	table := &measuringTable{Table: store}
	a := archivist.New(table, archivist.Options{RowBytes: rowBytes, CacheBytes: 1, HistoryBytes: limit})
	before := liveHeap()
	var group sync.WaitGroup
	var served atomic.Int64
	for range 12 {
		group.Go(func() {
			for range 5 {
				c, err := a.Chain(ctx, "t2")
				if err != nil {
					is.True(errors.Is(err, archivist.ErrMemory))
					time.Sleep(time.Millisecond)
					continue
				}
				served.Add(1)
				c.Release()
			}
		})
	}
	group.Wait()
	is.True(served.Load() >= 5) // Those that are read do not keep each other from being read.
	t.Logf("%d of 60 histories read, %.1f MB", served.Load(), float64(table.peak-before)/(1<<20))
	is.True(table.peak-before < 2*limit)
}

// TestTurnsThatCanNeverBeStored checks that they are known before they run.
func TestTurnsThatCanNeverBeStored(t *testing.T) {
	is := is.New(t)
	a := newLargeArchivist(emulator.NewStore())
	is.NoErr(a.Check("parent", bodyBytes))
	is.NoErr(a.Check("", archivist.MaxInputBytes))
	is.True(errors.Is(a.Check("", archivist.MaxInputBytes+1), archivist.ErrTooLarge))
	is.True(errors.Is(a.Check(strings.Repeat("x", rowBytes), 1), archivist.ErrTooLarge))
	c, err := a.Chain(context.Background(), "")
	is.NoErr(err)
	err = a.Record(context.Background(), c, archivist.Turn{ID: "t", Text: make([]byte, archivist.MaxTurnBytes+1)})
	is.True(errors.Is(err, archivist.ErrTooLarge))
}

// TestLongIdsOfAncestors guards against ids that fill the first row of a turn.
func TestLongIdsOfAncestors(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	parent := ""
	for i := range 15 {
		id := fmt.Sprint(i, strings.Repeat("i", 16<<10))
		is.NoErr(record(ctx, newLargeArchivist(store), id, parent, "x"))
		parent = id
	}
	c, err := newLargeArchivist(store).Chain(ctx, parent)
	is.NoErr(err)
	is.Equal(c.Len(), 15)
}
