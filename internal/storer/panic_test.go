package storer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// panickyStore is a store whose replies can't be decoded.
type panickyStore struct{}

func (panickyStore) Get(context.Context, string) (storer.Row, error) { panic("odd reply") }

func (panickyStore) Scan(context.Context, string, string, int) ([]storer.Row, error) {
	panic("odd reply")
}

func (panickyStore) Commit(context.Context, storer.Transaction) (uint64, error) { panic("odd reply") }

func (panickyStore) List(context.Context, string) ([]storer.Row, uint64, error) { panic("odd reply") }

func (panickyStore) Changes(context.Context, string, uint64, time.Duration) ([]storer.Change, uint64, error) {
	panic("odd reply")
}

// A reply at which the store's client panicked ended the process. A write may have taken effect,
// so its error must not say that it was refused.
func TestReplyThatPanicsLeavesTheOutcomeOpen(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	g := storer.NewGuard(panickyStore{}, panickyStore{}, storer.Limits{MinTimeout: time.Second, MaxTimeout: time.Second, OutageAfter: time.Second, ProbeInterval: time.Second, RetryBackoff: time.Millisecond})
	_, getErr := g.Get(ctx, "a/b/c")
	_, scanErr := g.Scan(ctx, "a/b/", "", 1)
	_, commitErr := g.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "a/b/c"}}})
	_, _, listErr := g.List(ctx, "a")
	_, _, changesErr := g.Changes(ctx, "a", 0, 0)
	for _, err := range []error{getErr, scanErr, commitErr, listErr, changesErr} {
		is.True(err != nil)
		is.True(!errors.Is(err, storer.ErrRefused))
		is.True(!errors.Is(err, storer.ErrConflict))
	}
	is.NoErr(ctx.Err())
	is.Equal(g.OutageDuration(), time.Duration(0))
}
