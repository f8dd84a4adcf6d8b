package ratelimiter

import (
	"slices"
	"time"
)

const (
	// Lease is how long a vote holds. Its holder counts from when it sent the ballot, and leaves a margin.
	Lease       = time.Second
	leaseMargin = 100 * time.Millisecond
	// RenewAfter is the age at which a lease is renewed.
	RenewAfter = 300 * time.Millisecond
	// idleAfter is how long a member holds an arc that is not used, and keeps one in whose trio it no longer is.
	idleAfter = 15 * time.Second
	// settledAfter is the age of a ring at which one with less than trioSize members is believed. Daemons that start
	// together know few of the others at first.
	settledAfter = 6 * time.Second
	// learnedFor is how long a member is believed whose row was not read yet.
	learnedFor = 15 * time.Second
	// wellKnown is the age of a voter's knowledge that needs no second voter's.
	wellKnown = time.Minute
)

// Outcome is what a daemon says of a request of an account.
type Outcome int

// The outcomes; daemons exchange them as numbers, so their order is fixed.
const (
	// Elsewhere means that this member does not hold the account's arc.
	Elsewhere Outcome = iota
	// Granted means that the request may be sent to a replica.
	Granted
	// Exhausted means that the limit leaves no credit for it.
	Exhausted
	// Unsynced means that the holder must sync the arc first.
	Unsynced
	// Unknown means that no holder was reached, and that the reserve is used up.
	Unknown
)

// Request asks for one credit of an account.
type Request struct {
	Key   uint64
	Limit Limit
	// Version is that of the configuration which has the limit.
	Version uint64
}

// Limiter is the part of one daemon in limiting accounts: what it knows of the arcs in whose trios it is.
//
// A member holds an arc while a majority of the arc's trio lets it: itself, and one of the others. The arc's own member
// is to hold it, and the one that follows does while that one is not reached. A vote is for one candidate at a time and
// ends with its lease, so that no two members hold an arc at the same time. Callers serialize the calls, and pass the
// current time.
type Limiter struct {
	self      Member
	process   string
	tolerance Tolerance
	started   time.Time
	ring      *Ring
	ringSince time.Time
	// learned are the members that others named, until their rows are read.
	learned map[Member]time.Time
	arcs    map[string]*arc
	leaving bool
}

// New returns the limiter of a process on a VM, which knows no ring.
func New(self Member, process string, t Tolerance, now time.Time) *Limiter {
	return &Limiter{self: self, process: process, tolerance: t, started: now, learned: map[Member]time.Time{}, arcs: map[string]*arc{}}
}

// Ring returns the ring, nil if it is not known.
func (x *Limiter) Ring() *Ring { return x.ring }

// learn adds members that another one named.
func (x *Limiter) learn(members []Member, now time.Time) {
	known := x.ring.With(members...)
	if known == x.ring {
		return
	}
	for _, m := range members {
		if !slices.Contains(x.ring.members, m) {
			x.learned[m] = now
		}
	}
	x.setRing(known, now)
}

// SetRing replaces the ring by one of all members whose rows were read, this daemon's among them.
func (x *Limiter) SetRing(r *Ring, now time.Time) {
	for m, at := range x.learned {
		if now.Sub(at) > learnedFor || slices.Contains(r.members, m) {
			delete(x.learned, m)
		}
	}
	for m := range x.learned {
		r = r.With(m)
	}
	x.setRing(r.With(x.self), now)
}

// setRing replaces the ring. Accounts that belong to another arc now move to it.
func (x *Limiter) setRing(r *Ring, now time.Time) {
	if x.ring == nil || !slices.Equal(r.members, x.ring.members) {
		x.ringSince = now
	}
	x.ring = r
	for name, a := range x.arcs {
		if a.holding && a.voter == "" && x.ringSince.Equal(now) {
			a.holding = false // It needs the vote of a member that was not there.
			a.term++
		}
		for key, b := range a.buckets {
			to := r.members[r.arcOf(key)].Name
			if to == name {
				continue
			}
			delete(a.buckets, key)
			target := x.arc(to)
			if a.holding && !target.holding && (target.knownSince.IsZero() || a.knownSince.Before(target.knownSince)) {
				target.knownSince, target.holder, target.exact = a.knownSince, x.process, true
			}
			if own := target.buckets[key]; own != nil {
				own.advance(now)
				b.advance(now)
				b.credits = min(b.credits, own.credits)
			}
			b.changed = true
			target.buckets[key] = b
		}
	}
}

// arc returns what is known of a member's arc.
func (x *Limiter) arc(name string) *arc {
	a := x.arcs[name]
	if a == nil {
		a = newArc()
		x.arcs[name] = a
	}
	return a
}

// ArcOf returns the name of the arc of an account, empty without a ring.
func (x *Limiter) ArcOf(key uint64) string {
	if x.ring == nil {
		return ""
	}
	return x.ring.members[x.ring.arcOf(key)].Name
}

// Take takes a credit if this daemon holds the account's arc, and says when a client is to come back if there is none.
func (x *Limiter) Take(q Request, now time.Time) (Outcome, time.Duration) {
	name := x.ArcOf(q.Key)
	if name == "" || !q.Limit.IsSet() {
		return Elsewhere, 0
	}
	a := x.arc(name)
	a.usedAt = now
	if !x.holds(a, now) {
		return Elsewhere, 0
	}
	b := a.bucket(q.Key, q.Limit, q.Version, x.tolerance, now)
	switch {
	case a.voter != "" && b.unsynced+1 > x.tolerance.unsynced(b.limit):
		return Unsynced, 0
	case b.take(now):
		return Granted, 0
	}
	return Exhausted, b.wait(x.tolerance.window, now)
}

// TakeReserve takes a credit of what this daemon may let run while no holder is reached.
func (x *Limiter) TakeReserve(q Request, now time.Time) (Outcome, time.Duration) {
	name := x.ArcOf(q.Key)
	if name == "" || !slices.ContainsFunc(x.ring.trioOf(name), func(m Member) bool { return m.Name == x.self.Name }) {
		return Unknown, Lease
	}
	b := x.arc(name).reserve(q.Key, q.Limit, x.tolerance, x.started, now)
	if b.take(now) {
		return Granted, 0
	}
	return Unknown, min(Lease, max(RenewAfter, b.wait(Lease, now)))
}

// GiveBack returns a credit of an account whose request did not run.
func (x *Limiter) GiveBack(key uint64, now time.Time) {
	name := x.ArcOf(key)
	if name == "" {
		return
	}
	a := x.arc(name)
	if b := a.buckets[key]; b != nil && x.holds(a, now) {
		b.giveBack(now)
	}
}

// holds reports whether this daemon holds an arc at a time.
func (x *Limiter) holds(a *arc, now time.Time) bool {
	if a.holding && a.voter != "" && elapsed(a.leasedSince, now) >= Lease-leaseMargin {
		a.holding = false
	}
	if !a.holding && x.alone(now) && !x.leaving {
		x.hold(a, "", now)
		a.knownSince = x.started
	}
	return a.holding
}

// alone reports whether this daemon is the only member.
func (x *Limiter) alone(now time.Time) bool {
	return len(x.ring.Members()) == 1 && (x.self.Address == "" || now.Sub(x.ringSince) >= settledAfter)
}

func (x *Limiter) hold(a *arc, voter string, since time.Time) {
	if !a.holding {
		a.term++
	}
	a.holding, a.voter, a.leasedSince = true, voter, since
	a.holder, a.exact = x.process, false
}

// NeedsSync reports whether an arc is to be synced now, before its lease is renewed anyway.
func (x *Limiter) NeedsSync(key uint64) bool {
	a := x.arcs[x.ArcOf(key)]
	if a == nil || !a.holding || a.voter == "" {
		return false
	}
	b := a.buckets[key]
	return b != nil && b.unsynced >= x.tolerance.unsynced(b.limit)/2
}

// Due returns the arcs whose leases are to be renewed.
func (x *Limiter) Due(now time.Time) (arcs []string) {
	for name, a := range x.arcs {
		switch {
		case x.holds(a, now):
			if a.voter != "" && now.Sub(a.leasedSince) >= RenewAfter && now.Sub(a.usedAt) < idleAfter {
				arcs = append(arcs, name)
			}
		case x.ring != nil && now.Sub(a.usedAt) > idleAfter && now.After(a.promisedUntil) && !slices.ContainsFunc(x.ring.trioOf(name), func(m Member) bool { return m.Name == x.self.Name }):
			delete(x.arcs, name)
			continue
		}
		a.evict(x.tolerance, now)
	}
	return arcs
}

// elapsed returns the time between two readings of the clock. The steady clock does not count the time for which a VM is
// suspended, and the wall clock may be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
