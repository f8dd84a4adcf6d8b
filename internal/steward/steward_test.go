package steward_test

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

	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/emulator"
	"pimentorail.example/pimentorail/internal/seeder"
	"pimentorail.example/pimentorail/internal/steward"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

const most = 100

func need(id, parent string, budget int) steward.Turn {
	return steward.Turn{ID: id, Program: "p", Parent: parent, History: true, Budget: budget, Tokens: most, Lasts: 3 * time.Second}
}

// TestProgramsAgainstAnOracle plays turns of one program at several daemons while
// daemons are killed, calls between them get lost or come late, and the store
// loses answers. Tokens must never exceed the budget and histories never differ.
func TestProgramsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		broken := ""
		synctest.Test(t, func(*testing.T) { broken = playProgram(rand.New(rand.NewPCG(seed, 0))) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// playProgram returns what broke, or nothing.
func playProgram(r *rand.Rand) string {
	z := newZone(4, 1+r.IntN(6), rand.New(rand.NewPCG(r.Uint64(), 1)))
	defer z.end()
	z.store.SetFaults(emulator.StoreFaults{LoseEvery: []int{0, 3, 7}[r.IntN(3)]})
	budget := most * (3 + r.IntN(20))
	oracle, ids, used := map[string]string{"": ""}, []string{""}, 0
	for i := range 40 {
		if r.IntN(10) == 0 {
			z.start(r.IntN(4))
		}
		d := z.daemons[r.IntN(4)]
		n := need(fmt.Sprintf("t%d", i), ids[r.IntN(len(ids))], budget)
		ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		g, err := d.steward.Open(ctx, n)
		cancel()
		switch {
		case errors.Is(err, budgeter.ErrExhausted):
			continue
		case err != nil:
			return fmt.Sprintf("turn %s after %q: %v", n.ID, n.Parent, err)
		}
		if got := string(bytes.Join(g.Chain().Texts(), nil)); got != oracle[n.Parent] {
			return fmt.Sprintf("history of %s is %q, want %q", n.ID, got, oracle[n.Parent])
		}
		spent := r.IntN(most + 1)
		if used += spent; used > budget {
			return fmt.Sprintf("%d tokens of %d handed out", used, budget)
		}
		if r.IntN(4) > 0 {
			text := fmt.Sprintf("<%d>", i)
			if err := g.Record(context.Background(), []byte(text)); err != nil {
				return err.Error()
			}
			oracle[n.ID] = oracle[n.Parent] + text
			ids = append(ids, n.ID)
		}
		g.Close(spent)
		time.Sleep(time.Duration(r.IntN(700)) * time.Millisecond)
	}
	return ""
}

// TestWanderingTurnsCostFewWrites replays a program whose turns reach another
// daemon each time, as clients in a large deployment do.
func TestWanderingTurnsCostFewWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(8, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.end()
		parent := ""
		for i := range 8 {
			g, err := z.daemons[i].steward.Open(context.Background(), need(fmt.Sprint(i), parent, 100*most))
			is.NoErr(err)
			is.Equal(g.Chain().Len(), i)
			is.NoErr(g.Record(context.Background(), []byte("x")))
			g.Close(10)
			parent = fmt.Sprint(i)
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(z.store.Counts().Reads, 0) // The home knows every turn and holds the tokens.
		is.True(z.commits() <= 8+2)         // Each turn once, and the budget when its home needs more.
	})
}

func TestAHomeThatIsSilentDelaysOneTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.end()
		z.daemons[1].silent.Store(true)
		slow := 0
		for i := range 40 {
			n := need(fmt.Sprint(i), "", most)
			n.Program = fmt.Sprintf("p%d", i)
			began := time.Now()
			g, err := z.daemons[0].steward.Open(context.Background(), n)
			is.NoErr(err)
			g.Close(0)
			if time.Since(began) > 100*time.Millisecond {
				slow++
			}
		}
		is.Equal(slow, 1)
	})
}

func TestUnusedTokensComeBack(t *testing.T) {
	rows := []struct {
		name  string
		after time.Duration
		lose  func(z *zone, home *daemon)
		want  bool
	}{
		{"closed", 2 * time.Second, func(*zone, *daemon) {}, true},
		{"the home did not hear of it at first", 5 * time.Second, func(_ *zone, home *daemon) {
			home.silent.Store(true)
			time.AfterFunc(time.Second, func() { home.silent.Store(false) })
		}, true},
		{"the home never heard of it", 20 * time.Second, func(_ *zone, home *daemon) { home.silent.Store(true) }, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
				defer z.end()
				// A budget of one turn, most of which is not used.
				n := need("1", "", most)
				g, err := z.daemons[0].steward.Open(context.Background(), n)
				is.NoErr(err)
				asker, home := z.daemons[0], z.daemons[1]
				if g.Home() == "" {
					g.Close(0)
					g, err = z.daemons[1].steward.Open(context.Background(), n)
					is.NoErr(err)
					asker, home = home, asker
				}
				is.Equal(g.Home(), home.address)
				row.lose(z, home)
				g.Close(0)
				time.Sleep(row.after)
				home.silent.Store(false)
				_, err = asker.steward.Open(context.Background(), n)
				is.Equal(err == nil, row.want)
				is.True(err == nil || errors.Is(err, budgeter.ErrExhausted))
			})
		})
	}
}

func TestALeavingHomeOpensNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.end()
		z.daemons[1].steward.Leave()
		for i := range 20 {
			n := need(fmt.Sprint(i), "", most)
			n.Program = fmt.Sprintf("p%d", i)
			g, err := z.daemons[0].steward.Open(context.Background(), n)
			is.NoErr(err)
			is.Equal(g.Home(), "")
		}
		_, _, served := z.daemons[1].steward.Counts()
		is.Equal(served, int64(0))
	})
}
