package journaler

import "github.com/pkg/errors"

// ErrFenced says that another daemon owns the partition; nothing was written.
var ErrFenced = errors.New("journaler: partition is owned by another daemon")

// ErrDoubt says that the wait ended before the write was settled.
var ErrDoubt = errors.New("journaler: write is not settled yet")

// ErrFull says that too many records wait; nothing will be written.
var ErrFull = errors.New("journaler: ring is full")

// ErrClosed says that the journaler stopped before the write was settled.
var ErrClosed = errors.New("journaler: stopped")
