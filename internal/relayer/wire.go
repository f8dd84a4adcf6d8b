package relayer

import (
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/storer"
)

// Request is a call of the table service; exactly one of its parts is used.
type Request struct {
	Key    string
	Prefix string
	After  string
	Limit  int
	Commit storer.Transaction
	Table  string
	Since  uint64
	Wait   time.Duration
	// Left is how long the caller waits.
	Left time.Duration
}

// Reply is the outcome of a call.
type Reply struct {
	Rows    []storer.Row
	Changes []storer.Change
	Version uint64
	Outcome Outcome
	Message string
}

// Outcome is an error of the table service as a number.
type Outcome int

// The outcomes.
const (
	Done Outcome = iota
	Conflicted
	HistoryGone
	Refused
	InDoubt
)

// outcome translates an error for the peer; a conflict's rows go along.
func (r *Reply) outcome(err error) {
	if err == nil {
		return
	}
	r.Message = err.Error()
	var c *storer.Conflict
	if errors.As(err, &c) {
		r.Rows = c.Rows()
	}
	switch {
	case errors.Is(err, storer.ErrConflict):
		r.Outcome = Conflicted
	case errors.Is(err, storer.ErrHistory):
		r.Outcome = HistoryGone
	case errors.Is(err, storer.ErrRefused):
		r.Outcome = Refused
	default:
		r.Outcome = InDoubt
	}
}

// err translates the outcome back.
func (r *Reply) err() error {
	switch r.Outcome {
	case Done:
		return nil
	case Conflicted:
		return storer.NewConflict(r.Rows)
	case HistoryGone:
		return storer.ErrHistory
	case Refused:
		return errors.Wrapf(storer.ErrRefused, "through a peer: %s", r.Message)
	}
	return errors.Wrapf(storer.ErrUnavailable, "through a peer: %s", r.Message)
}
