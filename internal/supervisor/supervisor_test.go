package supervisor_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/supervisor"
)

// duty panics or fails in its first runs, and then waits for its tomb.
type duty struct {
	tomb *tomb.Tomb
	// panics and failures are the numbers of runs that panic, and that fail after them.
	panics, failures int
	runs             atomic.Int64
}

func (d *duty) run() error {
	runs := int(d.runs.Add(1))
	switch {
	case runs <= d.panics:
		var m map[string]int
		m["row"] = runs
	case runs <= d.panics+d.failures:
		return errors.New("connection failed")
	}
	<-d.tomb.Dying()
	return nil
}

// A panic in a loop ended the process, and an error the tomb and all its loops.
func TestLoopThatPanicsOrFailsRunsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		panics, restarts := supervisor.Panics(), supervisor.Restarts()
		x, _ := tomb.WithContext(ctx)
		d := &duty{tomb: x, panics: 2, failures: 2}
		x.Go(supervisor.Loop(x, "test", d.run))
		time.Sleep(5 * time.Second)
		is.True(x.Alive())
		is.Equal(d.runs.Load(), int64(5))
		is.Equal(supervisor.Panics()-panics, int64(2))
		is.Equal(supervisor.Restarts()-restarts, int64(4))
		cancel()
		is.Equal(x.Wait(), context.Canceled)
	})
}

// A loop that fails at each start must not use a whole core.
func TestLoopThatFailsAlwaysIsStartedWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		x, _ := tomb.WithContext(ctx)
		d := &duty{tomb: x, panics: 1 << 30}
		x.Go(supervisor.Loop(x, "test", d.run))
		time.Sleep(time.Minute)
		runs := d.runs.Load()
		is.True(runs >= 10 && runs <= 40)
		cancel()
		_ = x.Wait()
	})
}

// A loop that ends as intended must not be started again.
func TestLoopThatEndsIsNotStartedAgain(t *testing.T) {
	is := is.New(t)
	runs := 0
	var x tomb.Tomb
	x.Go(supervisor.Loop(&x, "test", func() error { runs++; return nil }))
	is.NoErr(x.Wait())
	is.Equal(runs, 1)
}

// A thousand panics in a second must not fill the log.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var list []supervisor.Failure
		o := supervisor.Observe(func(f supervisor.Failure) { list = append(list, f) })
		defer o.Close()
		fail := func() { _ = supervisor.Do("decoder", func() error { panic("odd row") }) }
		time.Sleep(time.Hour) // Each bubble begins at the same time, and the last report of another test came within a minute.
		for range 1000 {
			fail()
		}
		is.Equal(len(list), 5)
		is.Equal(list[0].Name(), "decoder")
		is.Equal(list[0].Err().Error(), "panic: odd row")
		is.True(strings.HasPrefix(list[0].Stack(), "pimentorail.example/pimentorail/internal/supervisor_test.TestReportsAreBounded"))
		time.Sleep(time.Second)
		fail()
		is.Equal(list[5].Unreported(), 995)
	})
}

// The cause of a panic was lost to the caller that waits for the result.
func TestDoReturnsThePanicOrTheError(t *testing.T) {
	is := is.New(t)
	cause := errors.New("cause")
	is.True(errors.Is(supervisor.Do("test", func() error { panic(cause) }), cause))
	is.Equal(supervisor.Do("test", func() error { return cause }), cause)
	is.NoErr(supervisor.Do("test", func() error { return nil }))
}

// An observer that panics ended the process that it is to protect.
func TestObserverThatPanicsIsIsolated(t *testing.T) {
	is := is.New(t)
	o := supervisor.Observe(func(supervisor.Failure) { panic("no output") })
	defer o.Close()
	is.True(supervisor.Do("test", func() error { panic("odd row") }) != nil)
}

func BenchmarkDo(b *testing.B) {
	f := func() error { return nil }
	b.Run("direct", func(b *testing.B) {
		for b.Loop() {
			_ = f()
		}
	})
	b.Run("supervised", func(b *testing.B) {
		for b.Loop() {
			_ = supervisor.Do("test", f)
		}
	})
}
