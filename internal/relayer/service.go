package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"pimentorail.example/pimentorail/internal/storer"
)

// maxRelayed bounds the concurrent calls served for peers, so that they do not slow this
// daemon's own work.
const maxRelayed = 64

// Service is the RPC service that executes the calls of peers directly, learns of peers that
// join, and tells them for how long this daemon has read the registry of replicas.
type Service struct {
	direct   *storer.Guard
	members  *members
	registry *registry
	inFlight atomic.Int64
	served   atomic.Int64
}

// admit admits a call unless the store is unavailable here or too many calls are
// in flight. It returns the call's context and a function to call at its end.
func (s *Service) admit(q Request, r *Reply) (context.Context, context.CancelFunc, bool) {
	if s.inFlight.Add(1) > maxRelayed || s.direct.OutageDuration() > 0 {
		s.inFlight.Add(-1)
		r.Outcome, r.Message = Refused, "the peer cannot reach the store or has too many calls in flight"
		return nil, nil, false
	}
	s.served.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), max(q.Left, time.Millisecond))
	done := func() {
		cancel()
		s.inFlight.Add(-1)
	}
	return ctx, done, true
}

// Get reads a row.
func (s *Service) Get(q Request, r *Reply) error {
	if ctx, done, ok := s.admit(q, r); ok {
		defer done()
		row, err := s.direct.Get(ctx, q.Key)
		r.Rows = []storer.Row{row}
		r.setOutcome(err)
	}
	return nil
}

// Scan reads a page of rows.
func (s *Service) Scan(q Request, r *Reply) error {
	if ctx, done, ok := s.admit(q, r); ok {
		defer done()
		var err error
		r.Rows, err = s.direct.Scan(ctx, q.Prefix, q.After, q.Limit)
		r.setOutcome(err)
	}
	return nil
}

// Commit applies a transaction.
func (s *Service) Commit(q Request, r *Reply) error {
	if ctx, done, ok := s.admit(q, r); ok {
		defer done()
		var err error
		r.Version, err = s.direct.Commit(ctx, q.Commit)
		r.setOutcome(err)
	}
	return nil
}

// List reads a table.
func (s *Service) List(q Request, r *Reply) error {
	if ctx, done, ok := s.admit(q, r); ok {
		defer done()
		var err error
		r.Rows, r.Version, err = s.direct.List(ctx, q.Table)
		r.setOutcome(err)
	}
	return nil
}

// Changes reads the changes of a table.
func (s *Service) Changes(q Request, r *Reply) error {
	if ctx, done, ok := s.admit(q, r); ok {
		defer done()
		var err error
		r.Changes, r.Version, err = s.direct.Changes(ctx, q.Table, q.Since, q.Wait)
		r.setOutcome(err)
	}
	return nil
}
