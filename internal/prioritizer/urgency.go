package prioritizer

import "time"

// Urgency is the rank of a request at its replica, from 0, the most urgent, to 9.
type Urgency int

const (
	// Usual is the urgency that a replica assumes for a request without one.
	Usual Urgency = 5
	// Missed is the urgency of a program that has missed its finish time. It is still served,
	// but delays no other.
	Missed Urgency = 9
	// mostUrgent is the urgency of a program that is about to miss its finish time.
	mostUrgent Urgency = 2
)

const (
	// minTurn is the time that a turn takes at least. A program with less time left than
	// that misses its finish time.
	minTurn = 100 * time.Millisecond
	// firstBound is the upper bound of the time left at the urgency mostUrgent. Each
	// further bound is twice the one before, since a program's time left falls with each of
	// its turns, so that programs under way go before those that begin.
	firstBound = 500 * time.Millisecond
)

// Of returns the urgency of a request of a program that has the given time left until it
// should be finished.
func Of(left time.Duration) Urgency {
	if left < minTurn {
		return Missed
	}
	u := mostUrgent
	for bound := firstBound; u < Usual && left >= bound; bound *= 2 {
		u++
	}
	return u
}

const (
	// underWayWait and beginWait are the parts of its remaining time that a request of a
	// program under way and one of a program that begins may wait.
	underWayWait = 1.0 / 6
	beginWait    = 1.0 / 48
)

// MaxWait returns how long a request with the given remaining time may wait for a replica
// that has no room. A queue of constant length delays all and serves no more, so it is kept
// short; programs that begin are refused first and those under way last.
func MaxWait(remaining time.Duration, underWay bool) time.Duration {
	share := beginWait
	if underWay {
		share = underWayWait
	}
	return time.Duration(share * float64(remaining))
}
