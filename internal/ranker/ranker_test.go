package ranker_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

var turn = ranker.Work{Parts: []ranker.Part{{ID: "shared", Tokens: 12600}, {ID: "own", Tokens: 1500}}, Prompt: 14100, Output: 200, Model: true, Bytes: 15000}

func startAtZero(int) int { return 0 }

func TestChoices(t *testing.T) {
	const now = time.Second
	rows := []struct {
		name  string
		views func() []*ranker.View
		want  int
	}{
		{"no replicas", func() []*ranker.View { return nil }, -1},
		{"prefers a replica that caches the prompt to an empty one", func() []*ranker.View {
			a, b := &ranker.View{ID: "a", Slots: 12}, &ranker.View{ID: "b", Slots: 12}
			b.Begin(turn, now)
			b.End()
			return []*ranker.View{a, b}
		}, 1},
		{"prefers free slots to a cached prompt behind a queue", func() []*ranker.View {
			a, b := &ranker.View{ID: "a", Slots: 12}, &ranker.View{ID: "b", Slots: 12}
			b.Begin(turn, now)
			b.ReportLoad(ranker.Load{Running: 12, Waiting: 12, Slots: 12, Slowness: 1}, now)
			return []*ranker.View{a, b}
		}, 0},
		{"prefers a replica at usual speed to a slowed one", func() []*ranker.View {
			a, b := &ranker.View{ID: "a", Slots: 12}, &ranker.View{ID: "b", Slots: 12}
			a.ReportLoad(ranker.Load{Slots: 12, Slowness: 2.5}, now)
			b.ReportLoad(ranker.Load{Slots: 12, Slowness: 1}, now)
			return []*ranker.View{a, b}
		}, 1},
		{"ignores an old report of slowness", func() []*ranker.View {
			a, b := &ranker.View{ID: "a", Slots: 12}, &ranker.View{ID: "b", Slots: 12}
			a.ReportLoad(ranker.Load{Slots: 12, Slowness: 2.5}, 0)
			return []*ranker.View{a, b}
		}, 0},
		{"prefers the own zone to another", func() []*ranker.View {
			return []*ranker.View{{ID: "a", Slots: 12}, {ID: "b", Slots: 12, Local: true}}
		}, 1},
		{"avoids a replica after a recent failure", func() []*ranker.View {
			a, b := &ranker.View{ID: "a", Slots: 12, Local: true}, &ranker.View{ID: "b", Slots: 12}
			a.Failed(now)
			return []*ranker.View{a, b}
		}, 1},
		{"uses an avoided replica if there is no other", func() []*ranker.View {
			a := &ranker.View{ID: "a", Slots: 12}
			a.Failed(now)
			return []*ranker.View{a}
		}, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ranker.DefaultCosts.Choose(row.views(), turn, now, startAtZero), row.want)
		})
	}
}

// TestMemoryIsBounded records random prompts: the tokens estimated as cached stay within
// the replica's capacity, plus one request, and no part counts as cached unless all parts
// before it are cached.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &ranker.View{Slots: 4, CacheTokens: 5000}
		for i := range rapid.IntRange(1, 60).Draw(t, "requests") {
			var parts []ranker.Part
			for range rapid.IntRange(1, 4).Draw(t, "parts") {
				parts = append(parts, ranker.Part{ID: fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")), Tokens: rapid.IntRange(0, 1000).Draw(t, "tokens")})
			}
			v.Begin(ranker.Work{Parts: parts}, time.Duration(i))
			v.End()
			total := 0
			for p := range 21 {
				total += v.Cached([]ranker.Part{{ID: fmt.Sprint(p), Tokens: 1000}})
			}
			if total > 5000+4*1000 {
				t.Fatalf("%d tokens are estimated as cached with a capacity of 5000", total)
			}
			if n := v.Cached([]ranker.Part{{ID: "never", Tokens: 9}, parts[0]}); n != 0 {
				t.Fatalf("%d tokens count as cached after a part that is not cached", n)
			}
		}
	})
}

// TestDaemonsOfAZoneAgreeOnNewPrompts guards against every replica of a zone reading the
// same shared part. It gives eleven daemons without any load reports or cached parts
// prompts that begin with one of sixteen shared parts, as just after startup.
func TestDaemonsOfAZoneAgreeOnNewPrompts(t *testing.T) {
	is := is.New(t)
	chosen := map[string]map[int]bool{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 11 {
		for p := range 16 {
			id := fmt.Sprint("part-", p)
			var views []*ranker.View
			for i := range 5 {
				views = append(views, &ranker.View{ID: fmt.Sprint("replica-", i), Slots: 12, Local: true})
			}
			w := ranker.Work{Parts: []ranker.Part{{ID: id, Tokens: 12600}}, Prompt: 14000, Output: 200, Model: true}
			if chosen[id] == nil {
				chosen[id] = map[int]bool{}
			}
			chosen[id][ranker.DefaultCosts.Choose(views, w, 0, r.IntN)] = true
		}
	}
	used := map[int]bool{}
	for _, replicas := range chosen {
		is.Equal(len(replicas), 1) // One replica of the zone reads each part.
		for i := range replicas {
			used[i] = true
		}
	}
	is.True(len(used) >= 4) // The parts are distributed over the replicas.
}

// completion is the end of a simulated request.
type completion struct {
	at      time.Duration
	daemon  int
	replica int
}

// completionHeap is a heap of completions ordered by time.
type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// TestManyDaemonsThatChooseAlone guards against choices by old reports that are worse
// than random ones. In a load peak, eleven daemons send turns to fourteen replicas, each
// of which is slowed in some periods of 600 ms, and load reports come with responses
// only. The mean time must not exceed that of random choices.
func TestManyDaemonsThatChooseAlone(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		is := is.New(t)
		chosen, random := simulatePeak(seed, true), simulatePeak(seed, false)
		is.True(chosen <= random)
	}
}

// simulatePeak returns the mean service time of the requests of a load peak, with the
// replicas chosen by Costs.Choose or at random.
func simulatePeak(seed uint64, choose bool) time.Duration {
	const daemons, replicas, requests = 11, 14, 6000
	r := rand.New(rand.NewPCG(seed, 0))
	views := make([][]*ranker.View, daemons)
	for d := range views {
		for i := range replicas {
			views[d] = append(views[d], &ranker.View{ID: fmt.Sprint(i), Slots: 12, Local: i%3 == d%3})
		}
	}
	slowness := func(i int, at time.Duration) float64 {
		if rand.New(rand.NewPCG(uint64(i), uint64(at/(600*time.Millisecond)))).Float64() < 0.15 {
			return 2.5
		}
		return 1
	}
	running := make([]int, replicas)
	var inFlight completionHeap
	var sum, now time.Duration
	for range requests {
		now += time.Duration(r.ExpFloat64() * float64(4*time.Millisecond))
		for len(inFlight) > 0 && inFlight[0].at <= now {
			x := heap.Pop(&inFlight).(completion)
			running[x.replica]--
			v := views[x.daemon][x.replica]
			v.End()
			v.ReportLoad(ranker.Load{Running: running[x.replica], Slots: 12, Slowness: slowness(x.replica, x.at)}, x.at)
		}
		d, i := r.IntN(daemons), r.IntN(replicas)
		w := ranker.Work{Prompt: 1500, Output: 200, Model: true, Bytes: 15000}
		if choose {
			i = ranker.DefaultCosts.Choose(views[d], w, now, r.IntN)
		}
		views[d][i].Begin(w, now)
		took := time.Duration(slowness(i, now) * (1 + 0.06*float64(running[i])) * float64(200*time.Millisecond))
		running[i]++
		sum += took
		heap.Push(&inFlight, completion{now + took, d, i})
	}
	return sum / requests
}

func BenchmarkChoose(b *testing.B) {
	var views []*ranker.View
	for i := range 45 {
		v := &ranker.View{ID: fmt.Sprint(i), Slots: 12, Local: i%3 == 0}
		for p := range 1000 {
			v.Begin(ranker.Work{Parts: []ranker.Part{{ID: fmt.Sprint(p), Tokens: 100}}}, 0)
			v.End()
		}
		views = append(views, v)
	}
	w := ranker.Work{Parts: []ranker.Part{{ID: "1", Tokens: 100}, {ID: "2", Tokens: 100}, {ID: "3", Tokens: 100}}, Prompt: 300, Output: 200, Model: true}
	b.ReportAllocs()
	for b.Loop() {
		ranker.DefaultCosts.Choose(views, w, 0, startAtZero)
	}
}
