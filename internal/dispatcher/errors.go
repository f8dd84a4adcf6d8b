package dispatcher

import (
	"fmt"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// Error describes a failed dispatch.
type Error struct {
	// Code is usually TargetAway, TargetRefused, TargetBroken or TargetTimeout. It is
	// TicketExpired if the permission to dispatch expired, and BadRequest if the request
	// cannot be encoded.
	Code classifier.Code
	// Ran states whether the target may have acted on the call.
	Ran classifier.Ran
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (ran: %s): %v", e.Code, e.Ran, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Fault returns the error as reported to the caller.
func (e *Error) Fault() *classifier.Fault {
	return classifier.New(e.Code, e.Ran, "%v", e.Cause)
}

func newError(code classifier.Code, ran classifier.Ran, cause error) *Error {
	return &Error{Code: code, Ran: ran, Cause: cause}
}
