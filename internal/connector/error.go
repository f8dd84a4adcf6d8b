package connector

import "fmt"

// Error is a failed exchange.
type Error struct {
	// Sent says that the replica can have received the request.
	Sent bool
	// Cause is what happened.
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
