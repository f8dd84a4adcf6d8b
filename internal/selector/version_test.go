package selector_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/selector"
)

// A coordinator placed a request that resumes a stream at a replica of another version.
func TestPlacementsKeepToTheVersion(t *testing.T) {
	for _, alone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			z := newZone(3, 4, 4, alone)
			defer z.stop()
			for i := range 60 {
				q := newRequest()
				q.Version = versionOf(i)
				c, err := z.daemons[i%3].selector.Choose(context.Background(), q)
				is.NoErr(err)
				is.Equal(c.Replica.Version, q.Version)
				c.End(selector.Served)
			}
			q := newRequest()
			q.Version = "unknown"
			_, err := z.daemons[0].selector.Choose(context.Background(), q)
			is.True(errors.Is(err, selector.ErrNoReplica))
			is.True(!z.daemons[0].selector.Serves(service, "unknown"))
			is.True(z.daemons[0].selector.Serves(service, versionOf(0)))
		})
	}
}

// A request that resumes a stream was placed at an instance whose process had been seen to end,
// by this daemon or by another one that its coordinator heard of it from.
func TestPlacementsAvoidEndedProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(3, 4, 4, false)
		defer z.stop()
		coordinator := z.coordinator()
		other := z.daemons[0]
		if other == coordinator {
			other = z.daemons[1]
		}
		q := newRequest()
		q.Version = versionOf(0)
		c, err := other.selector.Choose(context.Background(), q)
		is.NoErr(err)
		ended := c.Instance
		time.Sleep(time.Millisecond)
		is.True(other.tracker.SawEnd(ended, time.Now()))
		for range 20 {
			next, err := other.selector.Choose(context.Background(), q)
			is.NoErr(err)
			is.True(next.Instance != ended)
			next.End(selector.Served)
		}
		c.End(selector.Failed)
		time.Sleep(time.Second)
		is.Equal(coordinator.tracker.Unconfirmed(service), []string{ended})
		for _, d := range z.daemons {
			for range 20 {
				next, err := d.selector.Choose(context.Background(), q)
				is.NoErr(err)
				is.True(next.Instance != ended)
				next.End(selector.Served)
			}
		}
	})
}

// A version whose replicas had all broken off a connection was not served any more, or requests
// that go to any version were kept from them.
func TestEndedProcessesServeIfThereAreNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 2, 4, false)
		defer z.stop()
		for _, d := range z.daemons {
			for _, r := range d.tracker.Usable(service) {
				d.tracker.SawEnd(r.Instance(), time.Now())
			}
			for _, version := range []string{"", versionOf(0)} {
				q := newRequest()
				q.Version = version
				c, err := d.selector.Choose(context.Background(), q)
				is.NoErr(err)
				is.Equal(c.CoordinatorName != "", version == "" && d != z.coordinator())
				c.End(selector.Served)
			}
		}
	})
}
