package signaler

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// maxPending is the number of signals of a kind that wait for their receiver.
const maxPending = 16

// process receives the signals of this process.
var process = newReceiver()

// receiver cancels a context at the first signal that stops the process and passes on the others.
type receiver struct {
	stopped context.Context
	cancel  context.CancelCauseFunc
	// stops receives SIGINT and SIGTERM, and repeats those after the first.
	stops, repeats chan os.Signal
	reloads, dumps chan os.Signal
}

func newReceiver() *receiver {
	r := &receiver{
		stops: make(chan os.Signal, maxPending), repeats: make(chan os.Signal, maxPending),
		// Signals that come before they are received count as one.
		reloads: make(chan os.Signal, 1), dumps: make(chan os.Signal, 1),
	}
	signal.Notify(r.reloads, syscall.SIGHUP)
	signal.Notify(r.stops, syscall.SIGINT, syscall.SIGTERM)
	signal.Notify(r.dumps, syscall.SIGQUIT)
	// Without this, a write to standard output or standard error whose reader has ended ends the
	// process.
	signal.Ignore(syscall.SIGPIPE)
	r.stopped, r.cancel = context.WithCancelCause(context.Background())
	go r.run()
	return r
}

func (r *receiver) run() {
	r.cancel(stopError{<-r.stops})
	for s := range r.stops {
		select {
		case r.repeats <- s:
		default: // Nobody receives them any more.
		}
	}
}

// stopError is the cause of a context that a signal ended. Its text is the signal's name.
type stopError struct{ signal os.Signal }

// Error implements error.
func (e stopError) Error() string { return e.signal.String() }

// Is makes the cause match the error of an ended context.
func (e stopError) Is(target error) bool { return target == context.Canceled }

// Context returns a context that ends at the first SIGINT or SIGTERM, with the signal as its
// cause. From then on further signals don't end the process either.
func Context() context.Context { return process.stopped }

// Repeats returns the channel of SIGINT and SIGTERM after the first.
func Repeats() <-chan os.Signal { return process.repeats }

// Reloads returns the channel of SIGHUP. Signals that nobody has received yet count as one.
func Reloads() <-chan os.Signal { return process.reloads }

// Dumps returns the channel of SIGQUIT.
func Dumps() <-chan os.Signal { return process.dumps }

// Reset restores the default reaction to signals, but for SIGPIPE, which stays ignored. SIGHUP and
// SIGQUIT among them that came before have their effect then.
func Reset(list ...os.Signal) {
	if len(list) == 0 {
		return // signal.Reset would reset all of them.
	}
	signal.Reset(list...)
	for _, s := range list {
		select {
		case <-process.pending(s):
			_ = syscall.Kill(syscall.Getpid(), s.(syscall.Signal)) // The process may always signal itself.
		default:
		}
	}
}

// pending returns the channel of a signal that came before the process reacts to it, nil for others.
func (r *receiver) pending(s os.Signal) chan os.Signal {
	switch s {
	case syscall.SIGHUP:
		return r.reloads
	case syscall.SIGQUIT:
		return r.dumps
	}
	return nil
}
