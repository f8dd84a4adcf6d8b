package server_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	"pimentorail.example/pimentorail/internal/tracker"
)

// faultyFeed is a feed of a store whose replies can be made to fail, or to omit changes.
type faultyFeed struct {
	*emulator.Store
	down atomic.Bool
	// omitting makes the feed leave out every second change.
	omitting atomic.Bool
}

func (f *faultyFeed) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	if f.down.Load() {
		return nil, 0, storer.ErrUnavailable
	}
	return f.Store.List(ctx, table)
}

func (f *faultyFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if f.down.Load() {
		return nil, 0, storer.ErrUnavailable
	}
	list, version, err := f.Store.Changes(ctx, table, after, wait)
	if !f.omitting.Load() {
		return list, version, err
	}
	var kept []storer.Change
	for i, c := range list {
		if i%2 == 0 {
			kept = append(kept, c)
		}
	}
	return kept, version, err
}

// write commits one row for each replica, or removes it.
func (f *faultyFeed) write(is *is.I, sequence int64, replicas int, remove bool) {
	is.Helper()
	for i := range replicas {
		id := fmt.Sprintf("r%d", i)
		row, err := json.Marshal(tracker.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedMS: 1, Sequence: sequence})
		is.NoErr(err)
		_, err = f.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "replicas//" + id, Value: row, Delete: remove}}})
		is.NoErr(err)
	}
}

func stopFollower(f *follower.Follower, cancel context.CancelFunc) {
	cancel()
	_ = f.Wait()
}

// TestReplicasReturnAfterAnOutage guards against replicas that stay unknown after an outage
// in which their rows expired: the rows return before the next read of the registry, which
// then brings the removal and the new row of each replica in one reply. A fleet of which a
// daemon knows half is overloaded at that half for as long as no row changes.
func TestReplicasReturnAfterAnOutage(t *testing.T) {
	const count = 9
	rows := []struct {
		name     string
		omitting bool
	}{{"removal and new row in one reply", false}, {"a reply without every second change", true}}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				f := &faultyFeed{Store: emulator.NewStore()}
				f.write(is, 1, count, false)
				known := tracker.New(tracker.Options{OutageGrace: server.OutageGrace})
				x := follower.Start(ctx, f, server.NewRegistrySink(known, decodeReplica, logger.Start(ctx, io.Discard)), server.RegistryOptions("replicas"))
				defer stopFollower(x, cancel)
				time.Sleep(time.Second)
				is.Equal(len(known.Usable("s")), count)
				f.down.Store(true)
				time.Sleep(2 * time.Second)
				f.write(is, 1, count, true)
				f.write(is, 1, count, false)
				f.omitting.Store(row.omitting)
				f.down.Store(false)
				for range 20 {
					time.Sleep(server.OutageGrace / 4)
					is.Equal(len(known.Usable("s")), count) // No replica may be lost at any time.
				}
				f.omitting.Store(false)
				f.write(is, 1, count, true)
				time.Sleep(time.Second)
				is.Equal(len(known.Usable("s")), 0) // Long after the outage, a removed row means that a replica is gone.
			})
		})
	}
}

// TestTheConfigurationReturnsAfterAnOutage guards against an old configuration that stays
// in force because the feed left out a change that was made during an outage.
func TestTheConfigurationReturnsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := &faultyFeed{Store: emulator.NewStore()}
		put := func(value string) {
			_, err := f.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "config//all", Value: []byte(value)}}})
			is.NoErr(err)
		}
		put("3 s")
		var keeper cataloger.Keeper
		x := follower.Start(ctx, f, server.NewConfigSink(&keeper, "all", decodeCatalog, logger.Start(ctx, io.Discard)), server.ConfigOptions("config"))
		defer stopFollower(x, cancel)
		time.Sleep(time.Second)
		is.Equal(keeper.Current().Version(), uint64(3))
		f.down.Store(true)
		time.Sleep(2 * time.Second)
		put("4 s")
		put("5 s")
		f.omitting.Store(true)
		f.down.Store(false)
		time.Sleep(2 * time.Second)
		is.Equal(keeper.Current().Version(), uint64(5))
		f.omitting.Store(false)
		put("9 s")
		put("8 s") // An older version is never applied.
		time.Sleep(2 * time.Second)
		is.Equal(keeper.Current().Version(), uint64(9))
	})
}
