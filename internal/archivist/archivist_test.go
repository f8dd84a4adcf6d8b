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

func open(table storer.Table) *archivist.Archivist {
	return archivist.New(table, archivist.Options{RowBytes: 200, CacheBytes: 2000})
}

func record(ctx context.Context, a *archivist.Archivist, id, parent, text string) error {
	c, err := a.Chain(ctx, parent)
	if err != nil {
		return err
	}
	return a.Record(ctx, c, archivist.Turn{ID: id, Parent: parent, Text: []byte(text)})
}

// TestHistoriesAgainstAnOracle grows random trees of turns through several
// daemons with small memories and a store that loses answers.
func TestHistoriesAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		broken := ""
		synctest.Test(t, func(*testing.T) { broken = growTree(rand.New(rand.NewPCG(seed, 0))) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// growTree returns what differed from the oracle, or nothing.
func growTree(r *rand.Rand) string {
	ctx := context.Background()
	store := emulator.NewStore()
	store.SetFaults(emulator.StoreFaults{LoseEvery: []int{0, 2, 3}[r.IntN(3)]})
	daemons := []*archivist.Archivist{open(store), open(store)}
	oracle, ids := map[string]string{"": ""}, []string{""}
	for i := range 1 + r.IntN(40) {
		d := r.IntN(2)
		if r.IntN(6) == 0 {
			daemons[d] = open(store)
		}
		parent, id := ids[r.IntN(len(ids))], fmt.Sprintf("turn-%d", i)
		text := fmt.Sprintf("<%d:%s>", i, bytes.Repeat([]byte("x"), r.IntN(500)))
		if err := record(ctx, daemons[d], id, parent, text); err != nil {
			return err.Error()
		}
		oracle[id] = oracle[parent] + text
		ids = append(ids, id)
		look := ids[r.IntN(len(ids))]
		c, err := daemons[r.IntN(2)].Chain(ctx, look)
		if err != nil {
			return err.Error()
		}
		if got := string(bytes.Join(c.Texts(), nil)); got != oracle[look] {
			return fmt.Sprintf("history of %q is %q, want %q", look, got, oracle[look])
		}
	}
	return ""
}

func TestATurnThatIsNotKept(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	_, err := open(store).Chain(context.Background(), "nobody")
	is.True(errors.Is(err, archivist.ErrNoTurn))
	store.SetFaults(emulator.StoreFaults{Down: true})
	_, err = open(store).Chain(context.Background(), "nobody")
	is.True(err != nil)
	is.True(!errors.Is(err, archivist.ErrNoTurn)) // Nobody can be certain in an outage.
}

func TestRecordGoesOnUntilItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewStore()
		a := open(store)
		store.SetFaults(emulator.StoreFaults{Down: true})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		c, err := a.Chain(ctx, "")
		is.NoErr(err)
		is.True(a.Record(ctx, c, archivist.Turn{ID: "lost", Text: []byte("x")}) != nil)
		back, stop := context.WithTimeout(context.Background(), 2*time.Second)
		defer stop()
		time.AfterFunc(time.Second, func() { store.SetFaults(emulator.StoreFaults{}) })
		is.NoErr(a.Record(back, c, archivist.Turn{ID: "kept", Text: []byte("x")}))
		_, err = open(store).Chain(context.Background(), "kept")
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
	is.Equal(store.Counts().Reads-before, 100) // Each row once.
}
