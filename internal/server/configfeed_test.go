package server_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/logger"
	"pimentorail.example/pimentorail/internal/server"
	"pimentorail.example/pimentorail/internal/storer"
)

// frozenFeed is a faultyFeed whose next reply is read only when a pause is over, as in a process
// that was frozen.
type frozenFeed struct {
	*faultyFeed
	pause atomic.Int64
}

func (f *frozenFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	list, version, err := f.faultyFeed.Changes(ctx, table, after, wait)
	if d := f.pause.Swap(0); d > 0 {
		time.Sleep(time.Duration(d))
	}
	return list, version, err
}

// TestTheConfigurationIsConfirmedByReads guards against a daemon that counts its configuration as
// unsure while it is read without a change, or as confirmed while it is not read, and against one
// that has resumed and learns only at the end of a long poll that nothing changed.
func TestTheConfigurationIsConfirmedByReads(t *testing.T) {
	const maxAge = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := &frozenFeed{faultyFeed: &faultyFeed{Store: emulator.NewStore()}}
		_, err := f.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "config//all", Value: []byte("3 s")}}})
		is.NoErr(err)
		var keeper cataloger.Keeper
		feed, sink := server.NewConfigFollower(f, &keeper, "all", decodeCatalog, logger.Start(ctx, io.Discard), maxAge)
		x := follower.Start(ctx, feed, sink, server.ConfigOptions("config"))
		defer stopFollower(x, cancel)
		certainty := func() cataloger.Certainty { return keeper.Certainty(time.Now(), maxAge) }
		for range 100 { // No change for 10 s.
			time.Sleep(100 * time.Millisecond)
			is.Equal(certainty(), cataloger.Confirmed)
		}
		f.down.Store(true)
		time.Sleep(maxAge + 1400*time.Millisecond + 100*time.Millisecond) // The poll under way confirms.
		for range 50 {
			is.Equal(certainty(), cataloger.Unreachable)
			time.Sleep(100 * time.Millisecond)
		}
		f.down.Store(false)
		time.Sleep(200 * time.Millisecond)
		is.Equal(certainty(), cataloger.Confirmed)
		f.pause.Store(int64(10 * time.Second))
		time.Sleep(1400*time.Millisecond + 9*time.Second)
		is.Equal(certainty(), cataloger.Stalled)
		time.Sleep(1400*time.Millisecond + 300*time.Millisecond)
		is.Equal(certainty(), cataloger.Confirmed)
	})
}
