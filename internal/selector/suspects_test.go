package selector_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/isolator"
	"pimentorail.example/pimentorail/internal/selector"
	"pimentorail.example/pimentorail/internal/tracker"
)

// suspect returns a request that was at a number of crashes.
func suspect(name string, crashes int) selector.Request {
	q := newRequest()
	q.Suspicion = selector.Suspicion{Fingerprint: isolator.NewMark([]byte(name)).Start, Crashes: crashes}
	return q
}

// TestSuspectsAreKeptApart guards against two suspect requests at one replica, whose next
// crash would not tell them apart, and against others beside one that is to be alone.
func TestSuspectsAreKeptApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 25, 12, false) // A service of 25 replicas may have five at risk.
		defer z.stop()
		choose := func(n int, q selector.Request) *selector.Choice {
			c, err := z.daemons[n%3].selector.Choose(context.Background(), q)
			is.NoErr(err)
			return c
		}
		used := map[string]int{}
		for n := range 4 {
			used[choose(n, suspect(fmt.Sprint("s", n), 1)).Instance]++
		}
		is.Equal(len(used), 4)
		alone := choose(0, suspect("alone", 2))
		is.Equal(used[alone.Instance], 0)
		for n := range 20 {
			c := choose(n, newRequest())
			is.True(c.Instance != alone.Instance)
			c.End(selector.Served)
		}
	})
}

// failAt lets a request that is not suspect fail at each of some replicas.
func failAt(t *testing.T, d *daemon, replicas int) *selector.Choice {
	is := is.New(t)
	q := newRequest()
	q.Tried = map[string]bool{}
	var last *selector.Choice
	for range replicas {
		c, err := d.selector.Choose(context.Background(), q)
		is.NoErr(err)
		q.Tried[c.Instance] = true
		c.End(selector.Failed)
		last = c
	}
	return last
}

// TestASuspectIsHeldBackWhileAReplicaIsAway guards against a suspect that ends the second of a
// few replicas while the first is away. It is told when that is usually back, and tried when
// it is; requests that are not suspect are served meanwhile.
func TestASuspectIsHeldBackWhileAReplicaIsAway(t *testing.T) {
	for _, replicas := range []int{2, 3, 5} {
		t.Run(fmt.Sprint(replicas), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(1, replicas, 6, true)
				defer z.stop()
				d := z.daemons[0]
				away := *failAt(t, d, 1).Replica
				_, err := d.selector.Choose(context.Background(), suspect("s", 1))
				var busy *selector.BusyError
				is.True(errors.As(err, &busy))
				is.True(!busy.AllAway())
				is.True(busy.RetryAfter() > 2*time.Second && busy.RetryAfter() < 4*time.Second)
				c, err := d.selector.Choose(context.Background(), newRequest())
				is.NoErr(err)
				c.End(selector.Served)
				time.Sleep(3 * time.Second)
				away.StartedMS++
				d.tracker.Update([]tracker.Row{{ID: away.ID, Replica: &away}}, time.Now())
				c, err = d.selector.Choose(context.Background(), suspect("s", 1))
				is.NoErr(err)
				_, err = d.selector.Choose(context.Background(), suspect("other", 1))
				is.True(errors.As(err, &busy)) // One at a time.
				c.End(selector.Served)
			})
		})
	}
}

// TestAReplicaThatServesIsNotAway guards against suspects that are held back because one
// connection to a replica broke.
func TestAReplicaThatServesIsNotAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(1, 2, 6, true)
		defer z.stop()
		d := z.daemons[0]
		failAt(t, d, 1)
		time.Sleep(400 * time.Millisecond) // Until the penalty of the failure is over.
		q := newRequest()
		q.Tried = map[string]bool{}
		for range 2 {
			c, err := d.selector.Choose(context.Background(), q)
			is.NoErr(err)
			q.Tried[c.Instance] = true
			c.End(selector.Served)
		}
		c, err := d.selector.Choose(context.Background(), suspect("s", 1))
		is.NoErr(err)
		c.End(selector.Served)
	})
}

// TestAHeldSuspectIsTriedInTheEnd guards against a harmless suspect that is never served
// because a replica never comes back. Its client comes back as it is told.
func TestAHeldSuspectIsTriedInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(1, 2, 6, true)
		defer z.stop()
		d := z.daemons[0]
		failAt(t, d, 1)
		began := time.Now()
		for attempts := 1; ; attempts++ {
			c, err := d.selector.Choose(context.Background(), suspect("s", 2))
			if err == nil {
				c.End(selector.Served)
				is.True(attempts <= 5)
				break
			}
			var busy *selector.BusyError
			is.True(errors.As(err, &busy))
			time.Sleep(busy.RetryAfter())
		}
		is.True(time.Since(began) <= 11*time.Second)
	})
}

// TestRequestsOfAnOutageAreNotHeldBack guards against an outage of a zone that delays the
// requests which were there, though none of them is the cause. In a large service they may be
// more than the replicas that are left.
func TestRequestsOfAnOutageAreNotHeldBack(t *testing.T) {
	for _, row := range []struct{ replicas, away, suspects int }{{14, 5, 9}, {60, 20, 80}} {
		t.Run(fmt.Sprint(row.replicas), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(1, row.replicas, 6, true)
				defer z.stop()
				d := z.daemons[0]
				failAt(t, d, row.away)
				used, left := map[string]int{}, row.replicas-row.away
				for n := range row.suspects {
					c, err := d.selector.Choose(context.Background(), suspect(fmt.Sprint("s", n), 1))
					is.NoErr(err)
					used[c.Instance]++
				}
				is.Equal(len(used), left)
				for _, n := range used {
					is.Equal(n, row.suspects/left)
				}
			})
		})
	}
}

// TestClientsAreToldWhenAllReplicasAreAway guards against clients that use up their attempts
// within a second while a service of few replicas restarts.
func TestClientsAreToldWhenAllReplicasAreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 2, 6, false)
		defer z.stop()
		for _, d := range z.daemons {
			q := newRequest()
			q.Tried = map[string]bool{}
			for range 2 {
				c, err := d.selector.Choose(context.Background(), q)
				is.NoErr(err)
				q.Tried[c.Instance] = true
				c.End(selector.Failed)
			}
			_, err := d.selector.Choose(context.Background(), q)
			var busy *selector.BusyError
			is.True(errors.As(err, &busy))
			is.True(busy.AllAway())
			is.True(busy.RetryAfter() > time.Second && busy.RetryAfter() <= 2*time.Second)
		}
	})
}

// TestManySuspectsOfALargeService guards against a large service whose suspects wait for each
// other though it has many replicas.
func TestManySuspectsOfALargeService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 60, 6, false)
		defer z.stop()
		failAt(t, z.daemons[0], 2)
		used := map[string]bool{}
		for n := range 10 {
			c, err := z.daemons[n%3].selector.Choose(context.Background(), suspect(fmt.Sprint("s", n), 1))
			is.NoErr(err)
			used[c.Instance] = true
		}
		is.Equal(len(used), 10)
	})
}

// TestARequestIsTriedAlone guards against a request that was at several crashes and comes in
// numbers: it is in flight once, the others are refused as not run with a time to come back.
func TestARequestIsTriedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 5, 12, false)
		defer z.stop()
		c, err := z.daemons[0].selector.Choose(context.Background(), suspect("alone", 2))
		is.NoErr(err)
		_, err = z.daemons[1].selector.Choose(context.Background(), suspect("alone", 2))
		var busy *selector.BusyError
		is.True(errors.As(err, &busy))
		is.True(busy.RetryAfter() > 0 && busy.RetryAfter() < time.Second)
		c.End(selector.Served)
		time.Sleep(100 * time.Millisecond)
		_, err = z.daemons[1].selector.Choose(context.Background(), suspect("alone", 2))
		is.NoErr(err)
	})
}
