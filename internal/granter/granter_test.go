package granter_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/storer"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

const maxTurnTokens = 100

func newTurn(id, parent string, budget int) granter.Turn {
	return granter.Turn{ID: id, Program: "p", Parent: parent, History: true, Budget: budget, Tokens: maxTurnTokens, Lasts: 3 * time.Second}
}

// TestProgramsAgainstAnOracle runs random turns of one program at several daemons while
// daemons are killed, calls between them are lost or delayed, and the store loses
// replies. The tokens used must not exceed the budget, and each history must match the
// reference model.
func TestProgramsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runProgram(rand.New(rand.NewPCG(seed, 0))) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runProgram returns a description of the first violation, or an empty string.
func runProgram(r *rand.Rand) string {
	z := newZone(4, 1+r.IntN(6), rand.New(rand.NewPCG(r.Uint64(), 1)))
	defer z.stop()
	z.store.SetFaults(emulator.StoreFaults{LoseEvery: []int{0, 3, 7}[r.IntN(3)]})
	budget := maxTurnTokens * (3 + r.IntN(20))
	model, ids, used := map[string]string{"": ""}, []string{""}, 0
	for i := range 40 {
		if r.IntN(10) == 0 {
			z.start(r.IntN(4))
		}
		d := z.daemons[r.IntN(4)]
		turn := newTurn(fmt.Sprintf("t%d", i), ids[r.IntN(len(ids))], budget)
		ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		g, err := d.granter.Open(ctx, turn)
		cancel()
		switch {
		case errors.Is(err, budgeter.ErrExhausted):
			continue
		case err != nil:
			return fmt.Sprintf("turn %s after %q: %v", turn.ID, turn.Parent, err)
		}
		if got := string(bytes.Join(g.Chain().Texts(), nil)); got != model[turn.Parent] {
			return fmt.Sprintf("history of %s is %q, want %q", turn.ID, got, model[turn.Parent])
		}
		spent := r.IntN(maxTurnTokens + 1)
		if used += spent; used > budget {
			return fmt.Sprintf("%d tokens used of a budget of %d", used, budget)
		}
		if r.IntN(4) > 0 {
			text := fmt.Sprintf("<%d>", i)
			if err := g.Record(context.Background(), []byte(text)); err != nil {
				return err.Error()
			}
			model[turn.ID] = model[turn.Parent] + text
			ids = append(ids, turn.ID)
		}
		g.Close(spent)
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
	return ""
}

// TestTurnsOnChangingDaemonsCostFewWrites sends each turn of a program to a different
// daemon, as happens in a large deployment, and bounds the reads and writes that this costs.
func TestTurnsOnChangingDaemonsCostFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(8, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		parent := ""
		for i := range 8 {
			g, err := z.daemons[i].granter.Open(context.Background(), newTurn(fmt.Sprint(i), parent, 100*maxTurnTokens))
			is.NoErr(err)
			is.Equal(g.Chain().Len(), i)
			is.NoErr(g.Record(context.Background(), []byte("x")))
			g.Close(10)
			parent = fmt.Sprint(i)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(z.store.Counts().Reads, 0) // The coordinator caches every turn and holds the tokens.
		is.True(z.commits() <= 8+2)         // One write per turn, plus the budget when its reservation grows.
	})
}

// TestAHomeThatIsSilentDelaysOneTurn checks that only the first turn sent to an
// unresponsive coordinator waits for the timeout; later turns avoid that coordinator.
func TestAHomeThatIsSilentDelaysOneTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		z.daemons[1].unresponsive.Store(true)
		slow := 0
		for i := range 40 {
			turn := newTurn(fmt.Sprint(i), "", maxTurnTokens)
			turn.Program = fmt.Sprintf("p%d", i)
			began := time.Now()
			g, err := z.daemons[0].granter.Open(context.Background(), turn)
			is.NoErr(err)
			g.Close(0)
			if time.Since(began) > 100*time.Millisecond {
				slow++
			}
		}
		is.Equal(slow, 1)
	})
}

// TestAThrottledStoreGetsNoMoreWrites guards against a daemon that opens a turn itself
// because the coordinator has to wait for a store that serves fewer writes than it gets: its
// own writes are more of them, and the program's budget then has one more holder.
func TestAThrottledStoreGetsNoMoreWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		coordinator, caller := z.daemons[1], z.daemons[0]
		coordinator.table.throttled.Store(true)
		refused := 0
		for i := range 40 {
			turn := newTurn(fmt.Sprint(i), "", maxTurnTokens)
			turn.Program = fmt.Sprintf("p%d", i)
			if _, remote := assigner.New(caller.address, caller).Of(turn.Program); !remote {
				continue
			}
			_, err := caller.granter.Open(context.Background(), turn)
			is.True(errors.Is(err, storer.ErrThrottled))
			refused++
		}
		is.Equal(caller.table.commits, 0)
		is.True(refused > 5)
	})
}

// TestUnusedTokensComeBack checks that the unused tokens of a closed turn become available
// again, unless the coordinator never receives the close call.
func TestUnusedTokensComeBack(t *testing.T) {
	rows := []struct {
		name  string
		after time.Duration
		fault func(z *zone, coordinator *daemon)
		want  bool
	}{
		{"closed", 2 * time.Second, func(*zone, *daemon) {}, true},
		{"first close calls are lost", 5 * time.Second, func(_ *zone, coordinator *daemon) {
			coordinator.unresponsive.Store(true)
			time.AfterFunc(time.Second, func() { coordinator.unresponsive.Store(false) })
		}, true},
		{"all close calls are lost", 20 * time.Second, func(_ *zone, coordinator *daemon) { coordinator.unresponsive.Store(true) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
				defer z.stop()
				// The budget holds one turn, which uses none of its tokens.
				turn := newTurn("1", "", maxTurnTokens)
				g, err := z.daemons[0].granter.Open(context.Background(), turn)
				is.NoErr(err)
				caller, coordinator := z.daemons[0], z.daemons[1]
				if g.Coordinator() == "" {
					g.Close(0)
					g, err = z.daemons[1].granter.Open(context.Background(), turn)
					is.NoErr(err)
					caller, coordinator = coordinator, caller
				}
				is.Equal(g.Coordinator(), coordinator.address)
				row.fault(z, coordinator)
				g.Close(0)
				time.Sleep(row.after)
				coordinator.unresponsive.Store(false)
				_, err = caller.granter.Open(context.Background(), turn)
				is.Equal(err == nil, row.want)
				is.True(err == nil || errors.Is(err, budgeter.ErrExhausted))
			})
		})
	}
}

// TestALeavingHomeOpensNothing checks that a daemon that leaves opens no turns for peers.
func TestALeavingHomeOpensNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		z.daemons[1].granter.Leave()
		for i := range 20 {
			turn := newTurn(fmt.Sprint(i), "", maxTurnTokens)
			turn.Program = fmt.Sprintf("p%d", i)
			g, err := z.daemons[0].granter.Open(context.Background(), turn)
			is.NoErr(err)
			is.Equal(g.Coordinator(), "")
		}
		_, _, served := z.daemons[1].granter.Counts()
		is.Equal(served, int64(0))
	})
}
