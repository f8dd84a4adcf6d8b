package isolator_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/storer"
)

// panickyTable panics at its first writes.
type panickyTable struct {
	storer.Table
	panics int
}

// Commit implements storer.Table.
func (p *panickyTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if p.panics > 0 {
		p.panics--
		panic("odd reply")
	}
	return p.Table.Commit(ctx, tx)
}

// A check of a replica that panicked ended the process. If it didn't, requests would wait for
// its result for good.
func TestCheckThatPanicsIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		i := isolator.Start(d.ctx, d.store, logger.Start(d.ctx, io.Discard), isolator.Options{
			Name: "me", Crashed: func(context.Context, string) bool { panic("odd address") },
		})
		breakOff(i, "r", "request")
		is.True(i.Confirming(mark("request")))
		time.Sleep(knownWithin)
		is.True(!i.Confirming(mark("request")))
	})
}

// A write that panicked ended the process. If it ended only the loop, no crash would be known to
// other daemons from then on.
func TestRowsAreWrittenAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		other := d.start()
		table := &panickyTable{Table: d.store, panics: 2}
		i := isolator.Start(d.ctx, table, logger.Start(d.ctx, io.Discard), isolator.Options{Name: "me", Crashed: d.crashed})
		for n := range 4 {
			breakOff(i, fmt.Sprint("r", n), "guilty")
			time.Sleep(time.Second)
		}
		time.Sleep(knownWithin)
		is.Equal(table.panics, 0)
		is.True(other.Check(mark("guilty")).Condemned)
	})
}
