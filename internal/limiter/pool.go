package limiter

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/supervisor"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	renewPeriod = time.Second
	retryPeriod = 100 * time.Millisecond
	idleTimeout = 5 * time.Second
	spareUnits  = 1
)

// Asker asks the owner of an account for a slice.
type Asker interface {
	Ask(ctx context.Context, q AskRequest) (AskReply, error)
}

// heldSlice is a slice with a lock that admits one request to the owner at a time.
type heldSlice struct {
	slice       Slice
	requestLock chan struct{}
}

// Pool holds the slices of a daemon, one for each account with recent calls.
type Pool struct {
	asker  Asker
	holder string
	mu     sync.Mutex
	slices map[string]*heldSlice
	start  time.Time
	tomb   *tomb.Tomb
}

// NewPool returns a pool that requests slices for the given holder.
func NewPool(a Asker, holder string) *Pool {
	return &Pool{asker: a, holder: holder, slices: map[string]*heldSlice{}, start: time.Now()}
}

// Start renews slices until the context ends.
func (p *Pool) Start(ctx context.Context) {
	p.tomb, _ = tomb.WithContext(ctx)
	p.tomb.Go(supervisor.Loop(p.tomb, "limiter: slices", p.run))
}

// Wait returns when the pool has stopped.
func (p *Pool) Wait() error { return p.tomb.Wait() }

func (p *Pool) run() error {
	ctx := p.tomb.Context(context.Background())
	for {
		select {
		case <-time.After(renewPeriod):
			p.renew(ctx)
		case <-p.tomb.Dying():
			return nil
		}
	}
}

// renew renews every slice that is in use or was used recently, and drops the others.
func (p *Pool) renew(ctx context.Context) {
	p.mu.Lock()
	names := make([]string, 0, len(p.slices))
	now := time.Since(p.start)
	for a, h := range p.slices {
		if h.slice.inUse == 0 && now-h.slice.lastUsed > idleTimeout {
			delete(p.slices, a)
			continue
		}
		names = append(names, a)
	}
	p.mu.Unlock()
	for _, a := range names {
		p.refill(ctx, a, spareUnits)
	}
}

// Acquire acquires one unit of an account's limit and waits for it up to maxWait. After a
// success, the caller must call Release once.
func (p *Pool) Acquire(ctx context.Context, account string, maxWait time.Duration) *classifier.Fault {
	deadline := time.Now().Add(maxWait)
	for {
		if p.tryAcquire(account) {
			return nil
		}
		p.refill(ctx, account, spareUnits)
		if p.tryAcquire(account) {
			return nil
		}
		if time.Until(deadline) < retryPeriod {
			return classifier.New(classifier.ShareExhausted, classifier.RanNo, "no unit of the in-flight limit of account %q was granted in time", account).After(renewPeriod)
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return classifier.New(classifier.ShareExhausted, classifier.RanNo, "the request was canceled while it waited for a unit of its account's limit").After(renewPeriod)
		}
	}
}

// getOrCreate returns the slice of an account. The caller holds p.mu.
func (p *Pool) getOrCreate(account string) *heldSlice {
	h := p.slices[account]
	if h == nil {
		h = &heldSlice{requestLock: make(chan struct{}, 1)}
		p.slices[account] = h
	}
	return h
}

func (p *Pool) tryAcquire(account string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.getOrCreate(account).slice.Acquire(time.Since(p.start))
}

// Release returns one unit of an account's limit.
func (p *Pool) Release(account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrCreate(account).slice.Release(time.Since(p.start))
}

// refill asks the owner for the units in use and extra ones. On an error, the slice stays
// reduced to what was asked for.
func (p *Pool) refill(ctx context.Context, account string, extra int) {
	p.mu.Lock()
	h := p.getOrCreate(account)
	p.mu.Unlock()
	select {
	case h.requestLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.requestLock }()
	p.mu.Lock()
	sent := time.Since(p.start)
	want := h.slice.Wanted(extra)
	h.slice.ReduceTo(want)
	q := AskRequest{Account: account, Holder: p.holder, Want: want, Held: h.slice.Amount(sent)}
	p.mu.Unlock()
	r, err := p.asker.Ask(ctx, q)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h.slice.Set(r.Amount, sent)
}
