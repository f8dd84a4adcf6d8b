package forwarder

import "pimentorail.example/pimentorail/internal/selector"

// result is the result of sending a request to one replica.
type result int

const (
	// answered means that the client received the replica's complete response.
	answered result = iota
	// unsent means that no byte of the request was sent.
	unsent
	// refused means that the replica reported that it did not run the request, or that
	// the limit of connections to it was reached.
	refused
	// misdirected means that another instance has the address; the request did not run.
	misdirected
	// ambiguous means that the request failed, may have run, and no part of a response was
	// forwarded.
	ambiguous
	// truncated means that the response failed after a part of it was forwarded, or that
	// its turn could not be persisted.
	truncated
	// canceled means that the client disconnected or the deadline passed.
	canceled
	// unidentified means that no byte of the request was sent, since it is not known which
	// process the connection leads to.
	unidentified
)

// resultNames are the names of the results, in the order of the constants. Some differ from
// the constants: elsewhere is misdirected, broken is ambiguous, cut is truncated and left
// is canceled. Logs and metrics keep these names.
var resultNames = [...]string{"answered", "unsent", "refused", "elsewhere", "broken", "cut", "left", "unidentified"}

// String returns the result's name as used in logs and metrics.
func (r result) String() string { return resultNames[r] }

// mayHaveRun reports whether the replica may have run the request.
func (r result) mayHaveRun() bool {
	return r == answered || r == ambiguous || r == truncated || r == canceled
}

// outcome returns the replica's outcome for later choices of replicas.
func (r result) outcome() selector.Outcome {
	switch r {
	case answered:
		return selector.Served
	case refused:
		return selector.Refused
	case ambiguous, unsent, misdirected:
		return selector.Failed
	}
	return selector.Unknown
}
