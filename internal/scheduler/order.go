package scheduler

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
	firstLevel    = 512
	levelFactor   = 4
	defaultAgeing = 2e9
)

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
