package scoper_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pimentorail.example/pimentorail/internal/scoper"
	"pimentorail.example/pimentorail/internal/seeder"
)

func TestMain(m *testing.M) {
	seeder.Prepare()
	os.Exit(m.Run())
}

// maxKeyBytes is the length of the longest key that the store takes.
const maxKeyBytes = 200

// named is an id as an account names it.
type named struct{ account, id string }

func (n named) scoped() string { return scoper.Of(n.account).ID(n.id) }

// drawID draws an id that a client may choose to be taken for another one.
func drawID(t *rapid.T, others []named) string {
	id := rapid.OneOf(
		rapid.StringOfN(rapid.RuneFrom([]rune("a/#: .%\x00é\u2028")), 0, 4, -1),
		rapid.SampledFrom([]string{"", "a", "a#1", "a#1.1", "a#2", "\xff", "\xfe", "\ufffd", "/", "../a", " a"}),
		rapid.Map(rapid.IntRange(90, 400), func(n int) string { return strings.Repeat("x", n) }),
	).Draw(t, "id")
	if len(others) == 0 {
		return id
	}
	other := rapid.SampledFrom(others).Draw(t, "other")
	sum := sha256.Sum256([]byte(other.id))
	return rapid.SampledFrom([]string{
		id, other.id, other.scoped(), strings.TrimSpace(other.scoped()), scoper.Of(other.account).String() + id, strings.TrimSpace(scoper.Of(other.account).String()) + ":" + id,
		hex.EncodeToString(sum[:]), "#" + hex.EncodeToString(sum[:]), other.id + "#1", other.scoped() + "#1", other.id + "x",
	}).Draw(t, "hostile id")
}

// TestScopedIDsDiffer guards against two accounts, or two ids of one, that share a row because the
// ids that their clients chose are joined, cut, hashed or encoded to the same text.
func TestScopedIDsDiffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := []string{"", "north", "south", "north:a", " north", "north#", strings.Repeat("n", 300)}
		var list []named
		for range rapid.IntRange(2, 8).Draw(t, "ids") {
			list = append(list, named{account: rapid.SampledFrom(accounts).Draw(t, "account"), id: drawID(t, list)})
		}
		for _, a := range list {
			scoped := a.scoped()
			if (scoped == "") != (a.id == "") {
				t.Fatalf("id %q has scoped id %q", a.id, scoped)
			}
			if scoped == "" {
				continue
			}
			if len(scoped) > maxKeyBytes-len(".0123456789abcdef.65536") || !strings.HasPrefix(scoped, " ") {
				t.Fatalf("scoped id %q of %d bytes", scoped, len(scoped))
			}
			if scoper.Account(scoped) != scoper.Of(a.account).String() {
				t.Fatalf("scoped id %q is one of scope %q", scoped, scoper.Account(scoped))
			}
			var decoded string
			if text, err := json.Marshal(scoped); err != nil || json.Unmarshal(text, &decoded) != nil || decoded != scoped {
				t.Fatalf("scoped id %q is %q after JSON", scoped, decoded)
			}
			for _, b := range list {
				other := b.scoped()
				if a != b && other == scoped {
					t.Fatalf("%q and %q have the scoped id %q", a, b, scoped)
				}
				if a != b && strings.HasPrefix(other, scoped+"#") {
					t.Fatalf("scoped id %q of %q can be the key of an additional row of %q", other, b, a)
				}
				if scoped == b.id && !strings.HasPrefix(b.id, " ") {
					t.Fatalf("scoped id %q is an id of a client", scoped)
				}
			}
		}
	})
}

// TestWithoutAccountsIDsStandForThemselves guards against other keys of rows in a deployment whose
// configuration names no accounts.
func TestWithoutAccountsIDsStandForThemselves(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"", "a", "a#1", "\xff", strings.Repeat("x", 300)} {
		is.Equal(scoper.Scope{}.ID(id), id)
		is.Equal(scoper.Account(id), "")
	}
	is.Equal(scoper.Scope{}.String(), "")
}

// TestKeysOfAccountsStay guards against a change of the keys under which accounts' rows are stored.
func TestKeysOfAccountsStay(t *testing.T) {
	is := is.New(t)
	s := scoper.Of("north")
	sum := sha256.Sum256([]byte("north"))
	prefix := " " + hex.EncodeToString(sum[:16])
	is.Equal(s.String(), prefix)
	is.Equal(s.ID("t1"), prefix+":t1")
	long := sha256.Sum256([]byte("t1#1"))
	is.Equal(s.ID("t1#1"), prefix+"#"+hex.EncodeToString(long[:]))
	is.True(scoper.Of("").String() != "")
}
