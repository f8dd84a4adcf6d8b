package sequencer

import (
	"context"
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// sweep settles calls whose tickets expired and forgets idle trees.
func (o *Owner) sweep() {
	o.mu.Lock()
	trees := make(map[Name]*tree, len(o.trees))
	for n, t := range o.trees {
		trees[n] = t
	}
	o.mu.Unlock()
	o.forgetSettled()
	var idle []idleTree
	total := 0
	for n, t := range trees {
		select {
		case t.lock <- struct{}{}:
			o.sweepTree(n, t)
			total += t.bytes()
			if !t.busy() {
				idle = append(idle, idleTree{name: n, tree: t, used: t.used})
			}
			t.release()
		default:
		}
	}
	o.shed(idle, total)
}

// idleTree is a tree that no call holds.
type idleTree struct {
	name Name
	tree *tree
	used time.Time
}

// shed retires the trees that were used longest ago until the histories in memory fit.
func (o *Owner) shed(idle []idleTree, total int) {
	slices.SortFunc(idle, func(a, b idleTree) int { return a.used.Compare(b.used) })
	for _, i := range idle {
		if total <= o.o.MaxBytes {
			return
		}
		f, ok := o.fence(i.name)
		if !ok {
			continue
		}
		i.tree.acquire()
		if i.tree.root != nil && !i.tree.busy() && i.tree.inUse == 0 {
			total -= i.tree.bytes()
			o.retire(f, i.name, i.tree)
		}
		i.tree.release()
	}
}

// forgetSettled drops the settled records of roots.
func (o *Owner) forgetSettled() {
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

func (o *Owner) sweepTree(n Name, t *tree) {
	f, ok := o.fence(n)
	if !ok || t.root == nil {
		return
	}
	now := time.Now()
	for _, p := range t.programs {
		if c := p.open; c != nil && c.settling == nil && now.After(c.expires) {
			o.expire(f, t, p)
		}
	}
	if !t.busy() && t.inUse == 0 && now.Sub(t.used) > idleLimit {
		o.retire(f, n, t)
	}
}

// retire returns the unused reservation to the budget and forgets the tree.
func (o *Owner) retire(f leaser.Fence, n Name, t *tree) {
	if t.root.row.Reserved > 0 {
		t.root.row.Reserved = 0
		if w, err := encodeProgram(t.root.name, t.root.row); err == nil {
			_, _ = o.submit(n, f, []storer.Write{w})
		}
		t.used = time.Now()
		return
	}
	o.drop(n, t)
}

// expire settles a call whose entry is gone: one that must not be repeated is recorded as unknown.
func (o *Owner) expire(f leaser.Fence, t *tree, p *program) {
	c := p.open
	if !c.persisted {
		o.withdraw(t, p, c.ticket.Reserved)
		return
	}
	fault := classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "the entry of call %d is gone", c.ticket.Number)
	_, _ = o.record(context.Background(), f, t, p, Outcome{Ran: classifier.RanUnknown, Fault: fault, Target: c.target})
}
