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

// delayingTable is a table whose writes may fail with an ambiguous outcome and take
// effect later.
type delayingTable struct {
	storer.Table

	// mu guards the fields below, since the daemons' background goroutines write too.
	mu      sync.Mutex
	rand    *rand.Rand
	delayed []storer.Transaction
}

// Commit implements storer.Table.
func (l *delayingTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.delayed) > 0 && l.rand.IntN(2) == 0 {
		_, _ = l.Table.Commit(ctx, l.delayed[0])
		l.delayed = l.delayed[1:]
	}
	switch l.rand.IntN(10) {
	case 0:
		return 0, storer.ErrRefused
	case 1:
		_, _ = l.Table.Commit(ctx, tx)
		return 0, storer.ErrUnavailable
	case 2:
		l.delayed = append(l.delayed, tx)
		return 0, storer.ErrUnavailable
	}
	return l.Table.Commit(ctx, tx)
}

// TestBudgetsAgainstAnOracle runs turns of one program at daemons that are replaced by new
// processes at random times, over a store with lost, delayed and refused writes. The
// tokens spent and reserved must never exceed the budget, also if daemons return unused tokens
// and forget programs that are not used.
func TestBudgetsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = newSimulation(seed).run() })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// simulation is a random run of one program's turns.
type simulation struct {
	rand    *rand.Rand
	table   *delayingTable
	ctx     context.Context
	daemons []*budgeter.Budgeter
	starts  int
	limit   int
	spent   int
	open    []openTurn
}

// openTurn is a turn in progress at a daemon, which may have been replaced since.
type openTurn struct {
	daemon *budgeter.Budgeter
	tokens int
}

func newSimulation(seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 0))
	return &simulation{rand: r, table: &delayingTable{Table: emulator.NewStore(), rand: rand.New(rand.NewPCG(seed, 1))}, limit: 100 + r.IntN(1400)}
}

func (s *simulation) startDaemon() *budgeter.Budgeter {
	s.starts++
	return budgeter.Start(s.ctx, s.table, fmt.Sprintf("life-%d", s.starts))
}

func (s *simulation) run() string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.ctx = ctx
	s.daemons = []*budgeter.Budgeter{s.startDaemon(), s.startDaemon(), s.startDaemon()}
	for range 60 {
		s.randomStep(s.rand.IntN(len(s.daemons)))
		sum := s.spent
		for _, r := range s.open {
			sum += r.tokens
		}
		if sum > s.limit {
			return fmt.Sprintf("%d tokens are spent or reserved of a budget of %d", sum, s.limit)
		}
	}
	return ""
}

func (s *simulation) randomStep(d int) {
	switch s.rand.IntN(8) {
	case 0:
		s.daemons[d] = s.startDaemon() // The previous process reserves nothing more.
	case 1, 2:
		if len(s.open) == 0 {
			return
		}
		i := s.rand.IntN(len(s.open))
		r := s.open[i]
		s.open = append(s.open[:i], s.open[i+1:]...)
		used := s.rand.IntN(r.tokens + 1)
		s.spent += used
		r.daemon.Finish("p", r.tokens, used)
	case 3:
		time.Sleep(time.Duration(s.rand.IntN(1000)) * time.Millisecond)
		if s.rand.IntN(6) == 0 {
			time.Sleep(100 * time.Second) // Unused programs are evicted.
		}
	case 4:
		ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
		defer cancel()
		_, _ = s.daemons[d].ReturnUnused(ctx, "p")
	default:
		tokens := 1 + s.rand.IntN(200)
		ctx, cancel := context.WithTimeout(s.ctx, 200*time.Millisecond)
		defer cancel()
		if s.daemons[d].Reserve(ctx, "p", s.limit, tokens) == nil {
			s.open = append(s.open, openTurn{s.daemons[d], tokens})
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
		time.Sleep(900 * time.Millisecond) // Released to others within a second.
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

// unavailableTable fails every write as if the store were unavailable.
type unavailableTable struct{ storer.Table }

// Commit implements storer.Table.
func (unavailableTable) Commit(context.Context, storer.Transaction) (uint64, error) {
	return 0, storer.ErrOutage
}

// TestAnOutageIsReportedAtOnce checks that a reservation fails without a retry while the
// store is unavailable.
func TestAnOutageIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		a := budgeter.Start(ctx, unavailableTable{emulator.NewStore()}, "a")
		began := time.Now()
		is.True(errors.Is(a.Reserve(ctx, "p", 1000, 100), storer.ErrOutage))
		is.Equal(time.Since(began), time.Duration(0))
		cancel()
		_ = a.Wait()
	})
}

// holdingTable fails writes with an ambiguous outcome while hold is set, and applies them
// on release.
type holdingTable struct {
	storer.Table

	mu   sync.Mutex
	hold bool
	held []storer.Transaction
}

// Commit implements storer.Table.
func (h *holdingTable) Commit(ctx context.Context, tx storer.Transaction) (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hold {
		h.held = append(h.held, tx)
		return 0, storer.ErrUnavailable
	}
	return h.Table.Commit(ctx, tx)
}

// release applies the writes held back, if their conditions hold.
func (h *holdingTable) release(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hold = false
	for _, tx := range h.held {
		_, _ = h.Table.Commit(ctx, tx)
	}
	h.held = nil
}

// TestALateSettlementTakesNothingBack guards against granting tokens twice, a fault that
// TestBudgetsAgainstAnOracle found (seed 0xb6b15edd2): the outcome of a settlement is
// ambiguous, a turn is reserved from the row as it was before, and then the settlement
// takes effect and frees the tokens of that turn.
func TestALateSettlementTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		table := &holdingTable{Table: emulator.NewStore()}
		a, b := budgeter.Start(ctx, table, "a"), budgeter.Start(ctx, table, "b")
		is.NoErr(a.Reserve(ctx, "p", 1000, 600))
		a.Finish("p", 600, 0)
		table.mu.Lock()
		table.hold = true
		table.mu.Unlock()
		time.Sleep(800 * time.Millisecond) // The outcome of the settlement to zero is ambiguous.
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
