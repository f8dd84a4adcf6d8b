package selector

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/assigner"
	"pimentorail.example/pimentorail/internal/ranker"
	"pimentorail.example/pimentorail/internal/tracker"
)

// Choice is a chosen replica. The caller must call End when the request is over.
type Choice struct {
	Placement
	Replica *tracker.Replica
	// CoordinatorName is the name of the coordinator that chose, empty if this daemon chose itself.
	CoordinatorName string

	selector    *Selector
	coordinator assigner.Peer
	id          string
	chosenAt    time.Time
	suspicion   Suspicion
}

// ReportLoad records a load report of the replica, and sends it to the coordinator if
// that chose the replica.
func (c *Choice) ReportLoad(l ranker.Load) {
	c.selector.views.reportLoad(c.Instance, l)
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Load: l, Loaded: true})
	}
}

// ReportLimit records the limit that the replica named in its response, in requests a second,
// or that it named none, and reports it to the coordinator if that chose the replica. It
// returns true if this daemon knew another limit or none.
func (c *Choice) ReportLimit(rate float64, named bool) bool {
	if rate = max(rate, minRate); !named {
		rate = 0
	}
	limits := c.selector.views.limits
	now := time.Now()
	if rate == 0 && c.Limit.Rate == 0 && limits.of(c.Instance, now).Rate == 0 {
		return false
	}
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Limit: rate, Limited: true})
	}
	return limits.report(c.Instance, rate, c.chosenAt, now)
}

// IsEnding reports whether the replica has announced its end, in a response or in its row.
func (c *Choice) IsEnding() bool { return c.selector.views.tracker.IsEnding(c.Replica) }

// Owns reports whether a connection to the replica, opened at a time, is known to lead to the
// process of the instance that was chosen.
func (c *Choice) Owns(opened time.Time) bool { return c.selector.views.tracker.Owns(c.Replica, opened) }

// Outlived reports whether the chosen instance is certain to have lived after a connection to the
// replica was opened.
func (c *Choice) Outlived(opened time.Time) bool {
	return c.selector.views.tracker.Outlived(c.Replica, opened)
}

// Confirmed reports whether the process of the instance was not seen to end.
func (c *Choice) Confirmed() bool {
	return !c.selector.views.tracker.SawEndSince(c.Replica, time.Time{})
}

// Identified records that the replica named the start time of the chosen instance on a
// connection that was opened at a time.
func (c *Choice) Identified(opened time.Time) { c.selector.views.tracker.Identified(c.Replica, opened) }

// AwaitOwned waits until Owns is true or the context ends, and returns Owns.
func (c *Choice) AwaitOwned(ctx context.Context, opened time.Time) bool {
	return c.selector.views.tracker.AwaitOwned(ctx, c.Replica, opened)
}

// ReportLeaving records that the replica announced its end, and reports it to the
// coordinator if that chose the replica. It returns true for the first announcement.
func (c *Choice) ReportLeaving() bool {
	first := c.selector.views.tracker.Leave(c.Instance, time.Now())
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Leaving: true})
	}
	return first
}

// End records the end of the request, and reports it to the coordinator if that chose
// the replica, with the end of the replica's process if that was seen meanwhile.
func (c *Choice) End(outcome Outcome) {
	c.selector.views.end(c.Instance, c.suspicion, outcome, c.chosenAt)
	if c.id != "" {
		c.selector.reporter.enqueue(c.coordinator, Report{ID: c.id, Ended: true, Outcome: outcome, ProcessEnded: c.sawEnd()})
	}
}

// sawEnd reports whether the process of the instance was seen to end after it was chosen.
func (c *Choice) sawEnd() bool {
	return c.Replica != nil && c.selector.views.tracker.SawEndSince(c.Replica, c.chosenAt)
}
