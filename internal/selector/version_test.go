package selector_test

import (
	"context"
	"testing"
	"testing/synctest"

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
