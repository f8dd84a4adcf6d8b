package dispatcher

import (
	"fmt"

	"pimentorail.example/pimentorail/pkg/classifier"
)

// Error is a failed dispatch.
type Error struct {
	// Code is TargetAway, TargetRefused, TargetBroken or TargetTimeout.
	Code classifier.Code
	// Ran says whether the target can have acted on the call.
	Ran classifier.Ran
	// Cause is what happened.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (ran: %s): %v", e.Code, e.Ran, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Fault returns the error as it is told to a caller.
func (e *Error) Fault() *classifier.Fault {
	return classifier.New(e.Code, e.Ran, "%v", e.Cause)
}

func fail(code classifier.Code, ran classifier.Ran, cause error) *Error {
	return &Error{Code: code, Ran: ran, Cause: cause}
}
