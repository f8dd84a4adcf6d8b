package budgeter

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/internal/supervisor"
)

// ErrExhausted reports that the budget does not cover the tokens of the turn, as far as they
// are not spent or held for others. It is definite once the holders have been asked to return
// what they do not need.
var ErrExhausted = errors.New("budgeter: budget is exhausted")

const (
	// settleAfter is the time from a program's last use until it is settled, if its budget
	// is nearly spent.
	settleAfter = 500 * time.Millisecond
	// settlePeriod is the interval between two scans of the programs.
	settlePeriod = 250 * time.Millisecond
	// settleTimeout bounds the write of one settlement.
	settleTimeout = 2 * time.Second
	// evictAfter is the time after which an unused program is evicted from memory.
	evictAfter = 90 * time.Second
	// advanceTurns is the number of later turns for which one write also reserves tokens,
	// as long as at most 1/advanceDivisor of the budget is then held. A program of four
	// turns at one daemon then costs two writes.
	advanceTurns   = 1
	advanceDivisor = 2
	// nearLimitTurns is the number of remaining turns below which a program is settled,
	// since other daemons may need the tokens.
	nearLimitTurns = 4
)

// Budgeter reserves and settles tokens for one daemon.
type Budgeter struct {
	table   storer.Table
	process string
	tomb    *tomb.Tomb

	mu       sync.Mutex
	programs map[string]*program
	retired  *retired
	// lastHolder is the number of the last holder; each program loaded gets the next one.
	lastHolder int

	writes, conflicts, ambiguous, unsettled atomic.Int64
}

// program is this daemon's view of one program.
type program struct {
	name string
	// holder names this view in the row. A program that is used again after its eviction
	// keeps its holder if the tokens spent under it are remembered, and else gets a new one.
	holder string
	// rowLock is held while the row is read or written. It is a channel so that waiting
	// for it ends with a context.
	rowLock chan struct{}

	// The fields below are guarded by rowLock.
	row     row
	version uint64
	// inDoubt is set while a write with an ambiguous outcome can still take effect, since
	// the row still has the version that the write expects. That write may lower the tokens
	// held by this daemon, so nothing is reserved from the current row until a later write
	// has changed its version.
	inDoubt bool
	// keepsUnused is set if the last settlement left unused tokens here because the budget was
	// not nearly spent by the row as it was known.
	keepsUnused bool
	// evicted is set once the view is no longer used, since another one may act for its holder.
	evicted bool

	// The fields below are guarded by the budgeter's mutex.
	reserved, spent int
	// limit is the program's whole budget, in tokens.
	limit, largestTurn int
	dirty              bool
	lastUsed           time.Time
}

// Start returns a budgeter that settles programs until the context ends. The name
// process identifies this process; no earlier or later process may have it.
func Start(ctx context.Context, table storer.Table, process string) *Budgeter {
	b := &Budgeter{table: table, process: process, programs: map[string]*program{}, retired: newRetired()}
	b.tomb, _ = tomb.WithContext(ctx)
	b.tomb.Go(supervisor.Loop(b.tomb, "budgeter: settlement", b.run))
	return b
}

// Wait returns once the budgeter has ended.
func (b *Budgeter) Wait() error { return b.tomb.Wait() }

// Counts are the statistics of a Budgeter since its start.
type Counts struct {
	// These are the row writes, those of them that conflicted, and those whose outcome
	// was ambiguous.
	Writes, Conflicts, Ambiguous int64
	// Unsettled is the number of settlements that failed and are retried later.
	Unsettled int64
}

// Counts returns the statistics since the start.
func (b *Budgeter) Counts() Counts {
	return Counts{b.writes.Load(), b.conflicts.Load(), b.ambiguous.Load(), b.unsettled.Load()}
}

// Reserve reserves tokens of a program's budget for a turn; limit is the program's whole
// budget, in tokens. It returns a Denial, which is an ErrExhausted, if the row does not leave
// them, and the store's error if that is unknown.
func (b *Budgeter) Reserve(ctx context.Context, name string, limit, tokens int) error {
	for {
		p := b.getOrCreate(name, limit, tokens)
		current, err := p.lock(ctx)
		if err != nil {
			return err
		}
		if current {
			defer p.unlock()
			return b.reserve(ctx, p, limit, tokens)
		}
	}
}

// lock locks the row, unless the view has been evicted since the caller found it.
func (p *program) lock(ctx context.Context) (current bool, err error) {
	select {
	case p.rowLock <- struct{}{}:
	case <-ctx.Done():
		return false, errors.Wrap(storer.ErrUnavailable, "the context ended before the lock of the budget row was free")
	}
	if p.evicted {
		p.unlock()
		return false, nil
	}
	return true, nil
}

func (p *program) unlock() { <-p.rowLock }

func newProgram(name, holder string) *program {
	return &program{name: name, holder: holder, rowLock: make(chan struct{}, 1), lastUsed: time.Now()}
}

// find returns the view of a program, nil if there is none. The caller holds b.mu.
func (b *Budgeter) find(name string) *program {
	if p := b.programs[name]; p != nil {
		return p
	}
	return b.revive(name)
}

// getOrCreate returns the view of a program, marked as used now.
func (b *Budgeter) getOrCreate(name string, limit, tokens int) *program {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.find(name)
	if p == nil {
		b.lastHolder++
		p = newProgram(name, b.process+"."+strconv.Itoa(b.lastHolder))
		b.programs[name] = p
	}
	p.lastUsed = time.Now()
	p.limit, p.largestTurn = limit, max(p.largestTurn, tokens)
	return p
}

// reserve implements Reserve; the caller holds the program's rowLock.
func (b *Budgeter) reserve(ctx context.Context, p *program, limit, tokens int) error {
	reloaded := false
	var backoff storer.Backoff
	for {
		b.mu.Lock()
		want := p.spent + p.reserved
		b.mu.Unlock()
		// The number of tokens may be near the largest integer, so it is added only after this.
		if tokens > limit-p.row.heldByOthers(p.holder)-want {
			if reloaded {
				return newDenial(p.row, b.process)
			}
			if err := b.loadRow(ctx, p); err != nil {
				return err
			}
			reloaded = true
			continue
		}
		want += tokens
		if want <= p.row.Held[p.holder] && !p.inDoubt {
			b.addReserved(p, tokens)
			return nil
		}
		err := b.writeRow(ctx, p, want+advanceTokens(p.row.heldByOthers(p.holder)+want, limit, tokens))
		switch {
		case err == nil:
			b.addReserved(p, tokens)
			return nil
		case errors.Is(err, storer.ErrConflict):
			reloaded = true
			continue
		case errors.Is(err, storer.ErrOutage) || errors.Is(err, errInvalidRow):
			return err
		}
		if !backoff.Wait(ctx) {
			return err
		}
	}
}

// advanceTokens returns the number of tokens to reserve for later turns in the same
// write: none if more than 1/advanceDivisor of the budget would be held.
func advanceTokens(held, limit, tokens int) int {
	if more := advanceTurns * tokens; held+more <= limit/advanceDivisor {
		return more
	}
	return 0
}

func (b *Budgeter) addReserved(p *program, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.reserved += tokens
}

// writeRow stores the number of tokens held by this daemon. After a conflict it reloads
// the row. After an ambiguous outcome it does too, since the write may still take effect
// and change the row's version.
func (b *Budgeter) writeRow(ctx context.Context, p *program, held int) error {
	value, err := p.row.encodeWith(p.holder, held)
	if err != nil {
		return err
	}
	b.writes.Add(1)
	k := key(p.name)
	version, err := b.table.Commit(ctx, storer.Transaction{
		Conditions: []storer.Condition{{Key: k, Version: p.version}},
		Writes:     []storer.Write{{Key: k, Value: value}},
	})
	if err == nil {
		p.version, p.inDoubt = version, false
		p.row, err = decode(value)
		return err
	}
	if errors.Is(err, storer.ErrConflict) {
		b.conflicts.Add(1)
		if b.loadFromConflict(p, err) {
			return err
		}
		if loadErr := b.loadRow(ctx, p); loadErr != nil {
			return loadErr
		}
		return err
	}
	if !errors.Is(err, storer.ErrRefused) {
		b.ambiguous.Add(1)
		p.inDoubt = true
		if err := b.loadRow(ctx, p); err == nil {
			return storer.ErrConflict
		}
	}
	return err
}

// loadFromConflict sets the row from a conflict error; it returns false if the error does
// not carry the row.
func (b *Budgeter) loadFromConflict(p *program, err error) bool {
	var c *storer.Conflict
	if !errors.As(err, &c) {
		return false
	}
	for _, r := range c.Rows() {
		if r.Key != key(p.name) {
			continue
		}
		state, err := decode(r.Value)
		if err != nil {
			return false
		}
		b.setRow(p, state, r.Version)
		return true
	}
	return false
}

func (b *Budgeter) loadRow(ctx context.Context, p *program) error {
	r, err := b.table.Get(ctx, key(p.name))
	if err != nil {
		return err
	}
	state, err := decode(r.Value)
	if err != nil {
		return err
	}
	b.setRow(p, state, r.Version)
	return nil
}

// setRow stores a row that was read. Once the row's version has changed, no earlier
// write in doubt can take effect any more, and unused tokens that were not needed by others
// may be needed.
func (b *Budgeter) setRow(p *program, r row, version uint64) {
	if version != p.version {
		p.inDoubt = false
		if p.keepsUnused {
			p.keepsUnused = false
			b.markDirty(p)
		}
	}
	p.row, p.version = r, version
}

// Finish ends a reservation of a turn that used some of the reserved tokens.
func (b *Budgeter) Finish(name string, reserved, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.programs[name]
	if p == nil {
		return
	}
	p.reserved -= reserved
	p.spent += used
	p.lastUsed = time.Now()
	p.dirty = true
}

func (b *Budgeter) run() error {
	for {
		select {
		case <-time.After(settlePeriod):
			b.settleDue(b.tomb.Context(nil))
		case <-b.tomb.Dying():
			return nil
		}
	}
}
