package isolator_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestSoundRequestsAreServedAndCrashingOnesStop draws deployments in which programs share long
// beginnings, replicas run many requests at once, and some requests crash the replicas that
// run them, with the same body again or with more content each time. It guards against sound
// requests that are refused for good, and against crashing ones that go on: each crashing
// request reaches replicas in at most three late retries.
func TestSoundRequestsAreServedAndCrashingOnesStop(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		daemons := rapid.IntRange(1, 5).Draw(rt, "daemons")
		replicas := rapid.IntRange(8, 20).Draw(rt, "replicas")
		prompt := strings.Repeat("shared prompt. ", rapid.IntRange(0, 80).Draw(rt, "prompt"))
		sound := rapid.IntRange(5, 20).Draw(rt, "sound")
		lasts := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "lasts")) * time.Millisecond
		steps := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 20, 100, 700}), 1, 5).Draw(rt, "crashing")
		var failures []string
		synctest.Test(t, func(*testing.T) {
			w := newWorld(seed, daemons, replicas)
			defer w.stop()
			w.addSound(sound, prompt, lasts, false)
			w.runFor(5 * time.Second)
			var crashing []*client
			for _, step := range steps {
				crashing = append(crashing, w.addCrashing(prompt, strings.Repeat("x", step), 0))
			}
			w.runFor(75 * time.Second)
			for n, c := range crashing {
				if c.late > 3 || c.crashes > 12 {
					failures = append(failures, fmt.Sprintf("crashing client %d that adds %d bytes reached %d replicas, %d of them late", n, steps[n], c.crashes, c.late))
				}
			}
			if w.condemned > 0 || w.slowest > 30*time.Second {
				failures = append(failures, fmt.Sprintf("sound requests were refused %d times and held %d times, the slowest took %v", w.condemned, w.held, w.slowest))
			}
			for _, c := range w.clients {
				if !c.crashing && !c.begun.IsZero() && time.Since(c.begun) > 30*time.Second {
					failures = append(failures, fmt.Sprintf("%s sends a sound request for %v", c.name, time.Since(c.begun)))
				}
			}
		})
		if len(failures) > 0 {
			rt.Fatal(strings.Join(failures, "; "))
		}
	})
}

// TestOutagesCondemnNoRequest guards against sound requests that are refused because outages of
// 4 to 14 replicas repeat every few seconds: many clients send the same bodies again and again,
// and others send requests that take longer than outages are apart.
func TestOutagesCondemnNoRequest(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(seed, 4, 20)
				defer w.stop()
				w.addSound(60, "prompt", time.Second, false)
				w.addSound(30, "prompt of a popular request", 2*time.Second, true)
				w.addSound(20+40*int(seed%2), "prompt of a long request", 8*time.Second, seed%4 < 2)
				w.runFor(5 * time.Second)
				for range 15 {
					for range 4 + w.rand.IntN(11) {
						w.end(w.rand.IntN(len(w.replicas)))
					}
					w.runFor(time.Duration(2+w.rand.IntN(3)) * time.Second)
				}
				t.Log(w.served, "served,", w.held, "held")
				is.Equal(w.condemned, 0)
			})
		})
	}
}

// TestCrashingRequestsOfOneMomentAmongOthers guards against four crashing requests that come
// together and are taken for an outage, while sound requests run beside them.
func TestCrashingRequestsOfOneMomentAmongOthers(t *testing.T) {
	for seed := range uint64(2) {
		for _, every := range []time.Duration{time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint(seed, every), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := newWorld(seed, 3, 20)
					defer w.stop()
					w.addSound(60, "prompt", time.Second, false)
					w.runFor(5 * time.Second)
					var crashing []*client
					for n := range 4 {
						crashing = append(crashing, w.addCrashing("prompt", strings.Repeat("x", n%2*100), every))
					}
					w.runFor(90 * time.Second)
					for _, c := range crashing {
						t.Log(c.crashes, "crashes,", c.late, "late")
						is.True(c.late <= 3)
					}
					is.Equal(w.condemned, 0)
					is.True(w.slowest < 30*time.Second)
				})
			})
		}
	}
}
