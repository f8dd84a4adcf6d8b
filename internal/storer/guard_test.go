package storer_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

var guardLimits = storer.Limits{
	MinTimeout: 100 * time.Millisecond, MaxTimeout: time.Second, OutageAfter: 300 * time.Millisecond,
	ProbeInterval: 200 * time.Millisecond, RetryBackoff: 20 * time.Millisecond,
}

// countingTable counts the attempts that reach a table.
type countingTable struct {
	storer.Table
	attempts int
}

// Get implements storer.Table.
func (c *countingTable) Get(ctx context.Context, key string) (storer.Row, error) {
	c.attempts++
	return c.Table.Get(ctx, key)
}

// TestAnOutageCostsFewTries makes ten requests every ten milliseconds during an outage of
// five seconds. The guard must detect the outage and send only probes from then on.
func TestAnOutageCostsFewTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewStore()
		c := &countingTable{Table: store}
		g := storer.NewGuard(c, nil, guardLimits)
		store.SetFaults(emulator.StoreFaults{Down: true})
		for range 500 {
			for range 10 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				_, err := g.Get(ctx, "k")
				is.True(err != nil)
				cancel()
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.True(g.OutageDuration() > 4*time.Second)
		is.True(c.attempts < 400) // 300 until the outage is detected, then 5 per second.
		store.SetFaults(emulator.StoreFaults{})
		time.Sleep(guardLimits.ProbeInterval)
		_, err := g.Get(context.Background(), "k")
		is.NoErr(err)
		is.Equal(g.OutageDuration(), time.Duration(0))
	})
}

// TestPatienceFollowsTheService makes the store 80 times slower. The timeout must grow
// until attempts succeed again.
func TestPatienceFollowsTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := emulator.NewStore()
		g := storer.NewGuard(store, nil, guardLimits)
		ctx := context.Background()
		store.SetFaults(emulator.StoreFaults{DelayMS: 5})
		for range 50 {
			_, err := g.Get(ctx, "k")
			is.NoErr(err)
		}
		store.SetFaults(emulator.StoreFaults{DelayMS: 400})
		start := time.Now()
		_, err := g.Get(ctx, "k")
		is.NoErr(err)
		is.True(time.Since(start) < 1500*time.Millisecond)
		for range 20 {
			start = time.Now()
			_, err = g.Get(ctx, "k")
			is.NoErr(err)
		}
		is.Equal(time.Since(start), 400*time.Millisecond) // The timeout has adapted, and no attempt times out.
	})
}

func TestConflictIsNotAnOutage(t *testing.T) {
	is := is.New(t)
	store := emulator.NewStore()
	g := storer.NewGuard(store, nil, guardLimits)
	tx := storer.Transaction{Conditions: []storer.Condition{{Key: "k", Version: 7}}, Writes: []storer.Write{{Key: "k"}}}
	_, err := g.Commit(context.Background(), tx)
	is.True(errors.Is(err, storer.ErrConflict))
	is.Equal(g.OutageDuration(), time.Duration(0))
}

// partialTable is a table of which one partition of the store can be made unavailable.
type partialTable struct {
	countingTable
	unavailable bool
}

// Get implements storer.Table.
func (p *partialTable) Get(ctx context.Context, key string) (storer.Row, error) {
	if p.unavailable && strings.HasPrefix(key, "t/a/") {
		p.attempts++
		return storer.Row{}, storer.ErrUnavailable
	}
	return p.countingTable.Get(ctx, key)
}

// TestAnOutageOfOnePartition makes one partition unavailable: reads of it must fail with
// few attempts, and reads of other partitions must succeed.
func TestAnOutageOfOnePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &partialTable{countingTable: countingTable{Table: emulator.NewStore()}, unavailable: true}
		g := storer.NewGuard(p, nil, guardLimits)
		for range 100 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := g.Get(ctx, "t/a/k")
			is.True(err != nil)
			cancel()
			_, err = g.Get(context.Background(), "t/b/k")
			is.NoErr(err)
			is.Equal(g.OutageDuration(), time.Duration(0))
			time.Sleep(50 * time.Millisecond)
		}
		// 100 of b, 50 of a until its outage is detected, then 5 per second.
		is.True(p.attempts < 100+50+30)
		p.unavailable = false
		time.Sleep(guardLimits.ProbeInterval)
		_, err := g.Get(context.Background(), "t/a/k")
		is.NoErr(err)
		_, err = g.Get(context.Background(), "t/a/other")
		is.NoErr(err)
	})
}

// TestFailuresFarApart checks that single failures, seconds apart, are not an outage.
func TestFailuresFarApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := &partialTable{countingTable: countingTable{Table: emulator.NewStore()}}
		g := storer.NewGuard(p, nil, guardLimits)
		for range 5 {
			p.unavailable = true
			_, err := g.Commit(context.Background(), storer.Transaction{})
			is.NoErr(err) // Its partition is not the failing one.
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			_, err = g.Get(ctx, "t/a/k")
			is.True(err != nil)
			cancel()
			p.unavailable = false
			time.Sleep(2 * time.Second)
		}
		_, err := g.Get(context.Background(), "t/a/k")
		is.NoErr(err)
		_, err = g.Get(context.Background(), "t/a/k")
		is.NoErr(err)
	})
}
