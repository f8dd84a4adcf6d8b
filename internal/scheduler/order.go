package scheduler

import "time"

// Order is a policy for the order of waiting calls.
type Order string

const (
	// FairLeastAttained shares between accounts by weight; within an account, the
	// program with the least attained service goes first.
	FairLeastAttained Order = "fair-least-attained"
	// FairArrival shares between accounts by weight; within an account, calls run in
	// order of arrival.
	FairArrival Order = "fair-arrival"
	// Arrival runs all calls in order of arrival. It is the baseline that the fair
	// orders are compared with.
	Arrival Order = "arrival"
)

const (
	levels           = 6
	firstLevelTokens = 4096
	levelFactor      = 4
	ageingPeriod     = 10 * time.Second
)

// level returns the level of a waiting call. A new program starts one level behind,
// so that a burst of new programs doesn't delay those that have started.
func (it *Item) level() int {
	l := Level(it.Attained)
	if it.New {
		l = min(l+1, levels-1)
	}
	return l
}

// Level returns the level of a program by its attained service in tokens; level zero
// goes first.
func Level(attained int) int {
	bound := firstLevelTokens
	for l := range levels - 1 {
		if attained < bound {
			return l
		}
		bound *= levelFactor
	}
	return levels - 1
}
