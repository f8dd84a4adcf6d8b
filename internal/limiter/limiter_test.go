package limiter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/limiter"
	"pimentorail.example/pimentorail/internal/seeder"
)

// TestNeverAboveTheLimit checks that the valid slices of several holders never add up to
// more than the limit, while answers are lost and owners change.
func TestNeverAboveTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 10).Draw(rt, "limit")
		now := time.Duration(0)
		owner := limiter.NewGrants(-limiter.Lifetime)
		holders := make([]limiter.Slice, 4)
		rt.Repeat(map[string]func(*rapid.T){
			"ask": func(rt *rapid.T) {
				h := rapid.IntRange(0, 3).Draw(rt, "holder")
				s := &holders[h]
				sent := now
				want := s.Wanted(rapid.IntRange(0, 3).Draw(rt, "extra"))
				s.ReduceTo(want)
				held := s.Amount(sent)
				now += time.Duration(rapid.IntRange(0, 400).Draw(rt, "there")) * time.Millisecond
				amount := owner.Ask(fmt.Sprint(h), want, held, limit, now)
				if rapid.Bool().Draw(rt, "answered") {
					s.Set(amount, sent)
				}
			},
			"take": func(rt *rapid.T) { holders[rapid.IntRange(0, 3).Draw(rt, "holder")].Acquire(now) },
			"give": func(rt *rapid.T) {
				if s := &holders[rapid.IntRange(0, 3).Draw(rt, "holder")]; s.InUse() > 0 {
					s.Release(now)
				}
			},
			"wait":      func(rt *rapid.T) { now += time.Duration(rapid.IntRange(1, 4000).Draw(rt, "ms")) * time.Millisecond },
			"take-over": func(*rapid.T) { owner = limiter.NewGrants(now) },
			"": func(rt *rapid.T) {
				sum := 0
				for i := range holders {
					sum += holders[i].Amount(now)
				}
				if sum > limit {
					rt.Fatalf("valid slices add up to %d, the limit is %d", sum, limit)
				}
			},
		})
	})
}

// TestLostAnswerOfASmallerRequest guards against a holder that keeps units which the owner
// has granted to another: the holder asked for a smaller slice and the answer was lost.
func TestLostAnswerOfASmallerRequest(t *testing.T) {
	is := is.New(t)
	g := limiter.NewGrants(-limiter.Lifetime)
	var first, second limiter.Slice
	first.Set(g.Ask("first", 1, 0, 1, 0), 0)
	first.ReduceTo(0)
	g.Ask("first", 0, first.Amount(0), 1, 0) // The answer is lost.
	second.Set(g.Ask("second", 1, 0, 1, 0), 0)
	is.Equal(first.Amount(0)+second.Amount(0), 1)
}

func TestOneHolderKeepsNothingFromAnother(t *testing.T) {
	is := is.New(t)
	g := limiter.NewGrants(-limiter.Lifetime)
	is.Equal(g.Ask("a", 10, 0, 10, 0), 10)
	is.Equal(g.Ask("b", 1, 0, 10, 0), 0)
	is.Equal(g.Ask("a", 4, 10, 10, time.Second), 4)
	is.Equal(g.Ask("b", 5, 0, 10, time.Second), 5)
	is.Equal(g.Granted(time.Second), 9)
}

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}
