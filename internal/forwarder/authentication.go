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
// configuration takes to be in force. One that was admitted before the configuration named accounts
// is not sent, since its replica would get the client's key and no name of an account.
func (f *Forwarder) reauthenticate(j *job) *classifier.Fault {
	if j.hasAccounts && j.account == nil {
		return nil
	}
	certainty := f.catalog.Certainty(time.Now(), f.options.ConfigAge)
	c := f.catalog.Current()
	if !c.HasAccounts() {
		return nil
	}
	var fault *classifier.Fault
	if j.hasAccounts {
		var account *cataloger.Account
		account, fault = f.authenticate(c, j.route, j.request.Credential, certainty)
		if fault == nil && account.Name() == j.account.Name() {
			return nil
		}
	}
	switch {
	case j.possibleRuns > 0:
		return f.fault(j, classifier.TargetBroken)
	case fault == nil:
		return classifier.New(classifier.ConfigUnsure, classifier.RanNo, "the request was admitted for another account, or for none, than configuration version %d has for its key", c.Version()).After(f.retryAfter())
	}
	return fault
}
