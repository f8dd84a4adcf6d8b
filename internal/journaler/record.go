package journaler

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
)

// Record is a submitted set of writes; it is settled exactly once.
type Record struct {
	fence  leaser.Fence
	writes []storer.Write
	done   chan struct{}
	err    error
}

func newRecord(f leaser.Fence, writes []storer.Write) *Record {
	return &Record{fence: f, writes: writes, done: make(chan struct{})}
}

func (r *Record) settle(err error) {
	r.err = err
	close(r.done)
}

// Done returns a channel that is closed when the record is settled.
func (r *Record) Done() <-chan struct{} { return r.done }

// Err returns the result of a settled record: nil, ErrFenced or ErrClosed.
func (r *Record) Err() error { return r.err }

// Wait waits for the result; it returns ErrInDoubt if the context ends first.
func (r *Record) Wait(ctx context.Context) error {
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return errors.Wrap(ErrInDoubt, ctx.Err().Error())
	}
}
