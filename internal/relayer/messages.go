package relayer

import (
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// Request holds the arguments of a relayed call; each method uses its own fields.
type Request struct {
	Key    string
	Prefix string
	After  string
	Limit  int
	Commit storer.Transaction
	Table  string
	Since  uint64
	Wait   time.Duration
	// Left is the caller's remaining time.
	Left time.Duration
}

// Reply holds the result of a relayed call.
type Reply struct {
	Rows    []storer.Row
	Changes []storer.Change
	Version uint64
	Outcome Outcome
	Message string
}

// Outcome is the kind of error that a relayed call returned.
type Outcome int

// The outcomes; peers exchange them as numbers, so their order is fixed.
const (
	Done Outcome = iota
	Conflicted
	HistoryGone
	Refused
	InDoubt
)

// setOutcome encodes an error, with the current rows of a conflict.
func (r *Reply) setOutcome(err error) {
	if err == nil {
		return
	}
	r.Message = err.Error()
	var conflict *storer.Conflict
	if errors.As(err, &conflict) {
		r.Rows = conflict.Rows()
	}
	switch {
	case errors.Is(err, storer.ErrConflict):
		r.Outcome = Conflicted
	case errors.Is(err, storer.ErrHistoryGone):
		r.Outcome = HistoryGone
	case errors.Is(err, storer.ErrRefused):
		r.Outcome = Refused
	default:
		r.Outcome = InDoubt
	}
}

// err decodes the outcome to an error of package storer.
func (r *Reply) err() error {
	switch r.Outcome {
	case Done:
		return nil
	case Conflicted:
		return storer.NewConflict(r.Rows)
	case HistoryGone:
		return storer.ErrHistoryGone
	case Refused:
		return errors.Wrapf(storer.ErrRefused, "relayed through a peer: %s", r.Message)
	}
	return errors.Wrapf(storer.ErrUnavailable, "relayed through a peer: %s", r.Message)
}
