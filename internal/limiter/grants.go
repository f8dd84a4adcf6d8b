package limiter

import "time"

// Lifetime is how long a slice is valid without renewal.
const Lifetime = 3 * time.Second

// grant is the slice of one holder.
type grant struct {
	amount  int
	expires time.Duration
}

// Grants is the owner's state of one account. Its points in time are durations since the
// owner's start.
type Grants struct {
	holders     map[string]grant
	handoverEnd time.Duration
}

// NewGrants returns the state of an account whose partition was taken over at the given
// time. Nothing new is granted until the previous owner's slices have expired.
func NewGrants(gained time.Duration) *Grants {
	return &Grants{holders: map[string]grant{}, handoverEnd: gained + Lifetime}
}

// Ask sets a holder's slice to want, or to what the limit leaves, and returns it. Until the
// previous owner's slices have expired, a holder gets at most what it already has: held
// units, or an earlier grant of this owner.
func (g *Grants) Ask(holder string, want, held, limit int, now time.Duration) int {
	for h, s := range g.holders {
		if s.expires <= now {
			delete(g.holders, h)
		}
	}
	others := 0
	for h, s := range g.holders {
		if h != holder {
			others += s.amount
		}
	}
	amount := max(0, min(want, limit-others))
	if now < g.handoverEnd {
		amount = min(max(0, want), max(held, g.holders[holder].amount))
	}
	if amount == 0 {
		delete(g.holders, holder)
		return 0
	}
	g.holders[holder] = grant{amount: amount, expires: now + Lifetime}
	return amount
}

// Granted returns the sum of the slices that have not expired.
func (g *Grants) Granted(now time.Duration) int {
	sum := 0
	for _, s := range g.holders {
		if s.expires > now {
			sum += s.amount
		}
	}
	return sum
}
