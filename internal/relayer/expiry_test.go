package relayer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/relayer"
	"pimentorail.example/pimentorail/internal/storer"
)

// settled is how long it takes at most until a killed daemon is known to be dead everywhere.
const settled = 6 * time.Minute

// counts returns the numbers of members that the daemons know.
func (z *zone) counts(daemons ...int) string {
	var list []int
	for _, i := range daemons {
		list = append(list, z.relayers[i].MemberCount())
	}
	return fmt.Sprint(list)
}

// rows returns the number of member rows.
func (z *zone) rows(is *is.I) int {
	is.Helper()
	rows, err := storer.ScanAll(context.Background(), z.store, "members-z/peers/")
	is.NoErr(err)
	return len(rows)
}

// commits returns the number of writes of all daemons.
func (z *zone) commits() int {
	n := int64(0)
	for _, a := range z.accesses {
		n += a.commits.Load()
	}
	return int(n)
}

// Killed daemons stayed members for ever, and lowered the share of all others in the
// connections of each replica. Their rows were never removed.
func TestKilledDaemonsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZoneWith(t, emulator.NewStore(), "a", "b", "c", "d", "e", "f")
		defer z.stop()
		z.kills[4]()
		z.kills[5]()
		time.Sleep(time.Minute)
		before := z.commits()
		time.Sleep(settled)
		is.Equal(z.counts(0, 1, 2, 3), "[4 4 4 4]")
		is.Equal(len(z.relayers[0].Others()), 3)
		is.Equal(z.rows(is), 4)
		is.True(z.commits()-before <= 4*6+2) // A write a minute and daemon, and one for each removal.
		before = z.commits()
		time.Sleep(time.Hour)
		is.True(z.commits()-before <= 4*60)
		is.Equal(z.counts(0, 1, 2, 3), "[4 4 4 4]")
	})
}

// The last daemon of a zone kept all others as members.
func TestTheLastDaemonForgetsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		z.kills[1]()
		z.kills[2]()
		time.Sleep(settled)
		is.Equal(z.relayers[0].MemberCount(), 1)
		is.Equal(z.rows(is), 1)
	})
}

// Daemons vanished because nobody could renew a row: the store was down, or took no writes.
func TestNobodyVanishesWhileTheStoreIsDown(t *testing.T) {
	for name, fault := range map[string]func(a *storeAccess, on bool){
		"down":        func(a *storeAccess, on bool) { a.closed.Store(on) },
		"not written": func(a *storeAccess, on bool) { a.readOnly.Store(on) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(t)
				defer z.stop()
				for _, on := range []bool{true, false} {
					for _, a := range z.accesses {
						fault(a, on)
					}
					for range 20 * 12 {
						time.Sleep(5 * time.Second)
						is.Equal(z.counts(0, 1, 2), "[3 3 3]")
					}
				}
				is.Equal(z.rows(is), 3)
			})
		})
	}
}

// A daemon that was cut off for so long that the others removed its row stayed unknown.
func TestADaemonThatWasTakenForDeadComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		z.accesses[0].closed.Store(true)
		z.network.setCut("a", true)
		time.Sleep(settled)
		is.Equal(z.counts(1, 2), "[2 2]")
		is.Equal(z.rows(is), 2)
		is.Equal(z.relayers[0].MemberCount(), 3) // It can't tell, and expects the others back.
		z.accesses[0].closed.Store(false)
		z.network.setCut("a", false)
		time.Sleep(20 * time.Second)
		is.Equal(z.counts(0, 1, 2), "[3 3 3]")
		is.Equal(z.rows(is), 3)
	})
}

// A daemon that only its peers reach, and whose row was removed, came back only at its restart.
func TestARowThatWasRemovedIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		_, err := z.store.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "members-z/peers/a", Delete: true}}})
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.Equal(z.rows(is), 3)
		is.Equal(z.counts(0, 1, 2), "[3 3 3]")
	})
}

// A write in doubt brought back the row of a daemon that had stopped as planned.
func TestAStoppedDaemonStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		z.relayers[0].Leave(context.Background())
		time.Sleep(time.Hour)
		is.Equal(z.rows(is), 2)
	})
}

// Relay is the service of a daemon of the previous build, as far as it is called.
type Relay struct{}

// Join answers an announcement.
func (Relay) Join(relayer.JoinRequest, *relayer.JoinReply) error { return nil }

// A daemon of the previous build never renews its row, and vanished although it answered. One
// that was killed stayed.
func TestDaemonsOfThePreviousBuildAreValidWhileTheyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t)
		defer z.stop()
		secret, err := z.store.Get(context.Background(), "relay/shared/secret")
		is.NoErr(err)
		s := messenger.NewServer(string(secret.Value))
		is.NoErr(s.Register("Relay", Relay{}))
		ctx, kill := context.WithCancel(z.ctx)
		l, err := z.network.listen(t.Context(), "old")
		is.NoErr(err)
		s.Start(ctx, l)
		for _, name := range []string{"old", "replaced"} { // The address was another VM's before.
			_, err = z.store.Commit(z.ctx, write("members-z/peers/"+name+"-vm", `{"address":"old"}`))
			is.NoErr(err)
		}
		time.Sleep(10 * time.Second)
		is.Equal(z.counts(0, 1, 2), "[5 5 5]")
		time.Sleep(settled)
		is.Equal(z.counts(0, 1, 2), "[4 4 4]")
		time.Sleep(time.Hour)
		is.Equal(z.counts(0, 1, 2), "[4 4 4]")
		is.Equal(z.rows(is), 4)
		z.network.setCut("old", true)
		time.Sleep(2 * settled)
		is.Equal(z.counts(0, 1, 2), "[3 3 3]")
		z.network.setCut("old", false)
		time.Sleep(2 * time.Minute)
		is.Equal(z.counts(0, 1, 2), "[4 4 4]") // Its row was not removed yet.
		kill()
		time.Sleep(time.Hour)
		is.Equal(z.counts(0, 1, 2), "[3 3 3]")
		is.Equal(z.rows(is), 3)
	})
}
