package ranker

import "time"

// paceTolerance is how much earlier than evenly spaced a request may be sent, so that jitter
// of the arrivals does not leave a part of the rate unused.
const paceTolerance = 250 * time.Millisecond

// Pace spaces the requests that a sender makes to one replica, so that their number in any
// interval d is at most rate*(d+paceTolerance)+1. It is the generic cell rate algorithm with
// places that are booked ahead of their time. The zero value allows a request at once.
type Pace struct {
	// next is when the next request is due if requests are evenly spaced.
	next time.Duration
}

// Start begins a pace with nothing saved up: the first place comes one interval later.
func (p *Pace) Start(now, interval time.Duration) { p.next = now + interval }

// Wait returns the time until the next free place.
func (p *Pace) Wait(now time.Duration) time.Duration { return max(0, p.next-paceTolerance-now) }

// Book takes the next free place; the one after it comes one interval later.
func (p *Pace) Book(now, interval time.Duration) { p.next = max(p.next, now) + interval }
