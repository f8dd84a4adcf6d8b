package router_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/router"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

func TestShortlistHasNoRepeats(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "replicas")
		replicas := make([]string, n)
		for i := range replicas {
			replicas[i] = fmt.Sprint("r", i)
		}
		last := fmt.Sprint("r", rapid.IntRange(0, 25).Draw(rt, "last"))
		size := rapid.IntRange(1, 5).Draw(rt, "size")
		p := rapid.SampledFrom([]router.Policy{router.Affine, router.Spread}).Draw(rt, "policy")
		list := router.Shortlist(replicas, last, "prefix", size, p, rand.New(rand.NewPCG(1, 2)))
		sorted := slices.Compact(slices.Sorted(slices.Values(list)))
		if len(sorted) != len(list) || len(list) < min(size, n) || (len(list) > size && size > 1) {
			rt.Fatalf("Shortlist returned %v for %d replicas", list, n)
		}
		if p == router.Affine && slices.Contains(replicas, last) && list[0] != last {
			rt.Fatalf("the replica that served the program last is not first: %v", list)
		}
	})
}

// TestChoiceDependsOnNoOrder checks that the ranking is the same after the candidates are
// shuffled.
func TestChoiceDependsOnNoOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(rt, "n")
		list := make([]router.Candidate, n)
		for i := range list {
			list[i] = router.Candidate{
				Replica: fmt.Sprint("r", i), Wait: time.Duration(rapid.IntRange(0, 3).Draw(rt, "wait")) * time.Second,
				Gap: time.Duration(rapid.IntRange(0, 3).Draw(rt, "gap")) * 10 * time.Millisecond, Cached: rapid.IntRange(0, 2).Draw(rt, "cached") * 1000,
				InFlight: rapid.IntRange(0, 8).Draw(rt, "beside"),
			}
		}
		p := router.CallSize{PromptTokens: 2000, AnswerTokens: 50}
		want := router.Rank(list, p)
		r := rand.New(rand.NewPCG(3, 4))
		r.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
		if got := router.Rank(list, p); !slices.Equal(got, want) {
			rt.Fatalf("ranking after a shuffle:\n%v\nwant:\n%v", got, want)
		}
	})
}

func TestCachedPrefixAgainstWait(t *testing.T) {
	is := is.New(t)
	cached := router.Candidate{Replica: "home", Cached: 10_000, Prefill: 200 * time.Microsecond, Gap: 10 * time.Millisecond}
	uncached := router.Candidate{Replica: "away", Prefill: 200 * time.Microsecond, Gap: 10 * time.Millisecond}
	p := router.CallSize{PromptTokens: 10_000, AnswerTokens: 50}
	is.Equal(router.Rank([]router.Candidate{uncached, cached}, p)[0].Replica, "home")
	cached.Wait = time.Second // The wait is shorter than the prefill of 2 s.
	is.Equal(router.Rank([]router.Candidate{uncached, cached}, p)[0].Replica, "home")
	cached.Wait = 3 * time.Second
	is.Equal(router.Rank([]router.Candidate{uncached, cached}, p)[0].Replica, "away")
}

func TestSlowReplicaIsAvoidedAndProbedAgain(t *testing.T) {
	is := is.New(t)
	slow := router.Candidate{Replica: "a", Gap: 50 * time.Millisecond}
	fast := router.Candidate{Replica: "b", Gap: 10 * time.Millisecond}
	p := router.CallSize{PromptTokens: 100, AnswerTokens: 50}
	is.Equal(router.Rank([]router.Candidate{slow, fast}, p)[0].Replica, "b")
	slow.Stale = true // A stale gap is replaced by the median, so the replica gets calls again.
	fast.InFlight = 5
	is.Equal(router.Rank([]router.Candidate{slow, fast}, p)[0].Replica, "a")
}

func BenchmarkChoice(b *testing.B) {
	for _, replicas := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			names := make([]string, replicas)
			for i := range names {
				names[i] = fmt.Sprint("chat/replica-", i)
			}
			r := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				list := router.Shortlist(names, names[replicas/2], "prefix", 3, router.Affine, r)
				candidates := make([]router.Candidate, len(list))
				for i, n := range list {
					candidates[i] = router.Candidate{Replica: n, Gap: 10 * time.Millisecond}
				}
				router.Rank(candidates, router.CallSize{PromptTokens: 1000, AnswerTokens: 50})
			}
		})
	}
}
