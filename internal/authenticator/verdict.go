package authenticator

import "pimentorail.example/pimentorail/internal/cataloger"

// Verdict is the decision about a request.
type Verdict int

const (
	// Undecided requests are refused for now, since the daemon can't know whether a newer
	// configuration admits them.
	Undecided Verdict = iota
	// Rejected requests are refused.
	Rejected
	// Admitted requests run.
	Admitted
)

// String returns the name that logs use.
func (v Verdict) String() string { return [...]string{"undecided", "rejected", "admitted"}[v] }

// Decide decides whether a request on a route of the catalog runs, and for which account, nil
// for none.
//
// A known key counts during an outage, since refusing it would end the service of every account.
// It does not count at a process that has just resumed, whose keys may have been withdrawn long
// before, and which learns of it within moments.
func Decide(catalog *cataloger.Catalog, route *cataloger.Route, credential Credential, certainty cataloger.Certainty) (Verdict, *cataloger.Account) {
	if !catalog.HasAccounts() {
		return Admitted, nil
	}
	account := credential.Account(catalog)
	switch {
	case route.Public:
		return Admitted, account
	case certainty == cataloger.Stalled:
		return Undecided, nil
	case account != nil:
		return Admitted, account
	case certainty == cataloger.Confirmed:
		return Rejected, nil
	}
	return Undecided, nil
}
