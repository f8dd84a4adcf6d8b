package budgeter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
)

// TestTokensOfAnIdleProgramAreNotLost guards against losing the tokens reserved in advance for
// a program that was not used for so long that its view was evicted.
func TestTokensOfAnIdleProgramAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a, b := budgeter.Start(ctx, store, "a"), budgeter.Start(ctx, store, "b")
		defer func() {
			cancel()
			_, _ = a.Wait(), b.Wait()
		}()
		for _, p := range []string{"p", "q"} {
			is.NoErr(a.Reserve(ctx, p, 1000, 100)) // Holds 200 tokens.
			a.Finish(p, 100, 100)
		}
		time.Sleep(3 * time.Minute)
		commits := store.Counts().Commits
		is.NoErr(a.Reserve(ctx, "q", 1000, 100)) // Uses the tokens reserved in advance.
		is.Equal(store.Counts().Commits, commits)
		for range 8 {
			is.NoErr(b.Reserve(ctx, "p", 1000, 100))
			b.Finish("p", 100, 100)
		}
		is.True(errors.Is(b.Reserve(ctx, "p", 1000, 100), budgeter.ErrExhausted))
		changed, err := a.ReturnUnused(ctx, "p")
		is.NoErr(err)
		is.True(changed)
		is.NoErr(b.Reserve(ctx, "p", 1000, 100))
		is.True(errors.Is(a.Reserve(ctx, "p", 1000, 1), budgeter.ErrExhausted))
	})
}

// TestIdleProgramsTakeBoundedMemory checks that only the programs used last are remembered.
func TestIdleProgramsTakeBoundedMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		a := budgeter.Start(ctx, emulator.NewStore(), "a")
		const programs = 9000
		for i := range programs {
			if i == programs/2 {
				time.Sleep(time.Minute)
			}
			is.NoErr(a.Reserve(ctx, fmt.Sprint(i), 1000, 100))
			a.Finish(fmt.Sprint(i), 100, 100)
		}
		time.Sleep(3 * time.Minute)
		remembered := 0
		for i := range programs {
			changed, err := a.ReturnUnused(ctx, fmt.Sprint(i))
			is.NoErr(err)
			if changed {
				remembered++
				continue
			}
			is.True(i < programs/2)
		}
		is.Equal(remembered, 8192)
		cancel()
		_ = a.Wait()
	})
}
