package granter_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/scoper"
)

// TestAFormerCoordinatorHidesNoTurn guards against a turn that counts as missing, because the
// coordinator of its program is a daemon of the previous build, which does not find rows of
// accounts.
func TestAFormerCoordinatorHidesNoTurn(t *testing.T) {
	is := is.New(t)
	z := newZone(2, 0, rand.New(rand.NewPCG(1, 1)))
	defer func() {
		for _, d := range z.daemons {
			d.cancel()
		}
	}()
	d, s := z.daemons[0], scoper.Of("north")
	z.daemons[1].table.former.Store(true)
	asked := false
	for i := range 20 { // The other daemon coordinates some of the programs.
		id, program := fmt.Sprint("t", i), fmt.Sprint("p", i)
		first := granter.Turn{ID: s.ID(id), Program: s.ID(program), History: true, Lasts: 1}
		g, err := d.granter.Open(context.Background(), first)
		is.NoErr(err)
		is.NoErr(g.Record(context.Background(), []byte("said;")))
		asked = asked || g.Coordinator() != ""
		z.start(0) // With empty memory.
		d = z.daemons[0]
		g, err = d.granter.Open(context.Background(), granter.Turn{ID: s.ID(id + "-2"), Program: s.ID(program), Parent: s.ID(id), History: true, Budget: 1000, Tokens: 10, Lasts: 1})
		is.NoErr(err)
		is.Equal(string(bytes.Join(g.Chain().Texts(), nil)), "said;")
		_, err = d.granter.Open(context.Background(), granter.Turn{ID: s.ID("x"), Program: s.ID(program), Parent: s.ID("missing"), History: true, Lasts: 1})
		is.True(errors.Is(err, archivist.ErrNoTurn))
	}
	is.True(asked)
}
