package journaler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
)

// panickyTable panics at its first writes.
type panickyTable struct {
	storer.Table
	panics int
}

func (p *panickyTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if p.panics > 0 {
		p.panics--
		panic("odd reply")
	}
	return p.Table.Commit(ctx, tx)
}

// TestABatchThatPanicsIsSettled guards against records that are neither committed nor failed for
// as long as the process lives, because the loop goes on without the batch at which it panicked.
func TestABatchThatPanicsIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		version, err := store.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: leaser.PartitionKey(1), Value: []byte("{}")}}})
		is.NoErr(err)
		j := journaler.New(journaler.Options{Table: &panickyTable{Table: store, panics: 1}, Session: "s", Interval: time.Millisecond})
		j.Start(ctx)
		defer func() {
			cancel()
			_ = j.Wait()
		}()
		f := leaser.Fence{Partition: 1, Version: version}
		var records []*journaler.Record
		for range 2 {
			r, err := j.Submit(f, []storer.Write{{Key: "row", Value: []byte("x")}})
			is.NoErr(err)
			records = append(records, r)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		for i, r := range records {
			select {
			case <-r.Done():
			default:
				t.Errorf("record %d of 2 is not settled a minute after the panic", i+1)
			}
		}
	})
}
