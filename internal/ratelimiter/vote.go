package ratelimiter

import (
	"slices"
	"time"
)

// rememberedFor is how long a voter tells who held an arc before. What that one may have taken unheard is refilled
// by then.
const rememberedFor = time.Minute

// Vote decides on a ballot.
func (x *Limiter) Vote(b Ballot, now time.Time) Vote {
	if x.leaving || x.ring == nil {
		return Vote{Leaving: x.leaving}
	}
	trio := x.ring.trioOf(b.Arc)
	if !slices.Equal(trio, b.Trio) {
		x.learn(b.Trio, now)
		if trio = x.ring.trioOf(b.Arc); !slices.Equal(trio, b.Trio) {
			return Vote{Trio: trio}
		}
	}
	a := x.arc(b.Arc)
	if b.Inquiry {
		v := Vote{Age: now.Sub(x.started)}
		x.tell(&v, a, now)
		return v
	}
	if !x.mayVote(a, trio, b, now) {
		return Vote{}
	}
	reply := Vote{Granted: true, Age: now.Sub(x.started)}
	if a.holding {
		// The arc's own member is back.
		a.holding, a.holder, a.exact = false, x.process, true
	}
	a.term++
	if b.Acquire {
		x.tell(&reply, a, now)
	}
	a.store(b.Entries, now)
	a.promised, a.promisedTo, a.promisedUntil = b.Process, b.Candidate.Name, now.Add(Lease)
	a.holder, a.exact = b.Process, false
	return reply
}

// tell adds to a reply what this daemon knows of an arc.
func (x *Limiter) tell(v *Vote, a *arc, now time.Time) {
	v.Entries = a.entries(true, now)
	if a.exact || now.Sub(a.promisedUntil) < rememberedFor {
		v.Holder, v.Exact = a.holder, a.exact
	}
}

// mayVote reports whether this daemon's vote is free for a candidate.
func (x *Limiter) mayVote(a *arc, trio []Member, b Ballot, now time.Time) bool {
	own := slices.IndexFunc(trio, func(m Member) bool { return m.Name == x.self.Name })
	candidate := slices.IndexFunc(trio, func(m Member) bool { return m.Name == b.Candidate.Name })
	switch {
	case own < 1 || candidate < 0 || candidate >= own:
		return false // The arc's own member keeps its vote, and the others vote for those before them.
	case x.holds(a, now):
		return candidate == 0
	case a.promisedTo != "" && a.promisedTo != b.Candidate.Name && now.Before(a.promisedUntil):
		return false
	case own == 1:
		return true // It can only be the arc's own member, which has no other rival.
	}
	// A process that ran here before may have voted for the other candidate.
	return now.Sub(x.started) >= Lease
}

// Holder returns the member that this daemon lets hold the arc of an account, and false if it lets none.
func (x *Limiter) Holder(key uint64, now time.Time) (Member, bool) {
	a := x.arcs[x.ArcOf(key)]
	if a == nil || !now.Before(a.promisedUntil) {
		return Member{}, false
	}
	for _, m := range x.ring.Trio(key) {
		if m.Name == a.promisedTo {
			return m, true
		}
	}
	return Member{}, false
}

// Handover is a Release and the member that it is for.
type Handover struct {
	to      Member
	release Release
}

// To returns the member that follows.
func (h Handover) To() Member { return h.to }

// Release returns the message.
func (h Handover) Release() Release { return h.release }

// Leave stops holding arcs and voting, and returns what is to be sent to the members that follow.
func (x *Limiter) Leave(now time.Time) (list []Handover) {
	x.leaving = true
	for name, a := range x.arcs {
		if !x.holds(a, now) {
			continue
		}
		trio := x.ring.trioOf(name)
		a.holding = false
		a.term++
		rank := slices.IndexFunc(trio, func(m Member) bool { return m.Name == x.self.Name })
		if rank >= 0 && rank+1 < len(trio) {
			list = append(list, Handover{trio[rank+1], Release{Arc: name, Process: x.process, Entries: a.entries(true, now), Age: now.Sub(a.knownSince)}})
		}
	}
	return list
}

// Accept takes over what a member that stops knows of an arc. Its lease ends with that.
func (x *Limiter) Accept(r Release, now time.Time) {
	trio := x.ring.trioOf(r.Arc)
	a := x.arc(r.Arc)
	if x.leaving || x.holds(a, now) || !slices.Contains(trio, x.self) {
		return
	}
	a.store(r.Entries, now)
	a.holder, a.exact = r.Process, true
	if a.promised == r.Process {
		a.promised, a.promisedTo, a.promisedUntil = "", "", time.Time{}
	}
	if len(trio) == 2 {
		// There is no third member, and the arc's own one asks this one when it is back.
		x.hold(a, "", now)
		a.knownSince = now.Add(-r.Age)
	}
}
