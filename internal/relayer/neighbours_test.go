package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/assigner"
)

// A zone whose daemons were all cut off knew no daemon that was not.
func TestDaemonsOfOtherZonesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		ctx := context.Background()
		x := z.relayers[0]
		reads := z.store.Counts().Reads
		time.Sleep(time.Minute)
		is.True(z.store.Counts().Reads-reads < 60) // Nothing more is read while nobody asks.
		for _, w := range [][2]string{
			{"members-y/peers/d", `{"address":"d"}`}, {"members-x/peers/e", `{"address":"e"}`}, {"members-x/peers/spoiled", `{`},
		} {
			_, err := z.store.Commit(ctx, write(w[0], w[1]))
			is.NoErr(err)
		}
		both := []assigner.Peer{{Name: "d", Address: "d"}, {Name: "e", Address: "e"}}
		is.Equal(x.Elsewhere(ctx), both)
		_, err := z.store.Commit(ctx, write("members-y/peers/f", `{"address":"f"}`))
		is.NoErr(err)
		is.Equal(len(x.Elsewhere(ctx)), 2) // Read once in a while.
		time.Sleep(11 * time.Second)
		is.Equal(len(x.Elsewhere(ctx)), 3)
		for _, a := range z.accesses {
			a.closed.Store(true)
		}
		time.Sleep(11 * time.Second)
		start := time.Now()
		is.Equal(len(x.Elsewhere(ctx)), 3) // Kept while the store does not answer.
		is.True(time.Since(start) < time.Second)
	})
}
