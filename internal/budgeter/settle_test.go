package budgeter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
)

// TestTokensThatBecomeNeededAreReturned guards against a daemon that checks the tokens it
// reserved in advance only once after its last turn, while the budget is not nearly spent,
// and keeps them although it later learns that it is.
func TestTokensThatBecomeNeededAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a, b := budgeter.Start(ctx, store, "a"), budgeter.Start(ctx, store, "b")
		is.NoErr(a.Reserve(ctx, "p", 1000, 100)) // Holds 200 tokens.
		a.Finish("p", 100, 100)
		time.Sleep(2 * time.Second)
		for range 8 {
			is.NoErr(b.Reserve(ctx, "p", 1000, 100))
			b.Finish("p", 100, 100)
		}
		commits := store.Counts().Commits
		time.Sleep(2 * time.Second)
		is.Equal(store.Counts().Commits, commits) // Daemon a does not know and does not ask.
		is.True(errors.Is(a.Reserve(ctx, "p", 1000, 500), budgeter.ErrExhausted))
		time.Sleep(time.Second)
		is.NoErr(b.Reserve(ctx, "p", 1000, 100))
		cancel()
		_, _ = a.Wait(), b.Wait()
	})
}

// TestASettlementThatFindsTheRowLockedIsRepeated guards against losing a settlement that is
// due while a reservation waits for the store and then fails.
func TestASettlementThatFindsTheRowLockedIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a, b := budgeter.Start(ctx, store, "a"), budgeter.Start(ctx, store, "b")
		is.NoErr(a.Reserve(ctx, "p", 1000, 600))
		a.Finish("p", 600, 0)
		store.SetFaults(emulator.StoreFaults{Down: true})
		short, stop := context.WithTimeout(ctx, time.Second)
		is.True(a.Reserve(short, "p", 1000, 700) != nil)
		stop()
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(2 * time.Second)
		is.NoErr(b.Reserve(ctx, "p", 1000, 1000))
		cancel()
		_, _ = a.Wait(), b.Wait()
	})
}
