package scheduler_test

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/scheduler"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestAccountsShareByWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(rt, "weights")
		q := scheduler.NewQueue(scheduler.FairLeastAttained)
		costs := rapid.SliceOfN(rapid.IntRange(1, 50), len(weights), len(weights)).Draw(rt, "costs")
		next := 0
		push := func(a int) {
			next++
			q.Push(scheduler.Item{ID: fmt.Sprint(next), Account: fmt.Sprint(a), Weight: weights[a], Cost: float64(costs[a])})
		}
		sum := 0
		for a, w := range weights {
			sum += w
			push(a)
			push(a)
		}
		served, total := make([]float64, len(weights)), 0.0
		for total < 20_000 {
			it, ok := q.Pop(0)
			if !ok {
				rt.Fatal("Pop returned no call although calls are waiting")
			}
			var a int
			_, _ = fmt.Sscan(it.Account, &a)
			served[a] += it.Cost
			total += it.Cost
			push(a)
		}
		for a, w := range weights {
			want := total * float64(w) / float64(sum)
			if math.Abs(served[a]-want) > 0.1*want+100 {
				rt.Fatalf("account %d with weight %d received %.0f of %.0f tokens, want about %.0f", a, w, served[a], total, want)
			}
		}
	})
}

// starvationBound is the longest time that a call on the lowest of six levels may wait
// behind new calls of its account, with ten seconds of ageing for each level.
const starvationBound = time.Minute

func TestNoProgramStarves(t *testing.T) {
	is := is.New(t)
	q := scheduler.NewQueue(scheduler.FairLeastAttained)
	q.Push(scheduler.Item{ID: "long", Account: "a", Weight: 1, Attained: 10_000_000, Cost: 10})
	now := time.Duration(0)
	for i := range 10_000 {
		q.Push(scheduler.Item{ID: fmt.Sprint(i), Account: "a", Weight: 1, Cost: 10, Arrived: now})
		it, _ := q.Pop(now)
		if it.ID == "long" {
			is.True(now <= starvationBound)
			return
		}
		now += 10 * time.Millisecond
	}
	t.Fatal("the long program was never popped")
}

func TestRunningProgramsGoBeforeNewOnes(t *testing.T) {
	is := is.New(t)
	q := scheduler.NewQueue(scheduler.FairLeastAttained)
	q.Push(scheduler.Item{ID: "new", Account: "a", New: true})
	q.Push(scheduler.Item{ID: "begun", Account: "a", Attained: 1000, Arrived: 5 * time.Second})
	it, _ := q.Pop(5 * time.Second)
	is.Equal(it.ID, "begun")
	q.Push(scheduler.Item{ID: "later", Account: "a", Attained: 1000, Arrived: 12 * time.Second})
	it, _ = q.Pop(12 * time.Second)
	is.Equal(it.ID, "new") // Ageing moved the new program ahead.
}

func TestLeastAttainedGoesFirst(t *testing.T) {
	is := is.New(t)
	q := scheduler.NewQueue(scheduler.FairLeastAttained)
	q.Push(scheduler.Item{ID: "served", Account: "a", Attained: 100_000})
	q.Push(scheduler.Item{ID: "new", Account: "a"})
	it, _ := q.Pop(0)
	is.Equal(it.ID, "new")
	arrival := scheduler.NewQueue(scheduler.Arrival)
	arrival.Push(scheduler.Item{ID: "served", Account: "a", Attained: 100_000})
	arrival.Push(scheduler.Item{ID: "new", Account: "b"})
	it, _ = arrival.Pop(0)
	is.Equal(it.ID, "served")
}

// TestQueueAgainstOracle compares pushes, pops and removals with a reference model, a set
// of the waiting calls.
func TestQueueAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		order := rapid.SampledFrom([]scheduler.Order{scheduler.FairLeastAttained, scheduler.FairArrival, scheduler.Arrival}).Draw(rt, "order")
		q := scheduler.NewQueue(order)
		waiting := map[string]bool{}
		now := time.Duration(0)
		n := 0
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				n++
				it := scheduler.Item{
					ID: fmt.Sprint(n), Account: rapid.StringMatching(`[a-d]`).Draw(rt, "account"), Weight: rapid.IntRange(0, 3).Draw(rt, "weight"),
					Attained: rapid.IntRange(0, 1_000_000).Draw(rt, "attained"), Cost: rapid.Float64Range(-1, 1000).Draw(rt, "cost"), Arrived: now,
				}
				q.Push(it)
				q.Push(it)
				waiting[it.ID] = true
			},
			"pop": func(rt *rapid.T) {
				it, ok := q.Pop(now)
				if ok != (len(waiting) > 0) || (ok && !waiting[it.ID]) {
					rt.Fatalf("Pop returned %v, %v with %d calls waiting", it, ok, len(waiting))
				}
				delete(waiting, it.ID)
			},
			"remove": func(rt *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, n+1).Draw(rt, "id"))
				if q.Remove(id) != waiting[id] {
					rt.Fatalf("Remove(%s) differs from the reference model", id)
				}
				delete(waiting, id)
			},
			"wait": func(*rapid.T) { now += time.Second },
			"": func(rt *rapid.T) {
				if q.Len() != len(waiting) || q.Queued() < 0 {
					rt.Fatalf("%d calls wait, want %d; %f tokens queued", q.Len(), len(waiting), q.Queued())
				}
				if q.Ahead("a", 1) > q.Queued()+1e-6 {
					rt.Fatalf("%f tokens ahead of a new call, more than the %f queued", q.Ahead("a", 1), q.Queued())
				}
			},
		})
	})
}

func TestWindowStaysOpenOnOrdinaryDelays(t *testing.T) {
	is := is.New(t)
	w := scheduler.NewWindow(8, 16)
	for i := range 2000 {
		w.Observe(time.Duration(1+i%8)*time.Millisecond, 2*time.Millisecond, true)
	}
	is.Equal(w.Size(), 16)
	for range 200 {
		w.Observe(500*time.Millisecond, 2*time.Millisecond, true)
	}
	is.True(w.Size() < 8) // Calls wait inside the replica, so the window shrinks.
	for range 5000 {
		w.Observe(3*time.Millisecond, 2*time.Millisecond, true)
	}
	is.True(w.Size() >= 8) // The delay is short again, so the window grows.
}

func BenchmarkDecision(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			q := scheduler.NewQueue(scheduler.FairLeastAttained)
			ids := make([]string, waiting+1)
			names := make([]string, 400)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			item := func(i int) scheduler.Item {
				return scheduler.Item{ID: ids[i%len(ids)], Account: names[i%400], Weight: 1 + i%4, Attained: i * 37 % 1_000_000, Cost: 64}
			}
			for i := range ids {
				ids[i] = fmt.Sprint(i)
			}
			for i := range waiting {
				q.Push(item(i))
			}
			b.ReportAllocs()
			free := waiting
			for i := 0; b.Loop(); i++ {
				q.Push(item(free))
				it, _ := q.Pop(time.Duration(i))
				_, _ = fmt.Sscan(it.ID, &free)
			}
		})
	}
}

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}
