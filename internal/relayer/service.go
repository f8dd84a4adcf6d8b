package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// maxRelayed bounds the calls of peers that are served at once, so that peers
// don't slow this daemon's own work.
const maxRelayed = 64

// Service serves the calls of peers.
type Service struct {
	direct *storer.Guard
	busy   atomic.Int64
	served atomic.Int64
}

// enter admits a call unless the service is out of reach here or too much is under way.
func (s *Service) enter(q Request, r *Reply) (context.Context, context.CancelFunc, bool) {
	if s.busy.Add(1) > maxRelayed || s.direct.Away() > 0 {
		s.busy.Add(-1)
		r.Outcome, r.Message = Refused, "the peer does not reach the service or is busy"
		return nil, nil, false
	}
	s.served.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), max(q.Left, time.Millisecond))
	done := func() {
		cancel()
		s.busy.Add(-1)
	}
	return ctx, done, true
}

// Get reads a row.
func (s *Service) Get(q Request, r *Reply) error {
	if ctx, done, ok := s.enter(q, r); ok {
		defer done()
		row, err := s.direct.Get(ctx, q.Key)
		r.Rows = []storer.Row{row}
		r.outcome(err)
	}
	return nil
}

// Scan reads a page of rows.
func (s *Service) Scan(q Request, r *Reply) error {
	if ctx, done, ok := s.enter(q, r); ok {
		defer done()
		var err error
		r.Rows, err = s.direct.Scan(ctx, q.Prefix, q.After, q.Limit)
		r.outcome(err)
	}
	return nil
}

// Commit applies a transaction.
func (s *Service) Commit(q Request, r *Reply) error {
	if ctx, done, ok := s.enter(q, r); ok {
		defer done()
		var err error
		r.Version, err = s.direct.Commit(ctx, q.Commit)
		r.outcome(err)
	}
	return nil
}

// List reads a table.
func (s *Service) List(q Request, r *Reply) error {
	if ctx, done, ok := s.enter(q, r); ok {
		defer done()
		var err error
		r.Rows, r.Version, err = s.direct.List(ctx, q.Table)
		r.outcome(err)
	}
	return nil
}

// Changes reads what changed in a table.
func (s *Service) Changes(q Request, r *Reply) error {
	if ctx, done, ok := s.enter(q, r); ok {
		defer done()
		var err error
		r.Changes, r.Version, err = s.direct.Changes(ctx, q.Table, q.Since, q.Wait)
		r.outcome(err)
	}
	return nil
}
