package scheduler

import "time"

// Order is a policy for the order of waiting calls.
type Order string

const (
	// FairLeastAttained shares between accounts and prefers the least served program.
	FairLeastAttained Order = "fair-least-attained"
	// FairArrival shares between accounts and serves each one's calls as they arrived.
	FairArrival Order = "fair-arrival"
	// Arrival serves calls as they arrived; it is the baseline of the measures.
	Arrival Order = "arrival"
)

const (
	levels        = 6
	firstLevel    = 4096
	levelFactor   = 4
	defaultAgeing = 10 * time.Second
)

// level returns the level of a waiting call: new programs start one level below
// those that are under way, so that a burst does not hold up what was begun.
func (it *Item) level() int {
	l := Level(it.Attained)
	if it.New {
		l = min(l+1, levels-1)
	}
	return l
}

// Level returns the level of a program by its attained service; level zero goes first.
func Level(attained int) int {
	bound := firstLevel
	for l := range levels - 1 {
		if attained < bound {
			return l
		}
		bound *= levelFactor
	}
	return levels - 1
}
