package ratelimiter

import "time"

// arc is what one member knows of an arc in whose trio it is.
type arc struct {
	buckets map[uint64]*bucket
	// reserves are the buckets that apply while it is not known who holds the arc.
	reserves map[uint64]*bucket

	// holding is set while this member takes credits, with a lease that began when the voter was last asked.
	holding     bool
	voter       string
	leasedSince time.Time
	// term changes with each holder, so that a late reply does not revive a lease.
	term uint64
	// knownSince is the time since when all credits taken are known, and lostAt when this member followed a holder that
	// had not handed the arc over, zero for never. They tell what an account without a bucket may hold.
	knownSince, lostAt time.Time

	// promised is the process of the member that this one voted for, and promisedTo its name, until a time.
	promised, promisedTo string
	promisedUntil        time.Time
	// holder is the process that last held the arc, as far as is known, and exact is set if it has handed it over.
	holder string
	exact  bool
	usedAt time.Time
}

func newArc() *arc {
	return &arc{buckets: map[uint64]*bucket{}, reserves: map[uint64]*bucket{}}
}

// bucket returns the bucket of an account at the arc's holder.
func (a *arc) bucket(key uint64, l Limit, version uint64, t Tolerance, now time.Time) *bucket {
	b := a.buckets[key]
	if b == nil {
		b = a.unheard(l, version, t, now)
		a.buckets[key] = b
	}
	b.setLimit(l, version, t.window, now)
	return b
}

// unheard returns the bucket of an account that was not heard of: it holds no more than it was refilled since all
// credits taken are known, or since a holder was lost.
func (a *arc) unheard(l Limit, version uint64, t Tolerance, now time.Time) *bucket {
	b := newBucket(l, version, 1+l.rate*now.Sub(a.knownSince).Seconds(), now)
	if !a.lostAt.IsZero() {
		lost := newBucket(l, version, l.burst, a.lostAt)
		lost.lose(t.unsynced(l))
		lost.advance(now)
		b.credits = min(b.credits, lost.credits)
	}
	b.changedAt = time.Time{}
	return b
}

// reserve returns the bucket of an account while it is not known who holds the arc. A process begins with an empty
// one, so that the reserve is not given again at each start.
func (a *arc) reserve(key uint64, l Limit, t Tolerance, started, now time.Time) *bucket {
	l = t.reserve(l)
	b := a.reserves[key]
	if b == nil || b.limit != l {
		held := l.rate * now.Sub(started).Seconds()
		if b != nil {
			b.advance(now)
			held = b.credits
		}
		b = newBucket(l, 0, held, now)
		a.reserves[key] = b
	}
	return b
}

// entries returns the accounts that changed, or all.
func (a *arc) entries(all bool, now time.Time) (list []Entry) {
	for key, b := range a.buckets {
		if all || b.changed {
			b.advance(now)
			list = append(list, Entry{Key: key, Credits: b.credits, Rate: b.limit.rate, Burst: b.limit.burst, Version: b.version})
		}
	}
	return list
}

// store replaces accounts by what a holder or candidate says of them.
func (a *arc) store(list []Entry, now time.Time) {
	for _, e := range list {
		a.buckets[e.Key] = e.bucket(now)
	}
}

func (e Entry) bucket(now time.Time) *bucket {
	credits := e.Credits
	if !(credits > 0) { // NaN would pass each comparison.
		credits = 0
	}
	return newBucket(NewLimit(e.Rate, e.Burst), e.Version, credits, now)
}

// merge adds what another member knows. Of two statements about an account, the lower one counts, since the other
// member may have seen credits taken that this one did not. If loss is set, the holder that told the other member was
// lost, and may have taken more.
func (a *arc) merge(list []Entry, loss bool, t Tolerance, now time.Time) {
	for _, e := range list {
		b := e.bucket(now)
		if loss {
			b.lose(t.unsynced(b.limit))
		}
		own := a.buckets[e.Key]
		if own == nil {
			a.buckets[e.Key] = b
			continue
		}
		own.advance(now)
		if b.version > own.version {
			own.setLimit(b.limit, b.version, t.window, now)
		}
		own.credits = min(own.credits, b.credits)
	}
}

// evict removes the buckets that hold what an account does that was not heard of.
func (a *arc) evict(t Tolerance, now time.Time) {
	for key, b := range a.buckets {
		if b.full(now) && b.unsynced == 0 && !b.changed && (!a.holding || a.unheard(b.limit, 0, t, now).full(now)) {
			delete(a.buckets, key)
		}
	}
	for key, b := range a.reserves {
		if b.full(now) && now.Sub(a.usedAt) > idleAfter {
			delete(a.reserves, key)
		}
	}
}
