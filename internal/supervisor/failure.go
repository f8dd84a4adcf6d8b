package supervisor

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"
)

// maxFrames bounds the stack in a Failure, so that its log line stays short.
const maxFrames = 24

// Failure is the panic of a goroutine, or the unexpected error of a loop.
type Failure struct {
	name       string
	err        error
	stack      string
	unreported int
}

// Name returns the name of the goroutine.
func (f Failure) Name() string { return f.name }

// Err returns the error, a *PanicError for a panic.
func (f Failure) Err() error { return f.err }

// Stack returns the innermost calls of a panic, empty for an error.
func (f Failure) Stack() string { return f.stack }

// Unreported returns the number of failures since the last report that were not reported.
func (f Failure) Unreported() int { return f.unreported }

// PanicError is the error that stands for a panic.
type PanicError struct{ value any }

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// Unwrap returns the value of the panic if it is an error.
func (e *PanicError) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// stack returns the calls that led to the panic that the calling goroutine recovers from,
// innermost first.
func stack() string {
	pcs := make([]uintptr, 2*maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(0, pcs)])
	var list []string
	for more := true; more && len(list) < maxFrames; {
		var f runtime.Frame
		f, more = frames.Next()
		if f.Function == "runtime.gopanic" {
			list = nil
			continue
		}
		list = append(list, fmt.Sprintf("%s %s:%d", f.Function, filepath.Base(f.File), f.Line))
	}
	return strings.Join(list, "; ")
}
