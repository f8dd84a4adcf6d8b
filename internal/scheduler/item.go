package scheduler

import "time"

// Item is a call that waits for a slot.
type Item struct {
	// ID identifies the call.
	ID string
	// Account is the client account, and Weight its share relative to other accounts.
	Account string
	Weight  int
	// Attained is the service that the whole program has received, in tokens.
	Attained int
	// New is set for the first call of a program and for a call outside any program.
	New bool
	// Cost is the expected service of the call, in tokens.
	Cost float64
	// Arrived is when the call arrived, on the monotonic clock that Queue.Pop is given.
	Arrived time.Duration
}
