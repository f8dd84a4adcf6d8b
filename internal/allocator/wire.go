package allocator

import (
	"time"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// ServiceName is the name of the RPC service of replica owners.
const ServiceName = "Allocator"

// AcquireRequest asks for a slot of a replica. It is idempotent for the same ID.
type AcquireRequest struct {
	ID      string
	Replica string
	// Session is the session of the daemon that asks; the slot is freed when it expires.
	Session string
	Account string
	// Weight is the account's share relative to the other accounts.
	Weight int
	// Attained is the service that the program has received so far, in tokens.
	Attained int
	// New is set for the first call of a program and for a call outside any program.
	New bool
	// Tokens is the expected number of prompt tokens that are not cached.
	Tokens int
	// Limit is the longest wait in the queue that the caller accepts.
	Limit time.Duration
}

// AcquireReply grants a slot, asks the caller to poll again, or refuses with a fault.
// Moved means that another daemon owns the replica.
type AcquireReply struct {
	Fault   *classifier.Fault
	Moved   bool
	Granted bool
	Waiting bool
	// Level is the priority for the engine; zero goes first.
	Level int
}

// ReleaseRequest returns a slot, with what the call observed, or leaves the queue.
type ReleaseRequest struct {
	ID      string
	Replica string
	// Service is the work done, in tokens, zero if the call failed.
	Service int
	// First is the time to the first token, Gap the time between tokens, and Took the
	// duration of the call.
	First, Gap, Took time.Duration
	// Prefill is the number of prompt tokens that were computed.
	Prefill int
	// Failed says that the replica did not answer.
	Failed bool
}

// ReleaseReply answers a ReleaseRequest. Moved is set if the daemon has no state for the
// replica.
type ReleaseReply struct{ Moved bool }

// ProbeRequest asks for the expected wait for a new call, and the replica's speed and load.
type ProbeRequest struct {
	Replica string
	Account string
	Weight  int
}

// ProbeReply is the expected wait for a new call, and the replica's speed and load.
type ProbeReply struct {
	Moved bool
	// Leaving is set if the replica accepts no new calls or is not declared.
	Leaving bool
	Wait    time.Duration
	// Gap is the smoothed time between tokens, zero if unknown.
	Gap time.Duration
	// Prefill is the smoothed time to compute one prompt token, zero if unknown.
	Prefill time.Duration
	// Tokens is the smoothed service of a call in tokens, zero if unknown.
	Tokens float64
	// Stale is set if no call was observed within maxSpeedAge, so that the speed may be
	// outdated.
	Stale    bool
	InFlight int
	Window   int
	Queued   int
}
