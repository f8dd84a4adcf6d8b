package follower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/follower"
	"pimentorail.example/pimentorail/internal/storer"
)

// panickySink panics at its next calls before it applies anything.
type panickySink struct {
	recordingSink
	panics atomic.Int64
}

func (p *panickySink) fail() {
	if p.panics.Add(-1) >= 0 {
		panic("odd row")
	}
}

func (p *panickySink) Replace(rows []storer.Row, version uint64) {
	p.fail()
	p.recordingSink.Replace(rows, version)
}

func (p *panickySink) Update(changes []storer.Change, version uint64) {
	p.fail()
	p.recordingSink.Update(changes, version)
}

// A sink that panicked ended the process. If it didn't, the changes at which it panicked would
// be missing from then on.
func TestTableIsListedAgainAfterAPanicOfTheSink(t *testing.T) {
	for _, panics := range []int64{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f, s := &feed{rows: map[string]string{}}, &panickySink{}
			s.panics.Store(panics)
			f.put("a", "1")
			ctx, cancel := context.WithCancel(context.Background())
			x := follower.Start(ctx, f, s, follower.Options{Table: "t", PollInterval: 100 * time.Millisecond, Timeout: time.Second})
			time.Sleep(10 * time.Second)
			is.True(s.panics.Load() < 0)
			s.panics.Store(panics)
			f.put("b", "1")
			f.remove("a")
			time.Sleep(10 * time.Second)
			cancel()
			_ = x.Wait()
			is.Equal(fmt.Sprint(s.rows), fmt.Sprint(f.rows))
			is.True(s.panics.Load() < 0)
		})
	}
}
