package forwarder

import (
	"time"

	"pimentorail.example/pimentorail/internal/authenticator"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// authenticate returns the account for which a request runs, nil for none, or a fault.
func (f *Forwarder) authenticate(c *cataloger.Catalog, r *cataloger.Route, credential authenticator.Credential, certainty cataloger.Certainty) (*cataloger.Account, *classifier.Fault) {
	verdict, account := authenticator.Decide(c, r, credential, certainty)
	switch verdict {
	case authenticator.Admitted:
		return account, nil
	case authenticator.Rejected:
		return nil, classifier.New(classifier.BadKey, classifier.RanNo, "route %q needs the key of an account, and the request's is %s", r.Name, describe(credential))
	}
	return nil, classifier.New(classifier.ConfigUnsure, classifier.RanNo, "configuration version %d is not confirmed (%s), so the request's key can't be judged", c.Version(), certainty).After(f.retryAfter())
}

// describe returns what is wrong with a credential that belongs to no account.
func describe(c authenticator.Credential) string {
	if s := c.String(); s != "presented" {
		return s
	}
	return "unknown"
}

// reauthenticate returns a fault if the key with which a request was admitted does not hold any
// more before an attempt. A request may wait for a replica for longer than a version of the
// configuration takes to be in force.
func (f *Forwarder) reauthenticate(j *job) *classifier.Fault {
	if j.account == nil {
		return nil
	}
	certainty := f.catalog.Certainty(time.Now(), f.options.ConfigAge)
	c := f.catalog.Current()
	account, fault := f.authenticate(c, j.route, j.request.Credential, certainty)
	switch {
	case fault == nil && (!c.HasAccounts() || account.Name() == j.account.Name()):
		return nil
	case j.possibleRuns > 0:
		return f.fault(j, classifier.TargetBroken)
	case fault == nil:
		return classifier.New(classifier.ConfigUnsure, classifier.RanNo, "the key of the request is not that of the account since configuration version %d", c.Version()).After(f.retryAfter())
	}
	return fault
}
