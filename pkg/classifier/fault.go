package classifier

import (
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Fault is a failure as it is told to a caller; its fields are exported for the codecs.
type Fault struct {
	Code         Code   `json:"code"`
	Name         string `json:"type"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
}

// New returns a fault with a formatted message.
func New(code Code, ran Ran, format string, args ...any) *Fault {
	return &Fault{Code: code, Name: code.String(), Message: fmt.Sprintf(format, args...), Ran: ran}
}

// After returns a copy that asks the caller to come back after d.
func (f *Fault) After(d time.Duration) *Fault {
	g := *f
	g.RetryAfterMS = max(1, d.Milliseconds())
	return &g
}

// With returns a copy that makes another statement on whether the request ran.
func (f *Fault) With(ran Ran) *Fault {
	g := *f
	g.Ran = ran
	return &g
}

// RetryAfter returns when to come back, zero if the fault does not say.
func (f *Fault) RetryAfter() time.Duration {
	return time.Duration(f.RetryAfterMS) * time.Millisecond
}

// RetrySeconds returns the value of a Retry-After header, zero if the fault does not say.
func (f *Fault) RetrySeconds() int {
	return int(math.Ceil(float64(f.RetryAfterMS) / 1000))
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", f.Code, f.Name, f.Ran, f.Message)
}

// From returns the fault in the chain of err, or wraps err as Internal with ran unknown.
func From(err error) *Fault {
	if err == nil {
		return nil
	}
	var f *Fault
	if errors.As(err, &f) {
		return f
	}
	return New(Internal, RanUnknown, "%v", err)
}
