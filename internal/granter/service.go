package granter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	// ServiceName is the RPC name under which a Service is registered. Steward and home are
	// the older names of the granter and the coordinator; they stay in RPC and logs.
	ServiceName = "Steward"
	openMethod  = ServiceName + ".Open"
	closeMethod = ServiceName + ".Close"
	// returnMethod is called only at daemons that publish their process: a daemon of an older
	// build does not know it, and the call's error would close the shared connection.
	returnMethod = ServiceName + ".Return"
	// maxConcurrentOpens limits the turns that are being opened for peers at a time.
	maxConcurrentOpens = 64
	// maxConcurrentReturns limits the programs whose tokens are being returned at a time.
	maxConcurrentReturns = 64
)

// Outcome is the result of a request to open a turn.
type Outcome int

// The outcomes of an OpenRequest.
const (
	// Refused means that the calling daemon should open the turn itself, since the
	// coordinator could not load the history or reserve the tokens.
	Refused Outcome = iota
	// Closed means that the daemon opens no turns for peers: it is stopping or overloaded.
	Closed
	// Granted means that the tokens are reserved until the turn is closed.
	Granted
	// NoTurn stands for archivist.ErrNoTurn.
	NoTurn
	// Exhausted stands for budgeter.ErrExhausted.
	Exhausted
)

// OpenRequest asks the program's coordinator to open a turn.
type OpenRequest struct {
	// ID identifies the grant; the calling daemon chooses it.
	ID   string
	Turn Turn
	// Left is the time for which the calling daemon waits for the reply.
	Left time.Duration
	// Recall is set if Left also covers a round in which the holders of unused tokens are
	// asked to return them.
	Recall bool
	// ReadsHistory is set if the caller reads a history that the reply omits.
	ReadsHistory bool
}

// OpenReply answers an OpenRequest.
type OpenReply struct {
	Outcome Outcome
	// Throttled is set with Refused if the store serves fewer writes than it gets. The caller
	// then refuses the turn, since its own writes would only be more of them.
	Throttled bool
	// Recallable is set with Exhausted if the same request with Recall may be granted.
	Recallable bool
	// Turns is the history, oldest turn first.
	Turns []archivist.Turn
	// HistoryOmitted is set with Granted if the history is too large for a message. The caller
	// reads it from the store.
	HistoryOmitted bool
}

// CloseRequest closes a grant. The grant need not exist, since the caller may not
// know whether it was made.
type CloseRequest struct {
	ID   string
	Used int
	// Kept is the turn if it was persisted and is small enough for a message, and nil otherwise.
	Kept *archivist.Turn
}

// CloseReply answers a CloseRequest.
type CloseReply struct{}

// ReturnRequest asks a daemon to return the tokens of a program that it does not need.
type ReturnRequest struct {
	Program string
	// Left is the time for which the calling daemon waits for the reply.
	Left time.Duration
}

// ReturnReply answers a ReturnRequest.
type ReturnReply struct {
	// Changed is set if the program's row may have changed.
	Changed bool
}

// Service opens and closes turns on behalf of peers.
type Service struct {
	granter   *Granter
	inFlight  atomic.Int64
	returning atomic.Int64
}

// Service returns the RPC service that peers call.
func (s *Granter) Service() *Service { return &Service{granter: s} }

// Open opens a turn for a peer and reports the result as an Outcome; it never returns
// an error.
func (v *Service) Open(q OpenRequest, r *OpenReply) error {
	s := v.granter
	defer v.inFlight.Add(-1)
	if v.inFlight.Add(1) > maxConcurrentOpens || s.leaving.Load() {
		r.Outcome = Closed
		return nil
	}
	ctx, cancel := context.WithTimeout(s.tomb.Context(nil), q.Left)
	defer cancel()
	began := time.Now()
	chain, err := s.openLocally(ctx, q.Turn, q.Recall)
	switch {
	case errors.Is(err, archivist.ErrNoTurn):
		r.Outcome = NoTurn
		return nil
	case errors.Is(err, budgeter.ErrExhausted):
		r.Outcome = Exhausted
		var d *budgeter.Denial
		r.Recallable = !q.Recall && errors.As(err, &d) && s.recalls.mayRecall(q.Turn.Program, d.Processes(), began)
		return nil
	case err != nil:
		r.Throttled = errors.Is(err, storer.ErrThrottled)
		s.logger.Event("steward", "not opened for a peer").Str("id", q.Turn.ID).Err(err).End()
		return nil
	}
	defer chain.Release()
	var turns []archivist.Turn
	omitted := false
	if chain != nil {
		turns = chain.Turns()
		omitted = !fitsMessage(turns)
	}
	if omitted && !q.ReadsHistory {
		if q.Turn.Tokens > 0 {
			s.budgets.Finish(q.Turn.Program, q.Turn.Tokens, 0)
		}
		return nil
	}
	if q.Turn.Tokens > 0 {
		g := peerGrant{program: q.Turn.Program, tokens: q.Turn.Tokens, expires: time.Now().Add(q.Turn.Lasts + expireMargin)}
		if !s.grants.add(q.ID, g) {
			s.budgets.Finish(g.program, g.tokens, 0)
			return nil
		}
	}
	s.served.Add(1)
	r.Outcome, r.HistoryOmitted = Granted, omitted
	if !omitted {
		r.Turns = turns
	}
	return nil
}

// Return returns the tokens of a program that are held here and not needed; it never returns
// an error.
func (v *Service) Return(q ReturnRequest, r *ReturnReply) error {
	s := v.granter
	defer v.returning.Add(-1)
	if v.returning.Add(1) > maxConcurrentReturns {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.tomb.Context(nil), q.Left)
	defer cancel()
	var err error
	if r.Changed, err = s.budgets.ReturnUnused(ctx, q.Program); err != nil {
		s.logger.Event("steward", "tokens not returned").Str("program", q.Program).Err(err).End()
	}
	return nil
}

// Close closes a grant; a repeated call has no effect.
func (v *Service) Close(q CloseRequest, _ *CloseReply) error {
	s := v.granter
	if g, ok := s.grants.close(q.ID, time.Now()); ok {
		s.budgets.Finish(g.program, g.tokens, q.Used)
	}
	if q.Kept != nil {
		s.turns.AddToCache(*q.Kept)
	}
	return nil
}
