package authenticator_test

import (
	"fmt"
	"testing"

	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/cataloger"
)

// BenchmarkAuthentication measures one request's key among the accounts of the two-year size.
func BenchmarkAuthentication(b *testing.B) {
	var list []*cataloger.Account
	for i := range 40_000 {
		list = append(list, cataloger.NewAccount(fmt.Sprint("account-", i), cataloger.DigestKey(fmt.Sprint("key-", i))))
	}
	catalog, route, values := newCatalog(b, list...), &cataloger.Route{}, []string{"Bearer key-17"}
	for b.Loop() {
		if v, _ := authenticator.Decide(catalog, route, authenticator.Parse(values), cataloger.Confirmed); v != authenticator.Admitted {
			b.Fatal(v)
		}
	}
}
