package acceptor

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// openPeriod is the time between two attempts to listen at an address.
const openPeriod = 100 * time.Millisecond

// ListenFunc listens at an address, host:port.
type ListenFunc func(ctx context.Context, address string) (net.Listener, error)

// Acceptor opens the listeners of a daemon.
type Acceptor struct {
	listen   ListenFunc
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	waiting  atomic.Int64
	failures atomic.Int64
}

// New returns an Acceptor whose waits end with the context.
func New(ctx context.Context, listen ListenFunc, o Observer) *Acceptor {
	a := &Acceptor{listen: listen, observer: o}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// Open listens at an address for a purpose, such as "clients". It waits while the error is a
// passing one, and returns context.Canceled if Stop is called or a context ends meanwhile.
func (a *Acceptor) Open(ctx context.Context, purpose, address string) (*Listener, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.ctx, cancel)()
	began, reports := time.Now(), pacer{}
	waits := false
	for {
		if a.ctx.Err() != nil || ctx.Err() != nil {
			return nil, context.Canceled
		}
		l, err := a.listen(ctx, address)
		if err == nil {
			if waits {
				a.observer.Opened(purpose, address, time.Since(began))
			}
			return &Listener{Listener: l, purpose: purpose, observer: a.observer, failures: &a.failures, done: make(chan struct{})}, nil
		}
		if !IsPassing(err) {
			return nil, err
		}
		if !waits {
			waits = true
			a.waiting.Add(1)
			defer a.waiting.Add(-1)
		}
		if now := time.Now(); reports.due(now) {
			a.observer.Waiting(purpose, address, now.Sub(began), err)
		}
		select {
		case <-time.After(openPeriod):
		case <-ctx.Done():
		}
	}
}

// Stop ends all waits of Open, now and later. Listeners stay open.
func (a *Acceptor) Stop() { a.cancel() }

// Waiting returns the number of listeners that wait for their address.
func (a *Acceptor) Waiting() int { return int(a.waiting.Load()) }

// Failures returns the number of accept calls that failed.
func (a *Acceptor) Failures() int64 { return a.failures.Load() }

// pacer bounds the rate of reports. The zero value reports at once.
type pacer struct{ reportedAt time.Time }

// due reports whether a report is due now, and counts on it being made.
func (p *pacer) due(now time.Time) bool {
	if !p.reportedAt.IsZero() && now.Sub(p.reportedAt) < reportPeriod {
		return false
	}
	p.reportedAt = now
	return true
}
