package conductor

import (
	"context"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/sequencer"
)

const (
	renewEvery   = 4 * time.Second
	renewTimeout = 3 * time.Second
	ticketMargin = time.Second
)

// keeper renews a ticket while its call is under way.
type keeper struct {
	work   *work
	mu     sync.Mutex
	sent   time.Time
	target string
	kick   chan struct{}
	done   chan struct{}
}

func newKeeper(w *work) *keeper {
	return &keeper{work: w, sent: w.begunAt, kick: make(chan struct{}, 1), done: make(chan struct{})}
}

func (k *keeper) run() error {
	for {
		select {
		case <-time.After(renewEvery):
		case <-k.kick:
		case <-k.done:
			return nil
		case <-k.work.conductor.tomb.Dying():
			return nil
		}
		k.renew()
	}
}

func (k *keeper) stop() { close(k.done) }

// serve notes the replica that serves the call, and tells the owner soon.
func (k *keeper) serve(replica string) {
	k.mu.Lock()
	k.target = replica
	k.mu.Unlock()
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

func (k *keeper) renew() {
	k.mu.Lock()
	q := &sequencer.RenewRequest{Name: k.work.call.name(), Attempt: k.work.attempt, Target: k.target}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	sent := time.Now()
	r, f := ask(ctx, k.work.conductor.owners, k.work.partition(), sequencer.ServiceName+".Renew", q,
		func(r *sequencer.RenewReply) bool { return r.Moved })
	if f != nil || !r.Alive {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent = sent
}

// valid reports whether the ticket still allows a dispatch; both clocks must agree.
func (k *keeper) valid() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	elapsed := max(time.Since(k.sent), time.Now().Round(0).Sub(k.sent.Round(0)))
	return elapsed < k.work.begun.Ticket.Lifetime-ticketMargin
}
