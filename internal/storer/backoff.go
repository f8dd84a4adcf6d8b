package storer

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// firstPause and maxPause bound the pauses between two tries of one write.
	firstPause = 30 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Backoff spaces the tries of one write; its zero value starts with the least pause.
type Backoff struct {
	pause time.Duration
}

// Wait waits before the next try, each time about twice as long and never in step
// with others; it returns false once the context has ended.
func (b *Backoff) Wait(ctx context.Context) bool {
	b.pause = max(b.pause, firstPause)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(b.pause/2 + rand.N(b.pause)):
	}
	b.pause = min(2*b.pause, maxPause)
	return true
}
