package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
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

// registryWorld is a registry of replicas in a store, and a daemon's view of it.
type registryWorld struct {
	is    *is.I
	store *emulator.Store
	known *tracker.Tracker
	log   bytes.Buffer
}

// put writes the row of a replica that is alive.
func (w *registryWorld) put(id string, sequence int64, draining bool) {
	row, err := json.Marshal(tracker.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, StartedMS: 1, Sequence: sequence, Draining: draining})
	w.is.NoErr(err)
	w.write("replicas//"+id, row, false)
}

func (w *registryWorld) write(key string, value []byte, remove bool) {
	_, err := w.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: key, Value: value, Delete: remove}}})
	w.is.NoErr(err)
}

// settle waits until all rows have been read.
func (*registryWorld) settle() { time.Sleep(2 * time.Second) }

// usable returns the ids of the usable replicas.
func (w *registryWorld) usable() string {
	var ids []string
	for _, r := range w.known.Usable("s") {
		ids = append(ids, r.ID)
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// followRegistry runs a test on a registry that a daemon with some own addresses follows.
func followRegistry(t *testing.T, own []string, run func(w *registryWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &registryWorld{is: is.New(t), store: emulator.NewStore(), known: tracker.New(tracker.Options{OutageGrace: server.OutageGrace})}
		l := logger.Start(ctx, &w.log)
		f := follower.Start(ctx, w.store, server.NewOwnRegistrySink(w.known, decodeReplica, l, own), server.RegistryOptions("replicas"))
		defer func() { _ = l.Wait() }()
		defer stopFollower(f, cancel)
		run(w)
	})
}

// lines returns the number of log lines about an event.
func (w *registryWorld) lines(event string) int {
	synctest.Wait()
	return strings.Count(w.log.String(), event)
}

// An odd row of another writer left the replica usable in the feed and removed it in a list, so
// that the daemons of a zone differed until the row changed again.
func TestAReplicaIsNotUsedWhileItsRowIsOdd(t *testing.T) {
	followRegistry(t, nil, func(w *registryWorld) {
		for _, id := range []string{"r0", "r1", "r2"} {
			w.put(id, 1, false)
		}
		w.settle()
		w.is.Equal(w.usable(), "r0 r1 r2")
		w.write("replicas//r1", []byte("{"), false)
		w.settle()
		w.is.Equal(w.usable(), "r0 r2")
		w.put("r0", 2, true) // Later rows are followed.
		w.put("r3", 1, false)
		w.settle()
		w.is.Equal(w.usable(), "r2 r3")
		w.put("r1", 2, false)
		w.settle()
		w.is.Equal(w.usable(), "r1 r2 r3")
		w.write("replicas//r1", []byte("["), false)
		w.put("r1", 3, true) // Odd and back between two reads.
		w.settle()
		w.is.Equal(w.usable(), "r2 r3")
		w.is.True(w.known.IsEnding(w.known.Find("r1")))
		w.write("replicas//r1", nil, true)
		w.settle()
		w.is.True(w.known.Find("r1") == nil)
	})
}

// An odd row in a list, or in the place of the row of a replica that leaves, made other replicas
// unknown, or the one that leaves usable again.
func TestOddRowsInAListAndWhileDraining(t *testing.T) {
	followRegistry(t, nil, func(w *registryWorld) {
		w.put("r0", 1, false)
		w.put("r1", 1, false)
		w.write("replicas//odd", []byte("{"), false)
		w.settle()
		w.is.Equal(w.usable(), "r0 r1")
		w.put("r1", 2, true)
		w.settle()
		w.is.Equal(w.usable(), "r0")
		for sequence := range int64(3) {
			w.write("replicas//r1", []byte("{"), false)
			w.settle()
			w.is.Equal(w.usable(), "r0")
			w.put("r1", 3+sequence, true)
			w.settle()
			w.is.Equal(w.usable(), "r0")
		}
		rows, version, err := w.store.List(context.Background(), "replicas")
		w.is.NoErr(err)
		w.is.Equal(len(rows), 3)
		other := tracker.New(tracker.Options{OutageGrace: server.OutageGrace})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		sink := server.NewRegistrySink(other, decodeReplica, logger.Start(ctx, io.Discard))
		for range 2 { // The second is a list after others.
			sink.Replace(rows, version)
			w.is.Equal(len(other.Usable("s")), 1)
			w.is.True(other.Find("odd") == nil)
			w.is.True(other.Find("r1").Draining)
		}
	})
}

// A row whose key has a further slash was taken for the row of the replica named after the slash.
func TestARowWithASlashInItsIDIsNotThatOfAnotherReplica(t *testing.T) {
	followRegistry(t, nil, func(w *registryWorld) {
		w.put("r0", 1, false)
		w.settle()
		for _, key := range []string{"replicas//x/r0", "replicas///r0", "replicas//r0/"} {
			w.write(key, []byte("{"), false)
			w.settle()
			w.is.Equal(w.usable(), "r0")
			row, err := json.Marshal(tracker.Replica{ID: "r0", Service: "s", Address: "10.0.0.2:80", Slots: 4, StartedMS: 9, Draining: true})
			w.is.NoErr(err)
			w.write(key, row, false)
			w.settle()
			w.is.Equal(w.usable(), "r0")
			w.write(key, nil, true)
			w.settle()
			w.is.Equal(w.usable(), "r0")
		}
		w.is.True(strings.HasPrefix(w.known.Find("r0").Address, "10.0.0.1:"))
	})
}

// A row that names an address at which this daemon itself listens made it send requests to
// itself, each of which it sent on to itself again.
func TestARowWithTheDaemonsOwnAddressNamesNoReplica(t *testing.T) {
	followRegistry(t, []string{"", "10.0.0.1:80"}, func(w *registryWorld) {
		w.put("r0", 1, false)
		row, err := json.Marshal(tracker.Replica{ID: "r1", Service: "s", Address: "10.0.0.2:80", Slots: 4, StartedMS: 1})
		w.is.NoErr(err)
		w.write("replicas//r1", row, false)
		w.settle()
		w.is.Equal(w.usable(), "r1")
		w.is.Equal(w.lines("registry row ignored"), 1)
	})
}

// An odd row that was rewritten many times wrote a log line each time, and many odd rows one
// each, so that the lines that tell why requests failed were dropped.
func TestOddRowsDoNotFloodTheLog(t *testing.T) {
	followRegistry(t, nil, func(w *registryWorld) {
		for i := range 400 {
			w.write("replicas//odd", []byte(strings.Repeat("[", 60_000)), false)
			w.write("replicas//new-"+strconv.Itoa(i), []byte("{"), false)
			time.Sleep(100 * time.Millisecond)
		}
		w.put("r0", 1, false)
		w.settle()
		w.is.Equal(w.usable(), "r0")
		if n := w.lines("registry row ignored"); n < 2 || n > 32 {
			t.Fatalf("%d lines about 800 odd rows", n)
		}
		w.is.True(w.log.Len() < 32<<10)
	})
}

// An unreadable configuration that was rewritten many times wrote a log line each time.
func TestOddConfigurationsDoNotFloodTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		var log bytes.Buffer
		l := logger.Start(ctx, &log)
		defer func() { _ = l.Wait() }()
		defer cancel()
		var keeper cataloger.Keeper
		keeper.Apply(cataloger.New(1, nil, nil, cataloger.Limits{}))
		sink := server.NewConfigSink(&keeper, "all", func([]byte) (*cataloger.Catalog, error) { return nil, errors.New("unreadable") }, l)
		for n := range 300 {
			sink.Update([]storer.Change{{Row: storer.Row{Key: "config//all", Version: uint64(n)}}}, uint64(n))
			time.Sleep(100 * time.Millisecond)
		}
		synctest.Wait()
		is.Equal(strings.Count(log.String(), "configuration unreadable"), 1)
		is.Equal(keeper.Current().Version(), uint64(1))
	})
}
