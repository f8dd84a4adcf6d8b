package budgeter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/scoper"
)

// TestAnAccountsProgramsDoNotPushOutThoseOfAnother guards against a program whose tokens reserved
// in advance are lost, so that its last turn is refused, because another account has many programs.
func TestAnAccountsProgramsDoNotPushOutThoseOfAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a, b := budgeter.Start(ctx, store, "a"), budgeter.Start(ctx, store, "b")
		defer func() {
			cancel()
			_, _ = a.Wait(), b.Wait()
		}()
		small, large := scoper.Of("small"), scoper.Of("large")
		const programs, more = 100, 9000
		for i := range programs {
			is.NoErr(a.Reserve(ctx, small.ID(fmt.Sprint(i)), 1000, 100)) // Holds 200 tokens.
			a.Finish(small.ID(fmt.Sprint(i)), 100, 100)
		}
		time.Sleep(2 * time.Minute)
		for i := range more {
			is.NoErr(a.Reserve(ctx, large.ID(fmt.Sprint(i)), 1000, 100))
			a.Finish(large.ID(fmt.Sprint(i)), 100, 100)
		}
		time.Sleep(3 * time.Minute)
		for i := range programs {
			id := small.ID(fmt.Sprint(i))
			for range 8 {
				is.NoErr(b.Reserve(ctx, id, 1000, 100))
				b.Finish(id, 100, 100)
			}
			is.NoErr(a.Reserve(ctx, id, 1000, 100)) // The tenth turn.
		}
		remembered := 0
		for i := range more {
			changed, err := a.ReturnUnused(ctx, large.ID(fmt.Sprint(i)))
			is.NoErr(err)
			if changed {
				remembered++
			}
		}
		is.Equal(remembered, 8192-programs)
	})
}
