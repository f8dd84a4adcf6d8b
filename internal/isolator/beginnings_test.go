package isolator_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/isolator"
)

// TestACommonBeginningRefusesNoOtherRequest guards against turns that are refused because
// three turns of other programs, which begin with the same prompt, crashed a replica each. The
// sound turns were served minutes ago, at one daemon only.
func TestACommonBeginningRefusesNoOtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		daemons := []*isolator.Isolator{d.start(), d.start(), d.start()}
		prompt := strings.Repeat("the same prompt ", 20)
		turn := func(name string) isolator.Mark { return isolator.NewMark([]byte(prompt+name), "/path") }
		for n := range 20 {
			daemons[0].Served(turn(fmt.Sprint("sound turn ", n)), time.Now())
		}
		time.Sleep(2 * time.Minute)
		for n, i := range daemons {
			i.BrokeOff("engine", fmt.Sprint("r", n), "r", turn(fmt.Sprint("crashing turn ", n)))
			time.Sleep(time.Second)
		}
		time.Sleep(knownWithin)
		for _, i := range daemons {
			is.Equal(i.Check(turn("another sound turn")), isolator.Verdict{})
		}
	})
}

// conversation is a request whose client sends the whole conversation each time, as JSON.
type conversation struct {
	prompt, said string
}

// mark returns the mark of the request; the end of its body does not belong to its beginning.
func (c *conversation) mark() isolator.Mark {
	return isolator.NewMark([]byte(`{"messages":["`+c.prompt+`","`+c.said+`"],"stream":true}`), "account", "/path")
}

// send lets a request through a daemon and reports whether it reaches a replica.
func send(i *isolator.Isolator, m isolator.Mark) bool {
	v := i.Check(m)
	return !v.Condemned && (!v.Held || v.RetryAfter == 0) && i.Try(context.Background(), m)
}

// TestAGrowingRequestIsStopped guards against a crashing request that reaches replicas without
// end because its client sends it with more content each time. The prompt before it is served
// at all daemons all the while. A retry is late if it is sent more than 3 s after the third crash.
func TestAGrowingRequestIsStopped(t *testing.T) {
	for _, row := range []struct{ prompt, step int }{{0, 30}, {0, 300}, {309, 30}, {309, 2000}, {50_000, 100}, {50_000, 700}} {
		t.Run(fmt.Sprint(row.prompt, "+", row.step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDeployment()
				defer d.stop()
				daemons := []*isolator.Isolator{d.start(), d.start(), d.start()}
				prompt := strings.Repeat("all frameworks' prompt. ", row.prompt/24)
				growing := conversation{prompt, "a question that ends the replica that begins to answer it, and then more: "}
				crashes, late := 0, 0
				var third time.Time
				for n := range 180 {
					sound := (&conversation{prompt, fmt.Sprint("another question ", n)}).mark()
					is.Equal(daemons[n%3].Check(sound).Condemned, false)
					if send(daemons[n%3], sound) {
						daemons[n%3].Served(sound, time.Now())
					} else {
						is.True(row.prompt == 0) // Nothing else was served with the beginning.
					}
					crashing := growing.mark()
					if i := daemons[(n+1)%3]; send(i, crashing) {
						if crashes++; crashes == 3 {
							third = time.Now()
						}
						if crashes > 3 && time.Since(third) > 3*time.Second {
							late++
						}
						i.BrokeOff("engine", fmt.Sprint("r", n), "r", crashing)
					}
					growing.said += strings.Repeat("x", row.step)
					time.Sleep(500 * time.Millisecond)
				}
				t.Logf("%d crashes, %d late", crashes, late)
				is.True(late <= 3)
				is.True(crashes <= 8)
			})
		})
	}
}

// TestABeginningCondemnedInErrorIsCleared guards against sound requests that are refused for
// good, or each tried at a replica, because crashing requests begin in the same way and none
// with that beginning was served before: one is tried alone, and its success clears all.
func TestABeginningCondemnedInErrorIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		var daemons []*isolator.Isolator
		for range 5 {
			daemons = append(daemons, d.start())
		}
		prompt := strings.Repeat("the same prompt ", 20)
		for n, i := range daemons[:3] {
			c := conversation{prompt, fmt.Sprint("crashing ", n)}
			i.BrokeOff("engine", fmt.Sprint("r", n), "r", c.mark())
			time.Sleep(time.Second)
		}
		begun := time.Now()
		time.Sleep(knownWithin)
		for _, i := range daemons {
			v := i.Check((&conversation{prompt, "sound"}).mark())
			is.True(v.Held && !v.Condemned && v.Crashes == 3 && v.RetryAfter > 0 && v.RetryAfter < 5*time.Second)
		}
		var tried []int
		for len(tried) == 0 {
			for n, i := range daemons {
				if send(i, (&conversation{prompt, fmt.Sprint("sound ", n)}).mark()) {
					tried = append(tried, n)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(len(tried), 1)
		is.True(time.Since(begun) < 6*time.Second)
		daemons[tried[0]].Served((&conversation{prompt, fmt.Sprint("sound ", tried[0])}).mark(), time.Now())
		time.Sleep(knownWithin)
		for _, i := range append(daemons, d.start()) {
			is.Equal(i.Check((&conversation{prompt, "sound"}).mark()), isolator.Verdict{})
		}
	})
}

// TestOneRequestIsTriedByAllDaemons guards against trials of a condemned beginning that each
// daemon makes for itself, and against ones that are not made because the reply of the store
// was lost. Each request that is tried crashes its replica.
func TestOneRequestIsTriedByAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		d.store.SetFaults(emulator.StoreFaults{LoseEvery: 3, DelayMS: 20})
		var daemons []*isolator.Isolator
		for range 8 {
			daemons = append(daemons, d.start())
		}
		prompt := strings.Repeat("the same prompt ", 20)
		crash := func(i *isolator.Isolator, n int) {
			i.BrokeOff("engine", fmt.Sprint("r", n), "r", (&conversation{prompt, fmt.Sprint("crashing ", n)}).mark())
		}
		for n := range 3 {
			crash(daemons[n], n)
			time.Sleep(time.Second)
		}
		var tried []time.Duration
		begun := time.Now()
		for n := 3; time.Since(begun) < 8*time.Minute; n++ {
			group := sync.WaitGroup{}
			var mu sync.Mutex
			for k, i := range daemons {
				group.Go(func() {
					if send(i, (&conversation{prompt, fmt.Sprint("crashing ", n*8+k)}).mark()) {
						mu.Lock()
						tried = append(tried, time.Since(begun))
						mu.Unlock()
						crash(i, n*8+k)
					}
				})
			}
			group.Wait()
			time.Sleep(200 * time.Millisecond)
		}
		t.Log(tried)
		is.True(len(tried) >= 2 && len(tried) <= 3)
	})
}

// TestServedRequestsCostWritesOnlyAfterCrashes guards against writes on a day without crashes,
// and against an unbounded number of them after crashes.
func TestServedRequestsCostWritesOnlyAfterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDeployment()
		defer d.stop()
		var daemons []*isolator.Isolator
		for range 20 {
			daemons = append(daemons, d.start())
		}
		prompt := strings.Repeat("the same prompt ", 20)
		serve := func() {
			for n := range 200 {
				daemons[n%20].Served((&conversation{prompt, fmt.Sprint("sound ", n)}).mark(), time.Now())
				time.Sleep(10 * time.Millisecond)
			}
		}
		serve()
		is.Equal(d.store.Counts().Commits, 0)
		for n := range 4 {
			daemons[n].BrokeOff("engine", fmt.Sprint("r", n), "r", (&conversation{prompt, fmt.Sprint("crashing ", n)}).mark())
			serve()
		}
		commits := d.store.Counts().Commits
		t.Log(commits, "commits")
		is.True(commits <= 4+20)
		serve()
		is.Equal(d.store.Counts().Commits, commits)
	})
}
