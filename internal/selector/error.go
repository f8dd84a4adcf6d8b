package selector

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// ErrNoReplica is returned if the service has no usable replica that was not tried.
var ErrNoReplica = errors.New("no replica is available")

// The reasons of a BusyError.
const (
	atLimits = "all replicas are at the limits that they named"
	inTrial  = "requests that were at several crashes of replicas are tried one at a time"
	allAway  = "all replicas are away after crashes"
)

// BusyError is returned if no replica takes the request for longer than it may wait.
type BusyError struct {
	reason string
	// after is the time until a replica takes the next request.
	after time.Duration
}

// RetryAfter returns the time after which a replica takes the request.
func (e *BusyError) RetryAfter() time.Duration { return e.after }

// AllAway reports whether the service has no replica that can be reached, whatever the request.
func (e *BusyError) AllAway() bool { return e.reason == allAway }

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%s, for another %v", e.reason, e.after.Round(time.Millisecond))
}
