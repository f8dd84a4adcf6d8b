package archivist_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func newArchivist(table storer.Table) *archivist.Archivist {
	return archivist.New(table, archivist.Options{RowBytes: 200, CacheBytes: 2000})
}

func record(ctx context.Context, a *archivist.Archivist, id, parent, text string) error {
	c, err := a.Chain(ctx, parent)
	if err != nil {
		return err
	}
	return a.Record(ctx, c, archivist.Turn{ID: id, Parent: parent, Text: []byte(text)})
}

// TestHistoriesAgainstAnOracle records random trees of turns at several daemons with small
// caches, over a store that loses replies. Each history read must match the reference
// model.
func TestHistoriesAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runHistories(rand.New(rand.NewPCG(seed, 0))) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runHistories returns a description of the first difference from the reference model, or
// an empty string.
func runHistories(r *rand.Rand) string {
	ctx := context.Background()
	store := emulator.NewStore()
	store.SetFaults(emulator.StoreFaults{LoseEvery: []int{0, 2, 3}[r.IntN(3)]})
	daemons := []*archivist.Archivist{newArchivist(store), newArchivist(store)}
	model, ids := map[string]string{"": ""}, []string{""}
	for i := range 1 + r.IntN(40) {
		d := r.IntN(2)
		if r.IntN(6) == 0 {
			daemons[d] = newArchivist(store)
		}
		parent, id := ids[r.IntN(len(ids))], fmt.Sprintf("turn-%d", i)
		text := fmt.Sprintf("<%d:%s>", i, bytes.Repeat([]byte("x"), r.IntN(500)))
		if err := record(ctx, daemons[d], id, parent, text); err != nil {
			return err.Error()
		}
		model[id] = model[parent] + text
		ids = append(ids, id)
		tip := ids[r.IntN(len(ids))]
		c, err := daemons[r.IntN(2)].Chain(ctx, tip)
		if err != nil {
			return err.Error()
		}
		if got := string(bytes.Join(c.Texts(), nil)); got != model[tip] {
			return fmt.Sprintf("history of %q is %q, want %q", tip, got, model[tip])
		}
	}
	return ""
}

// TestATurnThatIsNotKept checks that a missing turn is not confused with a store outage.
func TestATurnThatIsNotKept(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	_, err := newArchivist(store).Chain(context.Background(), "nobody")
	is.True(errors.Is(err, archivist.ErrNoTurn))
	store.SetFaults(emulator.StoreFaults{Down: true})
	_, err = newArchivist(store).Chain(context.Background(), "nobody")
	is.True(err != nil)
	is.True(!errors.Is(err, archivist.ErrNoTurn)) // The turn may exist.
}

// TestRecordGoesOnUntilItsTimeIsOver checks that Record retries during a store outage: it
// fails once its context ends, and succeeds if the store recovers before that.
func TestRecordGoesOnUntilItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewStore()
		a := newArchivist(store)
		store.SetFaults(emulator.StoreFaults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c, err := a.Chain(ctx, "")
		is.NoErr(err)
		is.True(a.Record(ctx, c, archivist.Turn{ID: "lost", Text: []byte("x")}) != nil)
		retryCtx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		time.AfterFunc(time.Second, func() { store.SetFaults(emulator.StoreFaults{}) })
		is.NoErr(a.Record(retryCtx, c, archivist.Turn{ID: "kept", Text: []byte("x")}))
		_, err = newArchivist(store).Chain(context.Background(), "kept")
		is.NoErr(err)
	})
}

func TestALongChainIsReadInFewSteps(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	ctx := context.Background()
	a := archivist.New(store, archivist.Options{RowBytes: 4096, CacheBytes: 1 << 20})
	parent := ""
	for i := range 100 {
		id := fmt.Sprintf("turn-%d", i)
		is.NoErr(record(ctx, a, id, parent, "x"))
		parent = id
	}
	before := store.Counts().Reads
	fresh := archivist.New(store, archivist.Options{RowBytes: 4096, CacheBytes: 1 << 20})
	c, err := fresh.Chain(ctx, parent)
	is.NoErr(err)
	is.Equal(len(c.Texts()), 100)
	is.Equal(store.Counts().Reads-before, 100) // Each row is read once.
}
