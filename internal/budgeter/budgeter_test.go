package budgeter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// lateTable is a table whose writes may fail in doubt and take effect later.
type lateTable struct {
	storer.Table

	// The daemons' own goroutines write too.
	mu   sync.Mutex
	rand *rand.Rand
	late []storer.Transaction
}

// Commit implements storer.Table.
func (l *lateTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.late) > 0 && l.rand.IntN(2) == 0 {
		_, _ = l.Table.Commit(ctx, l.late[0])
		l.late = l.late[1:]
	}
	switch l.rand.IntN(10) {
	case 0:
		return 0, storer.ErrRefused
	case 1:
		_, _ = l.Table.Commit(ctx, tx)
		return 0, storer.ErrUnavailable
	case 2:
		l.late = append(l.late, tx)
		return 0, storer.ErrUnavailable
	}
	return l.Table.Commit(ctx, tx)
}

// TestBudgetsAgainstAnOracle runs turns of one program through daemons that are
// killed at any moment, over a store with lost, late and refused writes. The
// tokens handed out never exceed the budget.
func TestBudgetsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		broken := ""
		synctest.Test(t, func(*testing.T) { broken = newPlay(seed).run() })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// play is a random run of one program's turns.
type play struct {
	rand    *rand.Rand
	table   *lateTable
	ctx     context.Context
	daemons []*budgeter.Budgeter
	lives   int
	limit   int
	handed  int
	open    []running
}

// running is a turn under way at a daemon, which may have been killed meanwhile.
type running struct {
	daemon *budgeter.Budgeter
	tokens int
}

func newPlay(seed uint64) *play {
	r := rand.New(rand.NewPCG(seed, 0))
	return &play{rand: r, table: &lateTable{Table: emulator.NewStore(), rand: rand.New(rand.NewPCG(seed, 1))}, limit: 100 + r.IntN(1400)}
}

func (p *play) born() *budgeter.Budgeter {
	p.lives++
	return budgeter.Start(p.ctx, p.table, fmt.Sprintf("life-%d", p.lives))
}

func (p *play) run() string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.ctx = ctx
	p.daemons = []*budgeter.Budgeter{p.born(), p.born(), p.born()}
	for range 60 {
		p.step(p.rand.IntN(len(p.daemons)))
		sum := p.handed
		for _, r := range p.open {
			sum += r.tokens
		}
		if sum > p.limit {
			return fmt.Sprintf("%d tokens can be handed out of a budget of %d", sum, p.limit)
		}
	}
	return ""
}

func (p *play) step(d int) {
	switch p.rand.IntN(7) {
	case 0:
		p.daemons[d] = p.born() // The one before is killed; nothing settles for it.
	case 1, 2:
		if len(p.open) == 0 {
			return
		}
		i := p.rand.IntN(len(p.open))
		r := p.open[i]
		p.open = append(p.open[:i], p.open[i+1:]...)
		used := p.rand.IntN(r.tokens + 1)
		p.handed += used
		r.daemon.Finish("p", r.tokens, used)
	case 3:
		time.Sleep(time.Duration(p.rand.IntN(1000)) * time.Millisecond)
	default:
		tokens := 1 + p.rand.IntN(200)
		ctx, cancel := context.WithTimeout(p.ctx, 200*time.Millisecond)
		defer cancel()
		if p.daemons[d].Reserve(ctx, "p", p.limit, tokens) == nil {
			p.open = append(p.open, running{p.daemons[d], tokens})
		}
	}
}

func TestNoTokenIsLostWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a, b := budgeter.Start(ctx, store, "a"), budgeter.Start(ctx, store, "b")
		for range 9 {
			is.NoErr(a.Reserve(ctx, "p", 1000, 100))
			a.Finish("p", 100, 100)
		}
		is.NoErr(a.Reserve(ctx, "p", 1000, 100))
		is.True(errors.Is(b.Reserve(ctx, "p", 1000, 10), budgeter.ErrExhausted))
		a.Finish("p", 100, 20)
		time.Sleep(900 * time.Millisecond) // Settled for the other daemon within a second.
		is.NoErr(b.Reserve(ctx, "p", 1000, 80))
		is.True(errors.Is(b.Reserve(ctx, "p", 1000, 1), budgeter.ErrExhausted))
		cancel()
		_, _ = a.Wait(), b.Wait()
	})
}

func TestAnOutageIsNotAnExhaustedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		store := emulator.NewStore()
		a := budgeter.Start(ctx, store, "a")
		store.SetFaults(emulator.StoreFaults{Down: true})
		short, stop := context.WithTimeout(ctx, time.Second)
		err := a.Reserve(short, "p", 1000, 100)
		stop()
		is.True(err != nil)
		is.True(!errors.Is(err, budgeter.ErrExhausted))
		cancel()
		_ = a.Wait()
	})
}

// awayTable is a table whose service answers nobody.
type awayTable struct{ storer.Table }

// Commit implements storer.Table.
func (awayTable) Commit(context.Context, storer.Transaction) (uint64, error) {
	return 0, storer.ErrAway
}

func TestAnOutageIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		a := budgeter.Start(ctx, awayTable{emulator.NewStore()}, "a")
		began := time.Now()
		is.True(errors.Is(a.Reserve(ctx, "p", 1000, 100), storer.ErrAway))
		is.Equal(time.Since(began), time.Duration(0))
		cancel()
		_ = a.Wait()
	})
}

// heldTable keeps writes in doubt back until they are let go.
type heldTable struct {
	storer.Table

	mu   sync.Mutex
	hold bool
	kept []storer.Transaction
}

// Commit implements storer.Table.
func (h *heldTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold {
		h.kept = append(h.kept, tx)
		return 0, storer.ErrUnavailable
	}
	return h.Table.Commit(ctx, tx)
}

// release lets the writes in doubt take effect, if their conditions hold.
func (h *heldTable) release(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = false
	for _, tx := range h.kept {
		_, _ = h.Table.Commit(ctx, tx)
	}
	h.kept = nil
}

// TestALateSettlementTakesNothingBack replays what the oracle found (draw seed
// 0xb6b15edd2): a settlement is in doubt, a turn is reserved from the row as it
// still stands, and then the settlement takes effect and frees those tokens.
func TestALateSettlementTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		table := &heldTable{Table: emulator.NewStore()}
		a, b := budgeter.Start(ctx, table, "a"), budgeter.Start(ctx, table, "b")
		is.NoErr(a.Reserve(ctx, "p", 1000, 600))
		a.Finish("p", 600, 0)
		table.mu.Lock()
		table.hold = true
		table.mu.Unlock()
		time.Sleep(800 * time.Millisecond) // The settlement to zero is in doubt.
		table.mu.Lock()
		table.hold = false
		table.mu.Unlock()
		is.NoErr(a.Reserve(ctx, "p", 1000, 600))
		table.release(ctx)
		is.True(errors.Is(b.Reserve(ctx, "p", 1000, 600), budgeter.ErrExhausted))
		cancel()
		_, _ = a.Wait(), b.Wait()
	})
}
