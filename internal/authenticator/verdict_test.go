package authenticator_test

import (
	"testing"

	"github.com/matryer/is"

	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/cataloger"
)

func newCatalog(t testing.TB, accounts ...*cataloger.Account) *cataloger.Catalog {
	t.Helper()
	c, err := cataloger.New(1, nil, nil, cataloger.Limits{}).WithAccounts(accounts)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestDecide covers each combination of a route, a credential and a certainty. It guards against
// a request that runs without a key or for a wrong account, and against a 401 where the daemon
// can't know.
func TestDecide(t *testing.T) {
	const (
		undecided = authenticator.Undecided
		rejected  = authenticator.Rejected
		admitted  = authenticator.Admitted
	)
	c := newCatalog(t, cataloger.NewAccount("north", cataloger.DigestKey("k")))
	known := []string{"Bearer k"}
	for _, row := range []struct {
		values  []string
		public  bool
		account string
		// verdicts are those of a daemon whose configuration is confirmed, can't be read, and
		// that has just resumed.
		verdicts [3]authenticator.Verdict
	}{
		{known, false, "north", [3]authenticator.Verdict{admitted, admitted, undecided}},
		{[]string{"Bearer K"}, false, "", [3]authenticator.Verdict{rejected, undecided, undecided}},
		{nil, false, "", [3]authenticator.Verdict{rejected, undecided, undecided}},
		{[]string{"Basic k"}, false, "", [3]authenticator.Verdict{rejected, undecided, undecided}},
		{[]string{"Bearer k", "Bearer k"}, false, "", [3]authenticator.Verdict{rejected, undecided, undecided}},
		{known, true, "north", [3]authenticator.Verdict{admitted, admitted, admitted}},
		{[]string{"Bearer other"}, true, "", [3]authenticator.Verdict{admitted, admitted, admitted}},
		{[]string{"k"}, true, "", [3]authenticator.Verdict{admitted, admitted, admitted}},
		{nil, true, "", [3]authenticator.Verdict{admitted, admitted, admitted}},
	} {
		for i, certainty := range []cataloger.Certainty{cataloger.Confirmed, cataloger.Unreachable, cataloger.Stalled} {
			is := is.New(t)
			verdict, account := authenticator.Decide(c, &cataloger.Route{Public: row.public}, authenticator.Parse(row.values), certainty)
			is.Equal(verdict, row.verdicts[i])
			if verdict == admitted {
				is.Equal(account.Name(), row.account)
			} else {
				is.Equal(account, nil)
			}
		}
	}
}

// TestNoKeyIsNeededWithoutAccounts guards against deployments without accounts in which a header
// of a client that means something else is judged.
func TestNoKeyIsNeededWithoutAccounts(t *testing.T) {
	is := is.New(t)
	c := cataloger.New(1, nil, nil, cataloger.Limits{})
	for _, certainty := range []cataloger.Certainty{cataloger.Confirmed, cataloger.Unreachable, cataloger.Stalled} {
		verdict, account := authenticator.Decide(c, &cataloger.Route{}, authenticator.Parse([]string{"Bearer k"}), certainty)
		is.Equal(verdict, authenticator.Admitted)
		is.Equal(account, nil)
	}
	// An empty list of accounts is one that holds nobody's key.
	verdict, _ := authenticator.Decide(newCatalog(t), &cataloger.Route{}, authenticator.Parse([]string{"Bearer k"}), cataloger.Confirmed)
	is.Equal(verdict, authenticator.Rejected)
}

// TestTheCredentialIsOneBearerKey guards against a value of which a part is taken for the key, and
// against a valid one that is refused for how it is written.
func TestTheCredentialIsOneBearerKey(t *testing.T) {
	c := newCatalog(t, cataloger.NewAccount("north", cataloger.DigestKey("k")))
	for value, known := range map[string]bool{
		"Bearer k": true, "bearer k": true, "BEARER k": true, "Bearer  k": true, "Bearer k ": true,
		"": false, "Bearer": false, "Bearer ": false, "k": false, "Bearerk": false, "Basic k": false, "Bearer k k": false, "Bearer k,k": false,
		"Bearer k, Bearer k": false, "Bearer \"k\"": false, "Bearer\tk": false, "Bearer k\x00": false, "Bearer K": false, " Bearer k": false, "Bearer, k": false,
	} {
		is := is.New(t)
		is.Equal(authenticator.Parse([]string{value}).Account(c) != nil, known)
	}
}

// FuzzParse checks that a header identifies an account only if it is the scheme and the equal key.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"Bearer k", "bearer  k", "Bearer k,k", "", "Basic k", "Bearer \xff"} {
		f.Add(s, "k", false)
	}
	f.Fuzz(func(t *testing.T, value, key string, twice bool) {
		if key == "" {
			return
		}
		values := []string{value}
		if twice {
			values = append(values, value)
		}
		credential := authenticator.Parse(values)
		account := credential.Account(newCatalog(t, cataloger.NewAccount("north", cataloger.DigestKey(key))))
		if account == nil {
			return
		}
		if twice || len(value) < len("bearer ")+len(key) || credential.String() != "presented" {
			t.Fatalf("%q identifies the account of key %q", values, key)
		}
		if got := trimScheme(value); got != key {
			t.Fatalf("%q identifies the account of key %q, not %q", values, key, got)
		}
	})
}

// trimScheme returns what follows the scheme, without the spaces around it.
func trimScheme(value string) string {
	rest := value[len("bearer "):]
	for rest != "" && (rest[0] == ' ' || rest[0] == '\t') {
		rest = rest[1:]
	}
	for rest != "" && (rest[len(rest)-1] == ' ' || rest[len(rest)-1] == '\t') {
		rest = rest[:len(rest)-1]
	}
	return rest
}
