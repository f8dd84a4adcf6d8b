package versioner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/versioner"
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

// A write that panicked ended the process. If it ended only the queue, no origin of its
// partition would be recorded from then on.
func TestOriginsAreRecordedAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		table := &panickyTable{Table: emulator.NewStore(), panics: 1}
		v := versioner.Start(ctx, table)
		v.Record(stream(1), origin(1))
		time.Sleep(time.Second)
		v.Record(stream(1), origin(1))
		time.Sleep(time.Second)
		o, found, err := v.Find(ctx, stream(1))
		is.NoErr(err)
		is.True(found)
		is.Equal(o.Origin, origin(1))
		cancel()
		synctest.Wait()
	})
}
