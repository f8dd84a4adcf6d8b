package conductor

import (
	"context"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/sequencer"
)

const (
	renewPeriod  = 4 * time.Second
	renewTimeout = 3 * time.Second
	ticketMargin = time.Second
)

// renewer renews a ticket while its call is in flight.
type renewer struct {
	attempt   *attempt
	mu        sync.Mutex
	renewedAt time.Time
	replica   string
	renewNow  chan struct{}
	done      chan struct{}
}

func newRenewer(a *attempt) *renewer {
	return &renewer{attempt: a, renewedAt: a.beginSentAt, renewNow: make(chan struct{}, 1), done: make(chan struct{})}
}

func (t *renewer) run() error {
	for {
		select {
		case <-time.After(renewPeriod):
		case <-t.renewNow:
		case <-t.done:
			return nil
		case <-t.attempt.conductor.tomb.Dying():
			return nil
		}
		t.renew()
	}
}

func (t *renewer) stop() { close(t.done) }

// setReplica stores the replica that serves the call and triggers a renewal, which reports
// it to the owner.
func (t *renewer) setReplica(replica string) {
	t.mu.Lock()
	t.replica = replica
	t.mu.Unlock()
	select {
	case t.renewNow <- struct{}{}:
	default:
	}
}

// renew renews the ticket. Its lifetime counts from before the request was sent.
func (t *renewer) renew() {
	t.mu.Lock()
	// Target holds the id of the replica (fixed field name).
	q := &sequencer.RenewRequest{Name: t.attempt.call.name(), Attempt: t.attempt.id, Target: t.replica}
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	sent := time.Now()
	r, f := callOwner(ctx, t.attempt.conductor.ownerClient, t.attempt.partition(), sequencer.ServiceName+".Renew", q,
		func(r *sequencer.RenewReply) bool { return r.Moved })
	if f != nil || !r.Alive {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = sent
}

// valid reports whether the ticket still permits a dispatch. It takes the longer of the
// times elapsed on the monotonic and on the wall clock.
func (t *renewer) valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	elapsed := max(time.Since(t.renewedAt), time.Now().Round(0).Sub(t.renewedAt.Round(0)))
	return elapsed < t.attempt.beginReply.Ticket.Lifetime-ticketMargin
}
