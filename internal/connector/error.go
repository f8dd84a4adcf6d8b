package connector

import "fmt"

// Error reports a failed exchange.
type Error struct {
	// Sent reports whether the replica may have received a part of the request.
	Sent bool
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("after sending: %v", e.Cause)
	}
	return fmt.Sprintf("before sending: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
