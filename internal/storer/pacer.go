package storer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// minPace is the interval between two writes after the first throttled one, and maxPace
	// the longest interval.
	minPace = 8 * time.Millisecond
	maxPace = 100 * time.Millisecond
	// paceDecay multiplies the interval after a write that was accepted. Below minPace/8
	// writes are not delayed.
	paceDecay = 0.85
	// paceCut is the minimum time between two increases of the interval, so that writes
	// throttled together count once.
	paceCut = 50 * time.Millisecond
)

// pacer spaces the writes of a daemon while the store accepts fewer than are asked for. Each
// throttled write would otherwise be repeated at once, and the repeats of many daemons
// keep the store above its rate for as long as clients ask. The interval doubles when a
// write is throttled and falls with accepted ones.
type pacer struct {
	mu       sync.Mutex
	interval time.Duration
	next     time.Time
	cutAt    time.Time
}

// wait waits for the next turn to write. It returns an error at once if that comes after
// the context's deadline.
func (p *pacer) wait(ctx context.Context) error {
	p.mu.Lock()
	now := time.Now()
	if p.interval == 0 {
		p.mu.Unlock()
		return nil
	}
	at := p.next
	if at.Before(now) {
		at = now
	}
	if deadline, ok := ctx.Deadline(); ok && at.After(deadline) {
		interval := p.interval
		p.mu.Unlock()
		return errors.Wrapf(ErrThrottled, "writes are paced at %v, the next is due after the deadline", interval)
	}
	p.next = at.Add(p.interval)
	p.mu.Unlock()
	select {
	case <-time.After(at.Sub(now)):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ErrThrottled, "the deadline passed before the write was due")
	}
}

// record adapts the interval to the result of a write.
func (p *pacer) record(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, ErrThrottled):
		if now := time.Now(); now.Sub(p.cutAt) >= paceCut {
			p.cutAt = now
			p.interval = min(max(2*p.interval, minPace), maxPace)
		}
	case err == nil || errors.Is(err, ErrConflict):
		p.interval = time.Duration(paceDecay * float64(p.interval))
		if p.interval < minPace/8 {
			p.interval = 0
		}
	}
}
