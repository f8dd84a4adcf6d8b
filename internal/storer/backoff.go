package storer

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the backoff between two attempts of one write,
	// before jitter.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Backoff delays the retries of one write; its zero value starts with the minimum delay.
type Backoff struct {
	delay time.Duration
}

// Wait waits before the next attempt. Each delay is about twice the previous one, with
// jitter so that clients do not retry in step. It returns false once the context has ended.
func (b *Backoff) Wait(ctx context.Context) bool {
	b.delay = max(b.delay, minBackoff)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.delay/2 + rand.N(b.delay)):
	}
	b.delay = min(2*b.delay, maxBackoff)
	return true
}
