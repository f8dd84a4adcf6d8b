package limiter

import "time"

// margin is how much earlier than the owner a holder lets a slice expire.
const margin = 500 * time.Millisecond

// Slice is a holder's part of an account's limit.
type Slice struct {
	amount  int
	inUse   int
	expires time.Duration
	idle    time.Duration
}

// Take uses one unit if the slice has room and has not expired.
func (s *Slice) Take(now time.Duration) bool {
	if s.inUse >= s.Amount(now) {
		return false
	}
	s.inUse++
	s.idle = now
	return true
}

// Give returns one unit.
func (s *Slice) Give(now time.Duration) {
	s.inUse--
	s.idle = now
}

// Amount returns the slice, zero once it has expired.
func (s *Slice) Amount(now time.Duration) int {
	if now >= s.expires {
		return 0
	}
	return s.amount
}

// InUse returns the units in use.
func (s *Slice) InUse() int { return s.inUse }

// Wanted returns what the holder should ask for: what is in use and extra units.
func (s *Slice) Wanted(extra int) int { return s.inUse + extra }

// Offer gives up what a request for want units returns: the request may take
// effect though its answer is lost.
func (s *Slice) Offer(want int) { s.amount = min(s.amount, want) }

// Set takes the owner's answer to a request that was sent at a time.
func (s *Slice) Set(amount int, sent time.Duration) {
	s.amount = amount
	s.expires = sent + Lifetime - margin
}
