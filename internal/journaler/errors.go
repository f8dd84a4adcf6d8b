package journaler

import "github.com/pkg/errors"

// ErrFenced means that another daemon owns the partition; nothing was written.
var ErrFenced = errors.New("journaler: partition is owned by another daemon")

// ErrInDoubt means that the wait ended before the write was settled, so that its outcome
// is unknown.
var ErrInDoubt = errors.New("journaler: write is not settled yet")

// ErrFull means that too many records are queued; nothing will be written.
var ErrFull = errors.New("journaler: queue is full")

// ErrClosed means that the journaler stopped before the write was settled; the write may
// or may not have been committed.
var ErrClosed = errors.New("journaler: stopped")
