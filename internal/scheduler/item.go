package scheduler

import "time"

// Item is a call that waits for a slot.
type Item struct {
	// ID identifies the call.
	ID string
	// Account is the client account, and Weight its share against others.
	Account string
	Weight  int
	// Attained is the service that the whole program has had, in tokens.
	Attained int
	// New says that it is the first call of a program, or a call of its own.
	New bool
	// Cost is the expected service of the call, in tokens.
	Cost float64
	// Arrived is when the call arrived, on any monotonic scale.
	Arrived time.Duration
}
