package storer

import "github.com/pkg/errors"

// ErrConflict says that a condition did not hold and nothing was written.
var ErrConflict = errors.New("storer: condition does not hold")

// ErrAbsent says that an object does not exist.
var ErrAbsent = errors.New("storer: no such object")

// ErrUnavailable says that the service did not answer; a write may have taken effect.
var ErrUnavailable = errors.New("storer: service does not answer")

// ErrHistory says that the changes asked for are no longer kept; list the table again.
var ErrHistory = errors.New("storer: history is not available")

// ErrRefused says that the service refused the request and did nothing.
var ErrRefused = errors.New("storer: request refused")

// ErrAway is an ErrRefused that says that the service answers nobody here, so
// that trying again at once is of no use.
var ErrAway = errors.WithMessage(ErrRefused, "storer: service is away")

// Conflict is an ErrConflict that brings the current rows of the conditions.
type Conflict struct {
	rows []Row
}

// NewConflict returns a conflict with the current rows.
func NewConflict(rows []Row) *Conflict { return &Conflict{rows: rows} }

// Rows returns the current rows of the transaction's conditions; absent ones may be missing.
func (c *Conflict) Rows() []Row { return c.rows }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }
