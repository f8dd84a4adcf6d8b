package granter_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// panickyTable panics at reads while it is spoiled.
type panickyTable struct {
	storer.Table
	spoiled bool
}

// Get implements storer.Table.
func (p *panickyTable) Get(ctx context.Context, key string) (storer.Row, error) {
	if p.spoiled {
		panic("odd reply")
	}
	return p.Table.Get(ctx, key)
}

// A history whose reading panics ended the process of the daemon, that of its coordinator, and
// would make the turn wait for good. No tokens must stay reserved either.
func TestHistoryWhoseReadingPanicsFailsItsTurnOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(1, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		d := z.daemons[0]
		p := &panickyTable{Table: d.table.Table}
		d.table.Table = p
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g, err := d.granter.Open(ctx, newTurn("t0", "", maxTurnTokens))
		is.NoErr(err)
		g.Close(0)
		p.spoiled = true
		for range 3 {
			_, err = d.granter.Open(ctx, newTurn("t1", "missing", maxTurnTokens))
			is.True(err != nil)
			is.True(!errors.Is(err, context.DeadlineExceeded))
		}
		is.NoErr(ctx.Err())
		p.spoiled = false
		g, err = d.granter.Open(ctx, newTurn("t2", "", maxTurnTokens)) // The whole budget.
		is.NoErr(err)
		g.Close(0)
	})
}
