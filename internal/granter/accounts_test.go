package granter_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/gob"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/internal/scoper"
)

// client is a scope and what the model knows of its turns and budgets.
type client struct {
	name     string
	scope    scoper.Scope
	accounts bool
	turns    map[string]string
	spent    map[string]int
}

// newClients returns the clients of three accounts, of none, and of a configuration that names none.
func newClients() []*client {
	list := []*client{{name: "no accounts"}}
	for _, a := range []string{"north", "south", "north:a", ""} {
		list = append(list, &client{name: a, scope: scoper.Of(a), accounts: true})
	}
	for _, c := range list {
		c.turns, c.spent = map[string]string{"": ""}, map[string]int{}
	}
	return list
}

// hostileID returns an id that may be taken for one of another client's, or for a part of its key.
func hostileID(r *rand.Rand, clients []*client, c *client) string {
	base := []string{"a", "b", "a/b", "a:b", "a.1", "é\u2028", strings.Repeat("x", 96), strings.Repeat("x", 97), strings.Repeat("x", 250), strings.Repeat("x", 249) + "y"}
	id := base[r.IntN(len(base))]
	other := clients[r.IntN(len(clients))]
	sum := sha256.Sum256([]byte(id))
	list := []string{id, id, id, strings.TrimSpace(other.scope.ID(id)), strings.TrimSpace(other.scope.String()) + "/" + id}
	if c.accounts {
		// Without accounts such an id may be the key of another row, as in the builds before accounts.
		list = append(list, id+"#1", id+"#2", hex.EncodeToString(sum[:]), "\xff"+id, "\xfe"+id, other.scope.ID(id))
	}
	return list[r.IntN(len(list))]
}

// TestAccountsAgainstAnOracle runs random turns of several accounts, with ids that are equal or made
// to be mistaken, at several daemons of a zone. Each history and each denial must match the model
// of the account.
func TestAccountsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		failure := ""
		synctest.Test(t, func(*testing.T) { failure = runAccounts(rand.New(rand.NewPCG(seed, 0))) })
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}

// runAccounts returns a description of the first difference from the model, or an empty string.
func runAccounts(r *rand.Rand) string {
	z := newZone(3, 0, rand.New(rand.NewPCG(r.Uint64(), 1)))
	defer z.stop()
	const budget = 3 * maxTurnTokens
	clients := newClients()
	for i := range 60 {
		if r.IntN(15) == 0 {
			z.start(r.IntN(3))
		}
		c := clients[r.IntN(len(clients))]
		id, parent, program := hostileID(r, clients, c), "", hostileID(r, clients, c)
		if r.IntN(2) == 0 {
			parent = hostileID(r, clients, c)
		}
		if _, known := c.turns[id]; known {
			continue // A turn never changes.
		}
		history, known := c.turns[parent]
		turn := granter.Turn{
			ID: c.scope.ID(id), Program: c.scope.ID(program), Parent: c.scope.ID(parent), History: true,
			Budget: budget, Tokens: maxTurnTokens, Lasts: 3 * time.Second,
		}
		ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
		g, err := z.daemons[r.IntN(3)].granter.Open(ctx, turn)
		cancel()
		what := fmt.Sprintf("turn %q after %q of program %q of account %q", id, parent, program, c.name)
		switch {
		case !known && errors.Is(err, archivist.ErrNoTurn):
			continue
		case known && c.spent[program]+maxTurnTokens > budget && errors.Is(err, budgeter.ErrExhausted):
			continue
		case err != nil:
			return fmt.Sprintf("%s, %d tokens spent, parent known %t: %v", what, c.spent[program], known, err)
		case !known:
			return what + " has a history that the account does not have"
		}
		if got := string(bytes.Join(g.Chain().Texts(), nil)); got != history {
			return fmt.Sprintf("history of %s is %.300q, want %.300q", what, got, history)
		}
		if c.spent[program] += maxTurnTokens; c.spent[program] > budget {
			return what + " exceeds its budget"
		}
		text := fmt.Sprintf("<%d of %s>", i, c.name)
		if c.accounts && r.IntN(3) == 0 {
			text += strings.Repeat("z", 9000) // Takes additional rows.
		}
		if err := g.Record(context.Background(), []byte(text)); err != nil {
			return fmt.Sprintf("record %s: %v", what, err)
		}
		c.turns[id] = history + text
		g.Close(maxTurnTokens)
		time.Sleep(2 * time.Second)
	}
	return ""
}

// These are the messages of the build before accounts, as far as they hold ids.
type (
	formerTurn        struct{ ID, Program, Parent string }
	formerOpenRequest struct {
		ID   string
		Turn formerTurn
	}
	formerCloseRequest struct {
		ID   string
		Kept *archivist.Turn
	}
	formerReturnRequest struct{ Program string }
)

// pass encodes a message and decodes it as another build does.
func pass(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(from); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(to); err != nil {
		t.Fatal(err)
	}
}

// TestFormerDaemonsKeepAccountsApart guards against a daemon of the build before accounts that
// joins turns or programs of two accounts, because a message names the account in a field that it
// doesn't know.
func TestFormerDaemonsKeepAccountsApart(t *testing.T) {
	is := is.New(t)
	north, south := scoper.Of("north"), scoper.Of("south")
	var opened [2]formerOpenRequest
	var closed [2]formerCloseRequest
	var returned [2]formerReturnRequest
	for n, s := range []scoper.Scope{north, south} {
		turn := granter.Turn{ID: s.ID("t"), Program: s.ID("p"), Parent: s.ID("t0"), History: true, Budget: 10, Tokens: 10}
		pass(t, granter.OpenRequest{ID: "g", Turn: turn, Left: time.Second, ReadsHistory: true}, &opened[n])
		pass(t, granter.CloseRequest{ID: "g", Kept: &archivist.Turn{ID: turn.ID, Parent: turn.Parent, Text: []byte("x")}}, &closed[n])
		pass(t, granter.ReturnRequest{Program: turn.Program}, &returned[n])
		is.Equal(opened[n].Turn, formerTurn{ID: turn.ID, Program: turn.Program, Parent: turn.Parent})
		is.Equal(closed[n].Kept.ID, turn.ID)
		is.Equal(returned[n].Program, turn.Program)
	}
	is.True(opened[0].Turn.ID != opened[1].Turn.ID)
	is.True(opened[0].Turn.Program != opened[1].Turn.Program)
	is.True(opened[0].Turn.Parent != opened[1].Turn.Parent)
	is.True(closed[0].Kept.ID != closed[1].Kept.ID)
	is.True(returned[0].Program != returned[1].Program)
}

// TestMessagesOfFormerDaemonsReachNoAccount guards against a former daemon's message, whose ids name
// no account, that spends an account's budget or adds to its history.
func TestMessagesOfFormerDaemonsReachNoAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(1, 0, rand.New(rand.NewPCG(1, 1)))
		defer z.stop()
		d, north := z.daemons[0], scoper.Of("north")
		open := func(id, parent, program string) (string, error) {
			g, err := d.granter.Open(context.Background(), granter.Turn{
				ID: id, Program: program, Parent: parent, History: true, Budget: 2 * maxTurnTokens, Tokens: maxTurnTokens, Lasts: time.Second,
			})
			if err != nil {
				return "", err
			}
			defer g.Close(maxTurnTokens)
			return string(bytes.Join(g.Chain().Texts(), nil)), g.Record(context.Background(), []byte("<"+id+">"))
		}
		_, err := open(north.ID("t1"), "", north.ID("p"))
		is.NoErr(err)
		// The turn t1 of another client and the budget of its program p.
		is.NoErr(d.service.Close(granter.CloseRequest{ID: "g0", Kept: &archivist.Turn{ID: "t1", Text: []byte("former")}}, &granter.CloseReply{}))
		is.NoErr(d.service.Close(granter.CloseRequest{ID: "g0", Kept: &archivist.Turn{ID: "t9", Text: []byte("former")}}, &granter.CloseReply{}))
		var r granter.OpenReply
		q := granter.OpenRequest{ID: "g1", Turn: granter.Turn{ID: "t2", Program: "p", Budget: 2 * maxTurnTokens, Tokens: 2 * maxTurnTokens, Lasts: time.Second}, Left: time.Second}
		is.NoErr(d.service.Open(q, &r))
		is.Equal(r.Outcome, granter.Granted)
		_, err = open(north.ID("t3"), north.ID("t9"), "")
		is.True(errors.Is(err, archivist.ErrNoTurn))
		history, err := open(north.ID("t3"), north.ID("t1"), north.ID("p"))
		is.NoErr(err)
		is.Equal(history, "<"+north.ID("t1")+">")
		// What an account has is not there for a request that names none.
		r = granter.OpenReply{}
		q = granter.OpenRequest{ID: "g2", Turn: granter.Turn{ID: "t4", Parent: "t3", History: true, Lasts: time.Second}, Left: time.Second}
		is.NoErr(d.service.Open(q, &r))
		is.Equal(r.Outcome, granter.NoTurn)
	})
}
