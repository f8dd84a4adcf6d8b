package selector

import (
	"time"

	"pimentorail.example/pimentorail/internal/isolator"
)

// Service is the service that a request calls.
type Service struct {
	Name string
	// CacheTokens is the prompt cache capacity of each of its replicas, zero if unknown.
	CacheTokens int
}

// Placement is the replica chosen for a request, with the inputs of the choice.
type Placement struct {
	Instance   string
	Candidates int
	// Busy is the estimated number of in-flight requests at the replica, Slowness the
	// service time relative to the usual one (which is 1), Age the age of its last load
	// report, and Cached the estimated number of the prompt's tokens in its cache.
	Busy, Slowness float64
	Age            time.Duration
	Cached         int
	// Limit is the limit that the replica named, and Wait the time from the choice until the
	// request may be sent because of it.
	Limit Limit
	Wait  time.Duration
}

// Suspicion is what is known against a request that was at replicas when they crashed. It is
// placed apart from others, so that a further crash shows which of them is the cause.
type Suspicion struct {
	Fingerprint isolator.Fingerprint
	// Crashes is the number of crashes at which the request was, zero for one that is not
	// suspect.
	Crashes int
}

// alone reports whether the request is to be the only one of its kind in flight, at a replica
// with as few other requests as possible.
func (s Suspicion) alone() bool { return s.Crashes >= 2 }

// Outcome is the result of a request as far as it concerns the replica.
type Outcome int

// The outcomes of a request.
const (
	// Served means a complete response.
	Served Outcome = iota
	// Refused means that the replica had no capacity.
	Refused
	// Failed means a fault of the replica or of the connection to it.
	Failed
	// Unknown means that the result says nothing about the replica.
	Unknown
)
