package classifier

import (
	"fmt"
	"math"
	"time"

	"github.com/pkg/errors"
)

// Fault is a failure as reported to a caller. Its fields are exported for gob and JSON.
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

// After returns a copy that asks the caller to retry after d.
func (f *Fault) After(d time.Duration) *Fault {
	g := *f
	g.RetryAfterMS = max(1, d.Milliseconds())
	return &g
}

// With returns a copy whose Ran field is ran.
func (f *Fault) With(ran Ran) *Fault {
	g := *f
	g.Ran = ran
	return &g
}

// RetryAfter returns the time after which to retry, zero if the fault sets none.
func (f *Fault) RetryAfter() time.Duration {
	return time.Duration(f.RetryAfterMS) * time.Millisecond
}

// RetrySeconds returns the value of the Retry-After header, RetryAfter rounded up to seconds.
func (f *Fault) RetrySeconds() int {
	return int(math.Ceil(float64(f.RetryAfterMS) / 1000))
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", f.Code, f.Name, f.Ran, f.Message)
}

// From returns the first fault in the chain of err. If there is none, it returns an Internal
// fault with RanUnknown and the message of err.
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
