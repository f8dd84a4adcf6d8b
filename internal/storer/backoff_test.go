package storer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/storer"
)

func TestBackoffDoublesToMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b storer.Backoff
		backoff := 30 * time.Millisecond
		for range 10 {
			start := time.Now()
			is.True(b.Wait(context.Background()))
			elapsed := time.Since(start)
			is.True(elapsed >= backoff/2 && elapsed < backoff+backoff/2)
			backoff = min(2*backoff, 400*time.Millisecond)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.True(!b.Wait(ctx))
	})
}
