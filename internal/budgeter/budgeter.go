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
)

// ErrExhausted says that the budget does not hold the turn.
var ErrExhausted = errors.New("budgeter: budget is exhausted")

const (
	// settleAfter is how long after its last turn a nearly spent program is settled.
	settleAfter = 500 * time.Millisecond
	// settlePeriod is the time between two looks at the programs.
	settlePeriod = 250 * time.Millisecond
	// settleTimeout bounds the write of one settlement.
	settleTimeout = 2 * time.Second
	// forgetAfter is when an unused program leaves the memory.
	forgetAfter = 90 * time.Second
	// aheadTurns is the number of later turns that one write reserves, while no
	// more than the inverse of aheadShare of the budget is held. A program of four
	// turns at one daemon then costs two writes.
	aheadTurns = 1
	aheadShare = 2
	// nearTurns is the number of turns left below which settling matters to others.
	nearTurns = 4
)

// Budgeter reserves and settles tokens for one daemon.
type Budgeter struct {
	table storer.Table
	me    string
	tomb  *tomb.Tomb

	mu       sync.Mutex
	programs map[string]*program
	// holders numbers the programs taken into memory.
	holders int

	writes, conflicts, doubts, unsettled atomic.Int64
}

// program is this daemon's view of one program.
type program struct {
	name string
	// holder names this view in the row. A program that was forgotten and comes
	// back gets another one, so that what the first one spent still counts.
	holder string
	// turn is held by whoever reads or writes the row.
	turn chan struct{}

	// The fields below are guarded by turn.
	row     row
	version uint64
	// unsure says that a write in doubt can still take effect, since the row has
	// the version that it asked for. It may lower our figure, so nothing is taken
	// from the row as it stands until another write has gone before it.
	unsure bool

	// The fields below are guarded by the budgeter's mutex.
	reserved, spent int
	limit, largest  int
	dirty           bool
	used            time.Time
}

// Start returns a budgeter that settles until the context ends; me names this
// process and none before or after it.
func Start(ctx context.Context, table storer.Table, me string) *Budgeter {
	b := &Budgeter{table: table, me: me, programs: map[string]*program{}}
	b.tomb, _ = tomb.WithContext(ctx)
	b.tomb.Go(b.run)
	return b
}

// Wait returns once the budgeter has ended.
func (b *Budgeter) Wait() error { return b.tomb.Wait() }

// Counts are what a Budgeter did so far.
type Counts struct {
	Writes, Conflicts, Doubts int64
	// Unsettled is how often tokens could not be given back and were kept for another try.
	Unsettled int64
}

// Counts returns what was done so far.
func (b *Budgeter) Counts() Counts {
	return Counts{b.writes.Load(), b.conflicts.Load(), b.doubts.Load(), b.unsettled.Load()}
}

// Reserve sets tokens of a program's budget aside for a turn. It returns
// ErrExhausted if they aren't there, and the store's error if that is not certain.
func (b *Budgeter) Reserve(ctx context.Context, name string, limit, tokens int) error {
	p := b.program(name, limit, tokens)
	select {
	case p.turn <- struct{}{}:
	case <-ctx.Done():
		return errors.Wrap(storer.ErrUnavailable, "budget is busy")
	}
	defer func() { <-p.turn }()
	return b.reserve(ctx, p, limit, tokens)
}

func (b *Budgeter) program(name string, limit, tokens int) *program {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.programs[name]
	if p == nil {
		b.holders++
		p = &program{name: name, holder: b.me + "." + strconv.Itoa(b.holders), turn: make(chan struct{}, 1)}
		b.programs[name] = p
	}
	p.used = time.Now()
	p.limit, p.largest = limit, max(p.largest, tokens)
	return p
}

// reserve runs with the program's turn held.
func (b *Budgeter) reserve(ctx context.Context, p *program, limit, tokens int) error {
	fresh := false
	var pause storer.Backoff
	for {
		b.mu.Lock()
		want := p.spent + p.reserved + tokens
		b.mu.Unlock()
		if p.row.others(p.holder)+want > limit {
			if fresh {
				return ErrExhausted
			}
			if err := b.load(ctx, p); err != nil {
				return err
			}
			fresh = true
			continue
		}
		if want <= p.row.Held[p.holder] && !p.unsure {
			b.take(p, tokens)
			return nil
		}
		err := b.write(ctx, p, want+ahead(p.row.others(p.holder)+want, limit, tokens))
		switch {
		case err == nil:
			b.take(p, tokens)
			return nil
		case errors.Is(err, storer.ErrConflict):
			fresh = true
			continue
		case errors.Is(err, storer.ErrAway):
			return err
		}
		if !pause.Wait(ctx) {
			return err
		}
	}
}

// ahead returns the tokens that are reserved for later turns with the same write,
// as long as the program is far from its limit.
func ahead(held, limit, tokens int) int {
	if more := aheadTurns * tokens; held+more <= limit/aheadShare {
		return more
	}
	return 0
}

func (b *Budgeter) take(p *program, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.reserved += tokens
}

// write puts this daemon's figure into the row. After a conflict the row is read
// again; after a doubt too, since a late write could still change its version.
func (b *Budgeter) write(ctx context.Context, p *program, held int) error {
	value, err := p.row.with(p.holder, held)
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
		p.version, p.unsure = version, false
		p.row, err = decode(value)
		return err
	}
	if errors.Is(err, storer.ErrConflict) {
		b.conflicts.Add(1)
		if b.adopt(p, err) {
			return err
		}
		if failed := b.load(ctx, p); failed != nil {
			return failed
		}
		return err
	}
	if !errors.Is(err, storer.ErrRefused) {
		b.doubts.Add(1)
		p.unsure = true
		if err := b.load(ctx, p); err == nil {
			return storer.ErrConflict
		}
	}
	return err
}

// adopt takes the current row that a conflict brings.
func (b *Budgeter) adopt(p *program, err error) bool {
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
		p.see(state, r.Version)
		return true
	}
	return false
}

func (b *Budgeter) load(ctx context.Context, p *program) error {
	r, err := b.table.Get(ctx, key(p.name))
	if err != nil {
		return err
	}
	state, err := decode(r.Value)
	if err != nil {
		return err
	}
	p.see(state, r.Version)
	return nil
}

// see takes the row as it was read. Once its version has changed, no earlier
// write in doubt can take effect any more.
func (p *program) see(r row, version uint64) {
	if version != p.version {
		p.unsure = false
	}
	p.row, p.version = r, version
}

// Finish returns a reservation of which some tokens were used.
func (b *Budgeter) Finish(name string, reserved, used int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.programs[name]
	if p == nil {
		return
	}
	p.reserved -= reserved
	p.spent += used
	p.used = time.Now()
	p.dirty = true
}

func (b *Budgeter) run() error {
	for {
		select {
		case <-time.After(settlePeriod):
			b.settle(b.tomb.Context(nil))
		case <-b.tomb.Dying():
			return nil
		}
	}
}

// settle gives back what nearly spent programs hold too much, since other
// daemons may need it, and forgets programs that are over.
func (b *Budgeter) settle(ctx context.Context) {
	now := time.Now()
	var due []*program
	b.mu.Lock()
	for name, p := range b.programs {
		switch {
		case now.Sub(p.used) > forgetAfter && p.reserved == 0:
			delete(b.programs, name)
		case p.dirty && now.Sub(p.used) > settleAfter:
			p.dirty = false
			due = append(due, p)
		}
	}
	b.mu.Unlock()
	for _, p := range due {
		b.settleOne(ctx, p)
	}
}

func (b *Budgeter) settleOne(ctx context.Context, p *program) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	select {
	case p.turn <- struct{}{}:
	default:
		return // A turn is being reserved, which writes the figure anyway.
	}
	defer func() { <-p.turn }()
	b.mu.Lock()
	held, near := p.spent+p.reserved, nearTurns*p.largest
	left := p.limit - p.row.others(p.holder) - p.row.Held[p.holder]
	b.mu.Unlock()
	if held >= p.row.Held[p.holder] || left >= near {
		return
	}
	if err := b.write(ctx, p, held); err != nil {
		// One line a program would flood the log in an outage; the count is logged.
		b.unsettled.Add(1)
		b.mu.Lock()
		p.dirty = true
		b.mu.Unlock()
	}
}

// Settle writes the figures of all programs, for a planned stop.
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
