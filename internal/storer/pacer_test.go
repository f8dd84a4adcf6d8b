package storer_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/storer"
)

// limitedTable accepts a number of writes a second over all daemons.
type limitedTable struct {
	storer.Table
	perSecond int

	mu                 sync.Mutex
	windowStart        time.Time
	inWindow           int
	attempts, accepted int
}

func (l *limitedTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	l.mu.Lock()
	l.attempts++
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second/10 {
		l.windowStart, l.inWindow = now, 0
	}
	if l.inWindow >= l.perSecond/10 {
		l.mu.Unlock()
		return 0, storer.ErrThrottled
	}
	l.inWindow++
	l.accepted++
	l.mu.Unlock()
	return l.Table.Commit(ctx, tx)
}

// writer makes one write and repeats it until it succeeds or its deadline passes.
type writer struct {
	guard *storer.Guard
	done  *sync.WaitGroup
}

func (w writer) run() {
	defer w.done.Done()
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	var backoff storer.Backoff
	for {
		_, err := w.guard.Commit(ctx, storer.Transaction{Writes: []storer.Write{{Key: "t/p/k"}}})
		if err == nil || !backoff.Wait(ctx) {
			return
		}
	}
}

// TestWritesAboveTheRateAreNotMultiplied replays a burst in which 60 daemons ask for one and
// a half times the writes that the store serves. It guards against repeats that keep the
// store above its rate: at most every second attempt may be in vain, nearly all of the
// rate must be used, and after the burst no write may be delayed for long.
func TestWritesAboveTheRateAreNotMultiplied(t *testing.T) {
	const daemons, rate, seconds = 60, 600, 5
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &limitedTable{Table: emulator.NewStore(), perSecond: rate}
		var guards []*storer.Guard
		for range daemons {
			guards = append(guards, storer.NewGuard(l, nil, guardLimits))
		}
		var wg sync.WaitGroup
		for i := range rate * 3 / 2 * seconds {
			wg.Add(1)
			go writer{guards[i%daemons], &wg}.run()
			time.Sleep(time.Second * 2 / (rate * 3))
		}
		wg.Wait()
		t.Logf("%d attempts, %d accepted", l.attempts, l.accepted)
		is.True(l.attempts <= 2*l.accepted)
		is.True(l.accepted >= rate*seconds*9/10)
		for range 20 { // The writes of a calm time make a daemon forget the burst.
			for _, g := range guards {
				_, err := g.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "t/p/k"}}})
				is.NoErr(err)
				time.Sleep(time.Second / rate * 2) // Half of the rate.
			}
		}
		for _, g := range guards {
			began := time.Now()
			_, err := g.Commit(context.Background(), storer.Transaction{Writes: []storer.Write{{Key: "t/p/k"}}})
			is.NoErr(err)
			is.True(time.Since(began) < 10*time.Millisecond)
			time.Sleep(time.Second / rate * 2)
		}
	})
}
