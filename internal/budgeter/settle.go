package budgeter

import (
	"context"
	"time"
)

// settleDue releases unused tokens of programs whose budget is nearly spent, since other
// daemons may need them, and evicts idle programs.
func (b *Budgeter) settleDue(ctx context.Context) {
	now := time.Now()
	var due []*program
	b.mu.Lock()
	for _, p := range b.programs {
		switch {
		case now.Sub(p.lastUsed) > evictAfter && p.reserved == 0:
			b.evict(p)
		case p.dirty && now.Sub(p.lastUsed) > settleAfter:
			p.dirty = false
			due = append(due, p)
		}
	}
	b.mu.Unlock()
	for _, p := range due {
		b.settleOne(ctx, p)
	}
}

// settleOne lowers the tokens held by this daemon to those spent or reserved. It writes
// nothing if no more are held, if the remaining budget, by the row as this daemon last saw
// it, covers nearLimitTurns turns of the largest size, or if the row is locked. It is called
// again once another version of the row is known, or the row may be free.
func (b *Budgeter) settleOne(ctx context.Context, p *program) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	select {
	case p.rowLock <- struct{}{}:
	default:
		// A reservation that fails is followed by no Finish, so the program is marked here.
		b.markDirty(p)
		return
	}
	defer p.unlock()
	if p.evicted {
		return
	}
	b.mu.Lock()
	held, threshold := p.spent+p.reserved, nearLimitTurns*p.largestTurn
	remaining := p.limit - p.row.heldByOthers(p.holder) - p.row.Held[p.holder]
	b.mu.Unlock()
	switch {
	case held >= p.row.Held[p.holder]:
		return
	case remaining >= threshold:
		p.keepsUnused = true
		return
	}
	if err := b.writeRow(ctx, p, held); err != nil {
		// One line per program would flood the log in an outage; only the count is logged.
		b.unsettled.Add(1)
		b.markDirty(p)
	}
}

// markDirty makes the next scan check the program again.
func (b *Budgeter) markDirty(p *program) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.dirty = true
}

// Settle settles, in preparation for a planned stop, the programs with turns that finished
// since their last settlement. Like settleOne, it skips those whose budget is not nearly
// spent and those whose row is locked.
func (b *Budgeter) Settle(ctx context.Context) {
	b.mu.Lock()
	var all []*program
	for _, p := range b.programs {
		if p.dirty {
			p.dirty = false
			all = append(all, p)
		}
	}
	b.mu.Unlock()
	for _, p := range all {
		b.settleOne(ctx, p)
	}
}
