package budgeter_test

import (
	"context"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

// A turn that asked for a number of tokens near the largest integer passed the check of its
// budget, once the program had spent some: the sum overflowed.
func TestTurnOfHugeSizeIsDenied(t *testing.T) {
	for _, tokens := range []int{math.MaxInt, math.MaxInt - 5, 101} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			b := budgeter.Start(ctx, emulator.NewStore(), "d")
			defer func() { _ = b.Wait() }()
			defer cancel()
			is.True(errors.Is(b.Reserve(ctx, "p", 100, tokens), budgeter.ErrExhausted))
			is.NoErr(b.Reserve(ctx, "p", 100, 20))
			is.True(errors.Is(b.Reserve(ctx, "p", 100, tokens), budgeter.ErrExhausted))
			b.Finish("p", 20, 10)
			is.True(errors.Is(b.Reserve(ctx, "p", 100, tokens), budgeter.ErrExhausted))
			is.NoErr(b.Reserve(ctx, "p", 100, 90))
		})
	}
}

// A row of another writer with negative or huge numbers, or without numbers, raised the budget
// of its program.
func TestOddBudgetRowsRaiseNoBudget(t *testing.T) {
	rows := map[string]string{
		"negative":             `{"held":{"other.1":-1000}}`,
		"largest":              `{"held":{"other.1":9223372036854775807}}`,
		"sum that overflows":   `{"held":{"other.1":9223372036854775807,"other.2":9223372036854775807}}`,
		"1e400":                `{"held":{"other.1":1e400}}`,
		"fraction":             `{"held":{"other.1":0.5}}`,
		"text":                 `{"held":{"other.1":"NaN"}}`,
		"null":                 `null`,
		"list":                 `[]`,
		"without numbers":      `{}`,
		"null in place of all": `{"held":null}`,
		"nested":               `{"held":` + strings.Repeat("[", 60_000),
		"long number":          `{"held":{"other.1":` + strings.Repeat("9", 60_000) + `}}`,
		"trailing bytes":       `{"held":{}}x`,
	}
	for name, value := range rows {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				store := emulator.NewStore()
				b := budgeter.Start(ctx, store, "d")
				defer func() { _ = b.Wait() }()
				defer cancel()
				key := fmt.Sprintf("budgets/%02x/%s", xxhash.Sum64String("p")%256, "p")
				_, err := store.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: key, Value: []byte(value)}}})
				is.NoErr(err)
				err = b.Reserve(ctx, "p", 100, 20)
				is.True(err != nil)
				is.True(!errors.Is(err, budgeter.ErrExhausted)) // What is left of the budget is not known.
				is.True(len(err.Error()) < 500)
				is.NoErr(b.Reserve(ctx, "q", 100, 20)) // Other programs are not affected.
			})
		})
	}
}
