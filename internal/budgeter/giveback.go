package budgeter

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// ReturnUnused lowers the tokens of a program that this daemon holds to those spent or
// reserved for turns under way, for another daemon that would otherwise deny a turn. It
// writes nothing and returns false if no more are held. After an error, the outcome is in
// doubt.
func (b *Budgeter) ReturnUnused(ctx context.Context, name string) (changed bool, err error) {
	for {
		b.mu.Lock()
		p := b.find(name)
		b.mu.Unlock()
		if p == nil {
			return false, nil
		}
		current, err := p.lock(ctx)
		if err != nil {
			return false, err
		}
		if current {
			defer p.unlock()
			return b.returnUnused(ctx, p)
		}
	}
}

// returnUnused implements ReturnUnused; the caller holds the program's rowLock.
func (b *Budgeter) returnUnused(ctx context.Context, p *program) (changed bool, err error) {
	var backoff storer.Backoff
	for {
		needed := b.needed(p)
		// A write in doubt may still raise the number of tokens held; a later write prevents
		// that.
		if p.row.Held[p.holder] <= needed && !p.inDoubt {
			return changed, nil
		}
		err = b.writeRow(ctx, p, needed)
		changed = true
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, storer.ErrOutage) || errors.Is(err, errInvalidRow) || ctx.Err() != nil:
			return true, err
		case !errors.Is(err, storer.ErrConflict) && !backoff.Wait(ctx):
			return true, err
		}
	}
}

// needed returns the tokens of a program that this daemon has spent or reserved.
func (b *Budgeter) needed(p *program) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return p.spent + p.reserved
}
