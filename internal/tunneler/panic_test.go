package tunneler_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A check of this daemon's own links that panicked ended the process. If it didn't, the inquiry
// would find nothing out.
func TestReachThatPanicsMeansNotReached(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 2, 0)
	for _, n := range f.network.zone {
		n.kill()
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	began := time.Now()
	ended := f.tunneler().Ended(ctx, f.replica, func(context.Context) (reached, others bool) { panic("odd address") })
	is.True(!ended)
	is.True(time.Since(began) < checkTimeout)
}
