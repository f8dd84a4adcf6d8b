package storer

import "github.com/pkg/errors"

// ErrConflict is returned if a condition did not hold; nothing was written.
var ErrConflict = errors.New("storer: condition does not hold")

// ErrAbsent is returned if an object does not exist.
var ErrAbsent = errors.New("storer: no such object")

// ErrUnavailable is returned if the outcome is not known: there was no reply, a malformed
// one or an error status. A write may have been applied.
var ErrUnavailable = errors.New("storer: no valid reply from the store")

// ErrHistoryGone is returned if the requested changes are no longer retained; the caller must
// list the table again.
var ErrHistoryGone = errors.New("storer: changes are no longer retained")

// ErrRefused is returned if the request was not sent or the store refused it; nothing was
// written.
var ErrRefused = errors.New("storer: request refused")

// ErrThrottled is an ErrRefused for a request above the rate that the store serves. An
// immediate retry adds to the load.
var ErrThrottled = errors.WithMessage(ErrRefused, "storer: above the store's rate")

// ErrOutage is an ErrRefused returned without sending the request during an outage of the
// store or of one of its partitions. An immediate retry fails too.
var ErrOutage = errors.WithMessage(ErrRefused, "storer: store outage")

// Conflict is an ErrConflict with the current rows of the transaction's conditions.
type Conflict struct {
	rows []Row
}

// NewConflict returns a Conflict with the current rows.
func NewConflict(rows []Row) *Conflict { return &Conflict{rows: rows} }

// Rows returns the current rows of the transaction's conditions; rows that do not exist
// may be omitted.
func (c *Conflict) Rows() []Row { return c.rows }

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Unwrap returns ErrConflict.
func (c *Conflict) Unwrap() error { return ErrConflict }
