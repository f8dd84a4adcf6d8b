package relayer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/emulator"
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
		x.Elsewhere(ctx)
		synctest.Wait()
		is.Equal(len(x.Elsewhere(ctx)), 3)
		z.store.SetFaults(emulator.StoreFaults{DelayMS: 400})
		for range 5 {
			time.Sleep(11 * time.Second)
			start := time.Now()
			is.Equal(len(x.Elsewhere(ctx)), 3) // Known while the store is slow.
			is.Equal(time.Since(start), time.Duration(0))
		}
	})
}

// TestTheDaemonOfAProcessIsKnown checks that the processes of daemons are known in their own
// zone and, at once after a restart, in other zones; a list that is used while it is read
// again would name the process before the restart for as long as nobody asks.
func TestTheDaemonOfAProcessIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		ctx := context.Background()
		x := z.relayers[0]
		is.True(len(x.Others()) > 0)
		for _, p := range x.Others() {
			is.Equal(p.Process, p.Name+"-process")
		}
		for _, process := range []string{"d-1", "d-2"} {
			_, err := z.store.Commit(ctx, write("members-y/peers/d", `{"address":"d","process":"`+process+`"}`))
			is.NoErr(err)
			time.Sleep(time.Minute)
			is.Equal(x.ElsewhereNow(ctx), []assigner.Peer{{Name: "d", Address: "d", Process: process}})
		}
		reads := z.store.Counts().Reads
		for range 50 {
			is.Equal(len(x.ElsewhereNow(ctx)), 1)
		}
		is.Equal(z.store.Counts().Reads, reads) // Read once in a while.
		time.Sleep(time.Minute)
		z.store.SetFaults(emulator.StoreFaults{DelayMS: 400})
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		is.Equal(len(x.ElsewhereNow(short)), 1) // The older list is used while the store is slow.
		is.Equal(time.Since(start), 100*time.Millisecond)
	})
}
