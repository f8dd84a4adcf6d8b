package assigner_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/messenger"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// peers are the other daemons of a zone, as one daemon knows them.
type peers []assigner.Peer

// Others implements assigner.Peers.
func (p peers) Others() []assigner.Peer { return p }

// Call implements messenger.Caller.
func (peers) Call(context.Context, string, string, any, any) error { return messenger.ErrNotSent }

// peersOf returns the peers of daemon self in a zone of n daemons.
func peersOf(n, self int) peers {
	var list peers
	for i := range n {
		if i != self {
			list = append(list, assigner.Peer{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("a%d", i)})
		}
	}
	return list
}

// pick returns the name of the daemon to which daemon self of n assigns a key.
func pick(n, self int, key string) string {
	p, remote := assigner.New(fmt.Sprintf("d%d", self), peersOf(n, self)).Of(key)
	if !remote {
		return fmt.Sprintf("d%d", self)
	}
	return p.Name
}

// TestDaemonsAgree draws zones and keys: all daemons pick the same daemon for a key, and
// a daemon that joins moves keys only to itself and none between the others.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "daemons")
		key := rapid.String().Draw(rt, "key")
		want := pick(n, 0, key)
		for i := range n {
			if got := pick(n, i, key); got != want {
				rt.Fatalf("daemon %d picks %s for %q, daemon 0 picks %s", i, got, key, want)
			}
		}
		if got := pick(n+1, 0, key); got != want && got != fmt.Sprintf("d%d", n) {
			rt.Fatalf("with one more daemon key %q moves from %s to %s", key, want, got)
		}
	})
}

// TestKeysAreSpread bounds the keys of each daemon by twice the mean.
func TestKeysAreSpread(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 3000 {
		counts[pick(30, 0, fmt.Sprintf("program-%d", i))]++
	}
	is.Equal(len(counts), 30)
	for _, n := range counts {
		is.True(n < 2*3000/30)
	}
}

// TestAPeerThatFailedIsLeftOut checks that a peer is excluded for twice as long after each
// failure up to the maximum, and that an answer resets this.
func TestAPeerThatFailedIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assigner.New("me", peers{{Name: "other", Address: "o"}})
		key := ""
		for i := 0; ; i++ {
			key = fmt.Sprint(i)
			if _, remote := a.Of(key); remote {
				break
			}
		}
		is.True(a.Failed("o"))
		for _, excluded := range []time.Duration{400, 800, 1600, 3200, 6000, 6000} {
			is.True(!a.Failed("o")) // Concurrent failures count as one.
			time.Sleep(excluded*time.Millisecond - 1)
			_, remote := a.Of(key)
			is.True(!remote)
			time.Sleep(1)
			_, remote = a.Of(key)
			is.True(remote) // The peer is tried again.
			is.True(!a.Failed("o"))
		}
		a.Answered("o")
		_, remote := a.Of(key)
		is.True(remote)
		is.True(a.Failed("o")) // An answer resets the failures.
	})
}

func TestWithoutPeers(t *testing.T) {
	is := is.New(t)
	_, remote := assigner.New("me", nil).Of("key")
	is.True(!remote)
}
