package budgeter_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/storer"
)

// boundedTable refuses keys that the users' store refuses.
type boundedTable struct{ storer.Table }

const maxKeyBytes = 200

// Commit implements storer.Table.
func (b boundedTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	for _, w := range tx.Writes {
		if name := w.Key[strings.LastIndex(w.Key[:len("budgets/00/")], "/")+1:]; len(name) > maxKeyBytes {
			return 0, errors.Wrap(storer.ErrRefused, "key is too long")
		}
	}
	return b.Table.Commit(ctx, tx)
}

// TestAProgramWithALongIDHasABudget guards against turns that are refused for good because the
// store takes no key that is as long as the program's id.
func TestAProgramWithALongIDHasABudget(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	store := emulator.NewStore()
	b := budgeter.Start(ctx, boundedTable{store}, "a")
	x := strings.Repeat("x", 199)
	for _, id := range []string{x + "x", x + "xx", x + "xy", scoper.Of("north").ID(x + "xx"), scoper.Of("south").ID(x + "xx")} {
		is.NoErr(b.Reserve(ctx, id, 10, 10))
		is.True(errors.Is(b.Reserve(ctx, id, 10, 1), budgeter.ErrExhausted))
	}
	is.Equal(store.Counts().Rows, 5)
}

// TestKeysOfBudgetsStay guards against budgets that are granted anew because their rows have other
// keys.
func TestKeysOfBudgetsStay(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	b := budgeter.Start(t.Context(), store, "a")
	for id, key := range map[string]string{
		"p":                        "budgets/ef/p",
		"a/b#c:1":                  "budgets/64/a/b#c:1",
		strings.Repeat("x", 200):   "budgets/2a/" + strings.Repeat("x", 200),
		scoper.Of("north").ID("p"): "budgets/57/ dc365e79d41cfae1c3c0d969319ae621:p",
	} {
		is.NoErr(b.Reserve(t.Context(), id, 10, 10))
		row, err := store.Get(t.Context(), key)
		is.NoErr(err)
		if row.Version == 0 {
			rows, _ := store.Scan(t.Context(), "budgets/", "", 100)
			t.Errorf("no row %q of program %q; rows %v", key, id, rows)
		}
	}
}
