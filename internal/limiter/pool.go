package limiter

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	renewPeriod = time.Second
	retryPeriod = 100 * time.Millisecond
	idleSlice   = 5 * time.Second
	spareUnits  = 1
)

// Asker asks the owner of an account for a slice.
type Asker interface {
	Ask(ctx context.Context, q AskRequest) (AskReply, error)
}

// held is a slice with the lock of its requests.
type held struct {
	slice Slice
	ask   chan struct{}
}

// Pool holds a daemon's slices.
type Pool struct {
	asker  Asker
	holder string
	mu     sync.Mutex
	slices map[string]*held
	start  time.Time
	tomb   *tomb.Tomb
}

// NewPool returns a pool that asks in the name of a holder.
func NewPool(a Asker, holder string) *Pool {
	return &Pool{asker: a, holder: holder, slices: map[string]*held{}, start: time.Now()}
}

// Start renews slices until the context ends.
func (p *Pool) Start(ctx context.Context) {
	p.tomb, _ = tomb.WithContext(ctx)
	p.tomb.Go(p.run)
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

// renew asks again for every slice that is in use or was lately.
func (p *Pool) renew(ctx context.Context) {
	p.mu.Lock()
	names := make([]string, 0, len(p.slices))
	now := time.Since(p.start)
	for a, h := range p.slices {
		if h.slice.inUse == 0 && now-h.slice.idle > idleSlice {
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

// Take uses one unit of an account's limit, waiting for up to limit. Call Give once afterwards.
func (p *Pool) Take(ctx context.Context, account string, limit time.Duration) *classifier.Fault {
	deadline := time.Now().Add(limit)
	for {
		if p.take(account) {
			return nil
		}
		p.refill(ctx, account, spareUnits)
		if p.take(account) {
			return nil
		}
		if time.Until(deadline) < retryPeriod {
			return classifier.New(classifier.ShareExhausted, classifier.RanNo, "account %q has all its calls in flight", account).After(renewPeriod)
		}
		select {
		case <-time.After(retryPeriod):
		case <-ctx.Done():
			return classifier.New(classifier.ShareExhausted, classifier.RanNo, "the caller left").After(renewPeriod)
		}
	}
}

func (p *Pool) find(account string) *held {
	h := p.slices[account]
	if h == nil {
		h = &held{ask: make(chan struct{}, 1)}
		p.slices[account] = h
	}
	return h
}

func (p *Pool) take(account string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.find(account).slice.Take(time.Since(p.start))
}

// Give returns one unit.
func (p *Pool) Give(account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.find(account).slice.Give(time.Since(p.start))
}

// refill asks the owner for what is in use and some units more.
func (p *Pool) refill(ctx context.Context, account string, extra int) {
	p.mu.Lock()
	h := p.find(account)
	p.mu.Unlock()
	select {
	case h.ask <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-h.ask }()
	p.mu.Lock()
	sent := time.Since(p.start)
	want := h.slice.Wanted(extra)
	h.slice.Offer(want)
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
