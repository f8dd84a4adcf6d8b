package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/storer"
)

func TestPausesGrowToTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b storer.Backoff
		pause := 30 * time.Millisecond
		for range 10 {
			began := time.Now()
			is.True(b.Wait(context.Background()))
			took := time.Since(began)
			is.True(took >= pause/2 && took < pause+pause/2)
			pause = min(2*pause, 400*time.Millisecond)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(!b.Wait(ctx))
	})
}
