package server

import "time"

// registryOutage is the time for which this daemon could not read the registry. It has no
// clock or lock; the registry's follower calls it from one goroutine.
type registryOutage struct {
	readAt, beganAt, endedAt time.Time
}

// read records a read of the registry.
func (o *registryOutage) read(now time.Time) { o.readAt = now }

// begin records the first failure. The time began with the last read before, or with an
// earlier outage whose grace period is not over yet: replicas whose rows were missing then may
// still be undecided.
func (o *registryOutage) begin(now time.Time) {
	if o.endedAt.IsZero() || now.Sub(o.endedAt) > outageGrace {
		o.beganAt = o.readAt
	}
}

// end records the first read after the failures. It returns when the time began, and false if
// the registry had not been read before.
func (o *registryOutage) end(now time.Time) (time.Time, bool) {
	o.endedAt = now
	return o.beganAt, !o.beganAt.IsZero()
}
