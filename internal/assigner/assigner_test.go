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
	"pimentorail.example/pimentorail/internal/linker"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// peers are the daemons of a zone without the one that asks.
type peers []assigner.Peer

// Others implements assigner.Peers.
func (p peers) Others() []assigner.Peer { return p }

// Call implements linker.Caller.
func (peers) Call(context.Context, string, string, any, any) error { return linker.ErrUnreached }

// zone returns the peers that one of some daemons has.
func zone(n, me int) peers {
	var list peers
	for i := range n {
		if i != me {
			list = append(list, assigner.Peer{Name: fmt.Sprintf("d%d", i), Address: fmt.Sprintf("a%d", i)})
		}
	}
	return list
}

// picked returns the name of the daemon that a key is assigned to.
func picked(n, me int, key string) string {
	p, elsewhere := assigner.New(fmt.Sprintf("d%d", me), zone(n, me)).Of(key)
	if !elsewhere {
		return fmt.Sprintf("d%d", me)
	}
	return p.Name
}

// TestDaemonsAgree draws zones and keys: all daemons pick the same one, and a
// daemon that joins takes keys over but moves none between others.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "daemons")
		key := rapid.String().Draw(rt, "key")
		want := picked(n, 0, key)
		for i := range n {
			if got := picked(n, i, key); got != want {
				rt.Fatalf("daemon %d picks %s for %q, daemon 0 picks %s", i, got, key, want)
			}
		}
		if got := picked(n+1, 0, key); got != want && got != fmt.Sprintf("d%d", n) {
			rt.Fatalf("with one daemon more %q moves from %s to %s", key, want, got)
		}
	})
}

// TestKeysAreSpread bounds the share of one daemon by twice its part.
func TestKeysAreSpread(t *testing.T) {
	is := is.New(t)
	counts := map[string]int{}
	for i := range 3000 {
		counts[picked(30, 0, fmt.Sprintf("program-%d", i))]++
	}
	is.Equal(len(counts), 30)
	for _, n := range counts {
		is.True(n < 2*3000/30)
	}
}

func TestAPeerThatFailedIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := assigner.New("me", peers{{Name: "other", Address: "o"}})
		key := ""
		for i := 0; ; i++ {
			key = fmt.Sprint(i)
			if _, elsewhere := a.Of(key); elsewhere {
				break
			}
		}
		is.True(a.Failed("o"))
		for _, out := range []time.Duration{400, 800, 1600, 3200, 6000, 6000} {
			is.True(!a.Failed("o")) // A second failure at the same time counts once.
			time.Sleep(out*time.Millisecond - 1)
			_, elsewhere := a.Of(key)
			is.True(!elsewhere)
			time.Sleep(1)
			_, elsewhere = a.Of(key)
			is.True(elsewhere) // It is tried again.
			is.True(!a.Failed("o"))
		}
		a.Answered("o")
		_, elsewhere := a.Of(key)
		is.True(elsewhere)
		is.True(a.Failed("o")) // As if for the first time.
	})
}

func TestWithoutPeers(t *testing.T) {
	is := is.New(t)
	_, elsewhere := assigner.New("me", nil).Of("key")
	is.True(!elsewhere)
}
