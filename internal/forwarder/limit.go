package forwarder

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/ratelimiter"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// minLimitRetry is the shortest time after which the client of an account at its limit is asked to come back. The
// header has hundredths of a second.
const minLimitRetry = 10 * time.Millisecond

// takeCredit takes the credit of the request's account that its next attempt needs, unless it has one. A request that
// was refused by a replica keeps its credit, and one that may have run needs another.
func (f *Forwarder) takeCredit(ctx context.Context, j *job) *classifier.Fault {
	if f.limits == nil || j.account == nil || j.credit.Held() {
		return nil
	}
	c := f.catalog.Current()
	l, limited := c.RateLimits()[j.account.Name()]
	if !limited {
		return nil
	}
	credit, outcome, wait := f.limits.Take(ctx, j.account.Name(), l, c.Version())
	switch {
	case outcome == ratelimiter.Granted:
		j.credit = credit
		return nil
	case j.possibleRuns > 0:
		return f.fault(j, classifier.TargetBroken)
	case outcome == ratelimiter.Exhausted:
		return classifier.New(classifier.ShareExhausted, classifier.RanNo, "account %q is at its limit of %v", j.account.Name(), l).After(max(minLimitRetry, wait))
	}
	return classifier.New(classifier.OwnerAway, classifier.RanNo, "no daemon that counts the requests of account %q was reached", j.account.Name()).After(withJitter(wait))
}
