package storer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// pacer delays the writes of a daemon by its pace. A throttled write would otherwise be
// repeated soon, and the repeats of many daemons keep the store above its rate for as long
// as clients ask.
type pacer struct {
	mu   sync.Mutex
	pace pace
}

// wait waits until the next write may be sent. It returns an error at once if that is after
// the context's deadline.
func (p *pacer) wait(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	now := time.Now()
	p.mu.Lock()
	at, ok := p.pace.reserve(now, deadline)
	p.mu.Unlock()
	if !ok {
		return errors.Wrapf(ErrThrottled, "the next paced write is due in %v, %v after the deadline", at.Sub(now), at.Sub(deadline))
	}
	if !at.After(now) {
		return nil
	}
	select {
	case <-time.After(at.Sub(now)):
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ErrThrottled, "the context ended before the paced write was due: %v", ctx.Err())
	}
}

// record adapts the pace to the result of a write.
func (p *pacer) record(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case errors.Is(err, ErrThrottled):
		p.pace.throttled(time.Now())
	case err == nil || errors.Is(err, ErrConflict):
		p.pace.accepted()
	}
}
