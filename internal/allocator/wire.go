package allocator

import (
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// ServiceName is the name of the target owner's RPC service.
const ServiceName = "Allocator"

// AcquireRequest asks for a slot of a replica; it can be repeated with the same ID.
type AcquireRequest struct {
	ID       string
	Replica  string
	Session  string
	Account  string
	Weight   int
	Attained int
	// New says that it is the first call of a program, or a call of its own.
	New bool
	// Tokens is the expected prompt that is not cached.
	Tokens int
	// Limit is the longest wait in the queue that the caller accepts.
	Limit time.Duration
}

// AcquireReply grants a slot, asks to wait, or refuses.
type AcquireReply struct {
	Fault   *classifier.Fault
	Moved   bool
	Granted bool
	Waiting bool
	// Level is the priority for the engine; zero goes first.
	Level int
}

// ReleaseRequest returns a slot, or leaves the queue, with what was observed.
type ReleaseRequest struct {
	ID      string
	Replica string
	// Service is the work done, in tokens, zero if the call failed.
	Service int
	// First is the time to the first token, Gap the time between tokens, Took the whole time.
	First, Gap, Took time.Duration
	// Prefill is the number of prompt tokens that were computed.
	Prefill int
	// Failed says that the replica did not answer.
	Failed bool
}

// ReleaseReply is empty.
type ReleaseReply struct{ Moved bool }

// ProbeRequest asks what a new call would meet at a replica.
type ProbeRequest struct {
	Replica string
	Account string
	Weight  int
}

// ProbeReply is what a new call would meet.
type ProbeReply struct {
	Moved    bool
	Leaving  bool
	Wait     time.Duration
	Gap      time.Duration
	Prefill  time.Duration
	Tokens   float64
	Stale    bool
	InFlight int
	Window   int
	Queued   int
}
