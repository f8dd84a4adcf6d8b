package ratelimiter

import (
	"math"
	"time"
)

// bucket is the token bucket of an account at one member. What it holds is refilled by the time that has
// passed since it was last looked at.
type bucket struct {
	limit Limit
	// version is that of the configuration which has the limit, and changedAt when the limit last changed.
	version   uint64
	changedAt time.Time
	credits   float64
	at        time.Time
	// unsynced is the number of credits taken that no other member knows of.
	unsynced float64
	// changed is set if the bucket differs from what was last sent to the member that would follow.
	changed bool
	// nextReturn is the first time that no refused client was given.
	nextReturn time.Time
	// rounds is how often these times have begun anew.
	rounds int
}

// newBucket returns a bucket that holds credits, at most those of the limit's burst.
func newBucket(l Limit, version uint64, credits float64, now time.Time) *bucket {
	return &bucket{limit: l, version: version, credits: min(credits, l.burst), at: now, changedAt: now}
}

// advance refills the bucket. A clock that goes back refills nothing.
func (b *bucket) advance(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.credits = min(b.limit.burst, b.credits+b.limit.rate*passed.Seconds())
		b.at = now
	}
}

// setLimit applies the limit of a version of the configuration, unless a newer one is applied. Of a burst that
// was lowered nothing remains. One that was raised is there at once, if the limit did not change within the
// window before, so that changes in succession don't give it again and again.
func (b *bucket) setLimit(l Limit, version uint64, window time.Duration, now time.Time) {
	if version < b.version || l == b.limit {
		b.version = max(b.version, version)
		return
	}
	b.advance(now)
	if raise := l.burst - b.limit.burst; raise > 0 && now.Sub(b.changedAt) >= window {
		b.credits += raise
	}
	b.credits = min(b.credits, l.burst)
	b.limit, b.version, b.changedAt, b.changed = l, version, now, true
}

// take takes one credit if there is one.
func (b *bucket) take(now time.Time) bool {
	b.advance(now)
	if b.credits < 1 {
		return false
	}
	b.credits--
	b.unsynced++
	b.changed = true
	return true
}

// giveBack returns a credit that was not used.
func (b *bucket) giveBack(now time.Time) {
	b.advance(now)
	b.credits = min(b.limit.burst, b.credits+1)
	b.changed = true
}

// lose removes credits that may have been taken, but leaves one if there is one.
func (b *bucket) lose(credits float64) {
	b.credits = max(min(b.credits, 1), b.credits-credits)
}

// full reports whether the bucket holds what a new one would.
func (b *bucket) full(now time.Time) bool {
	b.advance(now)
	return b.credits >= b.limit.burst
}

// wait returns when a refused client is to come back. Clients that are refused together get times as far apart
// as the bucket needs for a credit each. After a window, or minReturns of them, the times begin anew in between.
func (b *bucket) wait(window time.Duration, now time.Time) time.Duration {
	b.advance(now)
	gap := seconds(1 / b.limit.rate)
	first := now.Add(seconds(max(0, 1-b.credits) / b.limit.rate))
	at := b.nextReturn
	switch {
	case at.Before(first):
		at, b.rounds = first, 0
	case at.After(first.Add(max(window, minReturns*gap))):
		b.rounds++
		_, between := math.Modf(float64(b.rounds) * math.Phi)
		at = first.Add(time.Duration(between * float64(gap)))
	}
	b.nextReturn = at.Add(gap)
	return at.Sub(now)
}

const minReturns = 8

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds the time after which a client is asked to come back.
const maxWait = time.Hour
