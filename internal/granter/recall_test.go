package granter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/granter"
)

// runTurn opens a turn of program p, uses all of its tokens and closes it.
func runTurn(d *daemon, id string, budget int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	turn := newTurn(id, "", budget)
	turn.History = false
	g, err := d.granter.Open(ctx, turn)
	if err != nil {
		return err
	}
	g.Close(maxTurnTokens)
	time.Sleep(100 * time.Millisecond)
	return nil
}

// TestAProgramThatMovesGetsItsLastTurn guards against a denial of the last turn of a program
// that has moved to another availability zone, because a daemon of the first zone holds the
// tokens of a turn that it reserved in advance.
func TestAProgramThatMovesGetsItsLastTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(4, 0, rand.New(rand.NewPCG(1, 1)), 2, 3)
		defer z.stop()
		const budget = 8 * maxTurnTokens
		is.NoErr(runTurn(z.daemons[0], "0", budget))
		time.Sleep(2 * time.Second)
		for i := 1; i < 8; i++ {
			is.NoErr(runTurn(z.daemons[2+i%2], fmt.Sprint(i), budget))
		}
		is.True(errors.Is(runTurn(z.daemons[2], "8", budget), budgeter.ErrExhausted))
	})
}

// TestHoldersThatDoNotAnswer checks that the tokens reserved in advance at a daemon that is
// killed, frozen or of the previous build are lost, that the denial takes no longer than a
// round, and that a frozen holder returns them once it answers again.
func TestHoldersThatDoNotAnswer(t *testing.T) {
	rows := []struct {
		name  string
		fault func(z *zone, holders ...int)
		thaws bool
	}{
		{"killed", func(z *zone, holders ...int) {
			for _, i := range holders {
				z.daemons[i].cancel()
			}
		}, false},
		{"replaced by a new process", func(z *zone, holders ...int) {
			for _, i := range holders {
				z.start(i)
			}
		}, false},
		{"frozen", func(z *zone, holders ...int) {
			for _, i := range holders {
				z.daemons[i].unresponsive.Store(true)
			}
		}, true},
		{"previous build", func(z *zone, holders ...int) {
			for _, i := range holders {
				z.daemons[i].old = true
			}
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(4, 0, rand.New(rand.NewPCG(1, 1)), 2, 3)
				defer z.stop()
				const budget = 8 * maxTurnTokens
				is.NoErr(runTurn(z.daemons[0], "0", budget))
				row.fault(z, 0, 1)
				for i := 1; i < 7; i++ {
					is.NoErr(runTurn(z.daemons[2], fmt.Sprint(i), budget))
				}
				began := time.Now()
				is.True(errors.Is(runTurn(z.daemons[2], "7", budget), budgeter.ErrExhausted))
				is.True(time.Since(began) <= 310*time.Millisecond)
				if !row.thaws {
					return
				}
				for _, i := range []int{0, 1} {
					z.daemons[i].unresponsive.Store(false)
				}
				time.Sleep(time.Second)
				is.NoErr(runTurn(z.daemons[2], "7", budget))
			})
		})
	}
}

// TestDenialsShareARound checks that the concurrent turns of a program whose budget is spent
// ask the holders once, and that turns which follow at once do not ask again.
func TestDenialsShareARound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)), 1)
		defer z.stop()
		const budget = 2 * maxTurnTokens
		for i := range 2 {
			is.NoErr(runTurn(z.daemons[0], fmt.Sprint(i), budget))
		}
		time.Sleep(2 * time.Second)
		commits := z.daemons[0].table.commits
		for range 3 {
			var group sync.WaitGroup
			for i := range 20 {
				group.Go(func() { is.True(errors.Is(runTurn(z.daemons[1], fmt.Sprint(i), budget), budgeter.ErrExhausted)) })
			}
			group.Wait()
		}
		is.Equal(z.daemons[0].returns.Load(), int64(1))
		is.Equal(z.daemons[0].table.commits, commits) // A holder without unused tokens writes nothing.
		time.Sleep(time.Second)
		is.True(errors.Is(runTurn(z.daemons[1], "x", budget), budgeter.ErrExhausted))
		is.Equal(z.daemons[0].returns.Load(), int64(2))
	})
}

// TestMovingProgramsAgainstAnOracle runs turns of one program at daemons of two zones, several
// at a time, while the store loses replies. In half of the runs daemons are killed and calls
// between them fail, too. The tokens used never exceed the budget. In the other half, no turn
// is denied that the budget covers, if turns that are running or ended less than a second ago
// count with all of their tokens.
func TestMovingProgramsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = newMove(rand.New(rand.NewPCG(seed, 0))).run() })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// move is a random run of one program that moves between two zones.
type move struct {
	rand   *rand.Rand
	zone   *zone
	faulty bool
	budget int
	used   int
	open   []*granter.Grant
	// recent are the times until which turns that ended count with all of their tokens, and
	// the tokens that they did not use.
	recent map[time.Time]int
}

func newMove(r *rand.Rand) *move {
	m := &move{rand: r, faulty: r.IntN(2) == 0, budget: maxTurnTokens * (2 + r.IntN(14)), recent: map[time.Time]int{}}
	faultEvery := 0
	if m.faulty {
		faultEvery = 2 + r.IntN(6)
	}
	m.zone = newZone(6, faultEvery, rand.New(rand.NewPCG(r.Uint64(), 1)), 3, 4, 5)
	if r.IntN(2) == 0 {
		m.zone.store.SetFaults(emulator.StoreFaults{LoseEvery: 3 + r.IntN(5)})
	}
	return m
}

func (m *move) run() string {
	defer m.zone.stop()
	for i := range 50 {
		switch m.rand.IntN(6) {
		case 0, 1:
			if len(m.open) > 0 {
				m.close()
			}
		case 2:
			if m.faulty {
				m.zone.start(m.rand.IntN(6))
			}
			pause := time.Duration(m.rand.IntN(1500)) * time.Millisecond
			if m.rand.IntN(8) == 0 {
				pause = 100 * time.Second // Unused programs are evicted.
			}
			time.Sleep(pause)
		default:
			if failure := m.openTurn(i); failure != "" {
				return failure
			}
		}
		if m.used+len(m.open)*maxTurnTokens > m.budget {
			return fmt.Sprintf("%d tokens used and %d turns under way of a budget of %d", m.used, len(m.open), m.budget)
		}
	}
	return ""
}

// openTurn opens a turn at a random daemon.
func (m *move) openTurn(i int) string {
	counted := m.used + len(m.open)*maxTurnTokens
	for until, tokens := range m.recent {
		if until.After(time.Now()) {
			counted += tokens
		}
	}
	turn := newTurn(fmt.Sprint(i), "", m.budget)
	turn.History, turn.Lasts = false, time.Hour
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	g, err := m.zone.daemons[m.rand.IntN(6)].granter.Open(ctx, turn)
	switch {
	case err == nil:
		m.open = append(m.open, g)
	case errors.Is(err, budgeter.ErrExhausted):
		if !m.faulty && counted+maxTurnTokens <= m.budget {
			return fmt.Sprintf("turn %d is denied although %d of %d tokens are used", i, counted, m.budget)
		}
	case !m.faulty:
		return err.Error()
	}
	return ""
}

// close ends a random open turn.
func (m *move) close() {
	i := m.rand.IntN(len(m.open))
	g := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	used := m.rand.IntN(maxTurnTokens + 1)
	m.used += used
	m.recent[time.Now().Add(time.Second)] += maxTurnTokens - used
	g.Close(used)
}

// TestReturnIsServed checks that peers can call the method under its name over RPC: a method
// with another signature would be left out without an error.
func TestReturnIsServed(t *testing.T) {
	is := is.New(t)
	z := newZone(1, 0, rand.New(rand.NewPCG(1, 1)))
	defer z.daemons[0].cancel()
	is.NoErr(runTurn(z.daemons[0], "0", 8*maxTurnTokens))
	s := rpc.NewServer()
	is.NoErr(s.RegisterName(granter.ServiceName, z.daemons[0].service))
	client, server := net.Pipe()
	go s.ServeConn(server)
	c := rpc.NewClient(client)
	defer c.Close()
	var reply granter.ReturnReply
	is.NoErr(c.Call("Steward.Return", granter.ReturnRequest{Program: "p", Left: time.Second}, &reply))
	is.True(reply.Changed)
	var again granter.ReturnReply
	is.NoErr(c.Call("Steward.Return", granter.ReturnRequest{Program: "p", Left: time.Second}, &again))
	is.True(!again.Changed) // Nothing unused is left.
}
