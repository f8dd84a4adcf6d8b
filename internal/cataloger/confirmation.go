package cataloger

import "time"

const (
	// maxAttempt and maxAttemptGap are the longest duration of an attempt to read the
	// configuration and the longest time between the ends of two attempts. A daemon gives up an
	// attempt after 2.3 s and pauses for 0.15 s; more means that its process did not run.
	maxAttempt    = 2500 * time.Millisecond
	maxAttemptGap = 2600 * time.Millisecond
	// resumptionGrace is the time for which a process that did not run tries to read the
	// configuration before that counts as an outage. A way through a peer is found in 1.1 s.
	resumptionGrace = 1500 * time.Millisecond
)

// confirmation is the state of the reads of the configuration. It distinguishes an outage, in
// which attempts fail, from a process that was frozen and made none. It has no clock or lock.
type confirmation struct {
	// asOf is the last time for which the catalog is known to be the newest.
	asOf time.Time
	// triedAt is the end of the last attempt, and resumedAt that of the first attempt after the
	// process did not run.
	triedAt, resumedAt time.Time
}

// try records an attempt to read the configuration.
func (c *confirmation) try(began, ended time.Time) {
	if !c.triedAt.IsZero() && (elapsed(began, ended) > maxAttempt || elapsed(c.triedAt, ended) > maxAttemptGap) {
		c.resumedAt = ended
	}
	c.triedAt = ended
}

// confirm records that the catalog was the newest at a time.
func (c *confirmation) confirm(asOf time.Time) {
	if asOf.After(c.asOf) {
		c.asOf = asOf
	}
}

// certainty returns what is known at a time, if a catalog may have an age.
func (c *confirmation) certainty(now time.Time, maxAge time.Duration) Certainty {
	switch {
	case c.triedAt.IsZero(), elapsed(c.asOf, now) <= maxAge: // Without attempts, the catalog is not read from anywhere.
		return Confirmed
	case elapsed(c.triedAt, now) > maxAttemptGap, !c.resumedAt.IsZero() && elapsed(c.resumedAt, now) < resumptionGrace:
		return Stalled
	}
	return Unreachable
}

// elapsed returns the time between two readings of the clock. The steady clock does not count
// the time for which a VM is suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
