package sequencer

import (
	"context"
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// sweep settles calls with expired tickets and evicts idle trees. It skips locked trees.
func (o *Owner) sweep() {
	o.mu.Lock()
	trees := make(map[Name]*tree, len(o.trees))
	for n, t := range o.trees {
		trees[n] = t
	}
	o.mu.Unlock()
	o.dropSettledRecords()
	var idle []idleTree
	total := 0
	for n, t := range trees {
		select {
		case t.lock <- struct{}{}:
			o.sweepTree(n, t)
			total += t.bytes()
			if !t.busy() {
				idle = append(idle, idleTree{name: n, tree: t, lastUsed: t.lastUsed})
			}
			t.release()
		default:
		}
	}
	o.evictToLimit(idle, total)
}

// idleTree is a tree without in-flight or waiting calls.
type idleTree struct {
	name     Name
	tree     *tree
	lastUsed time.Time
}

// evictToLimit evicts the least recently used trees until the histories in memory fit
// into MaxBytes.
func (o *Owner) evictToLimit(idle []idleTree, total int) {
	slices.SortFunc(idle, func(a, b idleTree) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, i := range idle {
		if total <= o.options.MaxBytes {
			return
		}
		f, ok := o.fence(i.name)
		if !ok {
			continue
		}
		i.tree.acquire()
		if i.tree.root != nil && !i.tree.busy() && i.tree.inFlightTokens == 0 {
			total -= i.tree.bytes()
			o.evict(f, i.name, i.tree)
		}
		i.tree.release()
	}
}

// dropSettledRecords removes records that are committed or failed from pending.
func (o *Owner) dropSettledRecords() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, r := range o.pending {
		select {
		case <-r.Done():
			delete(o.pending, n)
		default:
		}
	}
}

// sweepTree settles expired calls of a locked tree and evicts it if it is idle.
func (o *Owner) sweepTree(n Name, t *tree) {
	f, ok := o.fence(n)
	if !ok || t.root == nil {
		return
	}
	now := time.Now()
	for _, p := range t.programs {
		if c := p.openCall; c != nil && c.pendingSettlement == nil && now.After(c.expires) {
			o.expire(f, t, p)
		}
	}
	if !t.busy() && t.inFlightTokens == 0 && now.Sub(t.lastUsed) > idleTimeout {
		o.evict(f, n, t)
	}
}

// evict drops a locked idle tree. If the tree still has a reservation, evict returns that to
// the budget and leaves the drop to a later sweep.
func (o *Owner) evict(f leaser.Fence, n Name, t *tree) {
	if t.root.row.Reserved > 0 {
		t.root.row.Reserved = 0
		if w, err := encodeProgram(t.root.name, t.root.row); err == nil {
			_, _ = o.submit(n, f, []storer.Write{w})
		}
		t.lastUsed = time.Now()
		return
	}
	o.drop(n, t)
}

// expire settles a call whose entry daemon stopped renewing the ticket. A call that must
// not be repeated is recorded with an unknown outcome.
func (o *Owner) expire(f leaser.Fence, t *tree, p *program) {
	c := p.openCall
	if !c.persisted {
		o.withdraw(t, p, c.ticket.Reserved)
		return
	}
	fault := classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "the ticket of call %d expired: its entry daemon stopped renewing it", c.ticket.Number)
	_, _ = o.recordTurn(context.Background(), f, t, p, Outcome{Ran: classifier.RanUnknown, Fault: fault, Target: c.replica})
}
