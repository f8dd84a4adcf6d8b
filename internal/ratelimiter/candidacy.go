package ratelimiter

import (
	"slices"
	"time"
)

// Candidacy is one attempt of a daemon to hold an arc, or to go on doing so. Its ballots go to one voter after the other
// until it is elected.
type Candidacy struct {
	limiter *Limiter
	arc     string
	trio    []Member
	voters  []Member
	acquire bool
	term    uint64
	began   time.Time
	// ages are those of the processes of the trio's members, zero for those that did not reply.
	ages  [trioSize]time.Duration
	voter string
	// replies are those of the voters, which are merged once the candidate is elected.
	replies []Vote
	// sent is what the entries of the last ballot held.
	sent map[uint64]float64
}

// Candidate returns a candidacy for an arc, nil if this daemon may not hold it now.
func (x *Limiter) Candidate(name string, now time.Time) *Candidacy {
	trio := x.ring.trioOf(name)
	a := x.arc(name)
	rank := slices.IndexFunc(trio, func(m Member) bool { return m.Name == x.self.Name })
	c := &Candidacy{limiter: x, arc: name, trio: trio, acquire: !x.holds(a, now), began: now}
	switch {
	case x.leaving || len(trio) < 2 || rank < 0:
		return nil
	case rank == 0:
		c.voters = slices.Clone(trio[1:])
	case rank == 1 && len(trio) == trioSize:
		// The follower's own vote must be free, also that of a process that ran here before.
		if c.acquire && (now.Before(a.promisedUntil) || now.Sub(x.started) < Lease) {
			return nil
		}
		c.voters = []Member{trio[2]}
	default:
		return nil
	}
	if !c.acquire && len(c.voters) > 1 && c.voters[1].Name == a.voter {
		slices.Reverse(c.voters) // The present voter is asked first.
	}
	c.term = a.term
	c.ages[rank] = now.Sub(x.started)
	return c
}

// Next returns the voter to ask now and its ballot, and false if there is none.
func (c *Candidacy) Next(now time.Time) (Member, Ballot, bool) {
	if len(c.voters) == 0 {
		return Member{}, Ballot{}, false
	}
	if c.voter != "" && (!c.acquire || c.known() >= wellKnown) {
		return Member{}, Ballot{}, false
	}
	x := c.limiter
	v := c.voters[0]
	c.voters = c.voters[1:]
	if c.voter == "" {
		c.began = now
	}
	b := Ballot{Arc: c.arc, Candidate: x.self, Process: x.process, Trio: c.trio, Acquire: c.acquire, Inquiry: c.voter != ""}
	a := x.arc(c.arc)
	if !c.acquire {
		// A voter that was not asked before gets all accounts.
		b.Entries = a.entries(v.Name != a.voter, now)
		c.sent = map[uint64]float64{}
		for _, e := range b.Entries {
			if k := a.buckets[e.Key]; k != nil {
				c.sent[e.Key] = k.unsynced
				k.changed = false
			}
		}
	}
	return v, b, true
}

// Receive adds a voter's reply to the last ballot, nil if there was none.
func (c *Candidacy) Receive(voter Member, v *Vote, now time.Time) {
	x := c.limiter
	a := x.arc(c.arc)
	granted := v != nil && v.Granted
	if !c.acquire {
		c.confirm(a, granted)
	}
	if v != nil && len(v.Trio) > 0 {
		x.learn(v.Trio, now)
	}
	inquired := c.voter != ""
	if v == nil || !granted && (!inquired || v.Leaving || len(v.Trio) > 0) {
		return
	}
	if !inquired {
		c.voter = voter.Name
	}
	if rank := slices.Index(c.trio, voter); rank >= 0 {
		c.ages[rank] = v.Age
	}
	c.replies = append(c.replies, *v)
}

// confirm records whether the entries of the last ballot have arrived.
func (c *Candidacy) confirm(a *arc, arrived bool) {
	for key, unsynced := range c.sent {
		b := a.buckets[key]
		switch {
		case b == nil:
		case arrived:
			b.unsynced = max(0, b.unsynced-unsynced)
		default:
			b.changed = true
		}
	}
	c.sent = nil
}

// known returns for how long all credits taken are known. The arc's own member took each with the vote of one of the others, or
// the second one did with the vote of the third. Who took a credit knows of it as long as its process runs, and who voted does a
// lease less, since votes of the process before it were used for as long.
func (c *Candidacy) known() time.Duration {
	own, second, third := c.ages[0], c.ages[1], c.ages[2]
	known := max(own, second-Lease)
	if len(c.trio) == trioSize {
		known = min(known, max(own, third-Lease), max(second, third-Lease))
	}
	return known
}

// Elect ends the candidacy. It returns true if this daemon was elected, and all that it knew is synced.
func (c *Candidacy) Elect(now time.Time) bool {
	x := c.limiter
	a := x.arc(c.arc)
	if c.voter == "" || x.leaving || a.term != c.term || elapsed(c.began, now) >= Lease-leaseMargin {
		return false
	}
	if c.acquire {
		c.learn(a, now)
	}
	x.hold(a, c.voter, c.began)
	a.promised, a.promisedTo, a.promisedUntil = "", "", time.Time{}
	return true
}

// learn merges what the voters know.
func (c *Candidacy) learn(a *arc, now time.Time) {
	x := c.limiter
	// What this daemon heard as a voter is as certain as what other voters did.
	if a.holder != "" && a.holder != x.process && !a.exact {
		for _, b := range a.buckets {
			b.advance(now)
			b.lose(x.tolerance.unsynced(b.limit))
		}
		a.lostAt = now
	}
	for _, v := range c.replies {
		loss := v.Holder != "" && v.Holder != x.process && !v.Exact
		a.merge(v.Entries, loss, x.tolerance, now)
		if loss {
			a.lostAt = now
		}
	}
	known := c.known()
	a.knownSince = now.Add(-known)
	for _, b := range a.buckets {
		// Others may have held the arc before that, and taken credits of accounts that are known too.
		b.advance(now)
		b.credits = min(b.credits, 1+b.limit.rate*known.Seconds())
		b.changed = true
	}
}

// Acquires reports whether the candidate did not hold the arc before.
func (c *Candidacy) Acquires() bool { return c.acquire }

// Voter returns the name of the member that voted for the candidate, empty for none.
func (c *Candidacy) Voter() string { return c.voter }

// Known returns for how long all credits taken are known.
func (c *Candidacy) Known() time.Duration { return c.known() }
