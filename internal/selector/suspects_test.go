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
		z := newZone(3, 5, 12, false)
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
