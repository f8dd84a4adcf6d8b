package server_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

// storeAccess is one daemon's access to the store, which can be cut.
type storeAccess struct {
	*emulator.Store
	cut atomic.Bool
}

func (a *storeAccess) check() error {
	if a.cut.Load() {
		return storer.ErrRefused
	}
	return nil
}

// Get implements storer.Table.
func (a *storeAccess) Get(ctx context.Context, key string) (storer.Row, error) {
	if err := a.check(); err != nil {
		return storer.Row{}, err
	}
	return a.Store.Get(ctx, key)
}

// Scan implements storer.Table.
func (a *storeAccess) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	if err := a.check(); err != nil {
		return nil, err
	}
	return a.Store.Scan(ctx, prefix, after, limit)
}

// Commit implements storer.Table.
func (a *storeAccess) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	if err := a.check(); err != nil {
		return 0, err
	}
	return a.Store.Commit(ctx, tx)
}

// List implements storer.Feed.
func (a *storeAccess) List(ctx context.Context, table string) ([]storer.Row, uint64, error) {
	if err := a.check(); err != nil {
		return nil, 0, err
	}
	return a.Store.List(ctx, table)
}

// Changes implements storer.Feed.
func (a *storeAccess) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	if err := a.check(); err != nil {
		return nil, 0, err
	}
	return a.Store.Changes(ctx, table, after, wait)
}

// A daemon that had lost the store went on using replicas whose rows were removed meanwhile,
// for two seconds after it was back, as if the store had been down for all. If it was, the
// replicas must stay.
func TestOnlyACutDaemonDropsReplicasAtOnce(t *testing.T) {
	for name, row := range map[string]struct{ lost, usable int }{
		"one daemon lost the store": {1, 2},
		"all daemons lost it":       {3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			z := newStrandedZone(t, 3, 3)
			z.waitForPeers()
			time.Sleep(3 * time.Second) // All have read the registry for a while.
			is.Equal(z.used(0), 3)
			for _, a := range z.stores[:row.lost] {
				a.cut.Store(true)
			}
			time.Sleep(2 * time.Second)
			_, err := z.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "replicas//a", Delete: true}}})
			is.NoErr(err)
			for _, a := range z.stores {
				a.cut.Store(false)
			}
			// The registry is read every 0.7 s, and the grace period is 2.2 s.
			time.Sleep(1300 * time.Millisecond)
			is.Equal(z.used(0), row.usable)
			time.Sleep(3 * time.Second)
			is.Equal(z.used(0), 2)
		})
	}
}

// used returns how many replicas serve the requests to a daemon.
func (z *strandedZone) used(daemon int) int {
	names := map[string]bool{}
	for range 30 {
		if status, body := get("http://" + z.daemons[daemon].front + "/"); status == http.StatusOK {
			names[body] = true
		}
	}
	return len(names)
}
