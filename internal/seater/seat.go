package seater

import "time"

// Service is what a request is for.
type Service struct {
	Name string
	// CacheTokens is the memory of each of its replicas, zero if unknown.
	CacheTokens int
}

// Seat is a replica that was chosen, with what decided.
type Seat struct {
	Instance   string
	Candidates int
	// Busy is the estimated number of requests there, Slowness how long work takes
	// there (1 is as usual), Age the age of its last load report, and Cached the
	// prompt tokens that it is believed to hold.
	Busy, Slowness float64
	Age            time.Duration
	Cached         int
}

// Outcome is what a request at a replica says of the replica.
type Outcome int

// The outcomes.
const (
	// Served means a whole answer.
	Served Outcome = iota
	// Refused means that the replica had no room.
	Refused
	// Failed means a fault of the replica or its connection.
	Failed
	// Unknown means that the end says nothing of the replica.
	Unknown
)
