package limiter

import "time"

// expiryMargin is how much earlier than the owner a holder considers a slice expired.
const expiryMargin = 500 * time.Millisecond

// Slice is a holder's share of an account's limit. Its points in time are durations since
// the holder's start.
type Slice struct {
	amount   int
	inUse    int
	expires  time.Duration
	lastUsed time.Duration
}

// Acquire acquires one unit and reports whether the slice had a free one and has not expired.
func (s *Slice) Acquire(now time.Duration) bool {
	if s.inUse >= s.Amount(now) {
		return false
	}
	s.inUse++
	s.lastUsed = now
	return true
}

// Release releases one unit.
func (s *Slice) Release(now time.Duration) {
	s.inUse--
	s.lastUsed = now
}

// Amount returns the size of the slice, zero once it has expired.
func (s *Slice) Amount(now time.Duration) int {
	if now >= s.expires {
		return 0
	}
	return s.amount
}

// InUse returns the units in use.
func (s *Slice) InUse() int { return s.inUse }

// Wanted returns the size to ask for: the units in use and extra ones.
func (s *Slice) Wanted(extra int) int { return s.inUse + extra }

// ReduceTo lowers the slice to want units before the holder asks for that size, since the
// request may take effect although its answer is lost.
func (s *Slice) ReduceTo(want int) { s.amount = min(s.amount, want) }

// Set applies the owner's answer to a request. The slice expires relative to the time at
// which the request was sent, which is before the owner granted it.
func (s *Slice) Set(amount int, sent time.Duration) {
	s.amount = amount
	s.expires = sent + Lifetime - expiryMargin
}
