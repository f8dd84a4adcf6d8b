package storer

import "time"

const (
	// minPace is the interval between two writes after the first throttled one, and maxPace
	// the longest interval.
	minPace = 8 * time.Millisecond
	maxPace = 100 * time.Millisecond
	// paceDecay multiplies the interval after a write that was accepted. Below minPace/8
	// writes are not delayed.
	paceDecay = 0.85
	// minPaceIncrease is the minimum time between two increases of the interval, so that
	// writes throttled together count once.
	minPaceIncrease = 50 * time.Millisecond
)

// pace decides when a daemon may write while many daemons together ask for more writes than
// the store serves. The interval between two writes doubles when one is throttled and
// falls with accepted ones. The zero value delays nothing.
type pace struct {
	interval    time.Duration
	next        time.Time
	increasedAt time.Time
}

// reserve returns when the next write may be sent, and false if that is after the deadline,
// unless the deadline is zero.
func (p *pace) reserve(now, deadline time.Time) (at time.Time, ok bool) {
	if p.interval == 0 {
		return now, true
	}
	at = p.next
	if at.Before(now) {
		at = now
	}
	if !deadline.IsZero() && at.After(deadline) {
		return at, false
	}
	p.next = at.Add(p.interval)
	return at, true
}

// throttled records a write that the store refused as above its rate.
func (p *pace) throttled(now time.Time) {
	if now.Sub(p.increasedAt) < minPaceIncrease {
		return
	}
	p.increasedAt = now
	p.interval = min(max(2*p.interval, minPace), maxPace)
}

// accepted records a write that the store served.
func (p *pace) accepted() {
	p.interval = time.Duration(paceDecay * float64(p.interval))
	if p.interval < minPace/8 {
		p.interval = 0
	}
}
