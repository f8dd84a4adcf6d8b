package steward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
)

const (
	// ServiceName is the name under which peers call a Service.
	ServiceName = "Steward"
	openMethod  = ServiceName + ".Open"
	closeMethod = ServiceName + ".Close"
	// maxServed bounds the turns that are opened for peers at once.
	maxServed = 64
)

// Outcome says what became of a request to open a turn.
type Outcome int

// The outcomes.
const (
	// Refused means that the asking daemon should open the turn itself, since the
	// home has not what it takes in memory and can't get it.
	Refused Outcome = iota
	// Closed means that the home opens no turns.
	Closed
	// Granted means that the tokens are held until the turn is closed.
	Granted
	// NoTurn and Exhausted mean what the errors of these names mean.
	NoTurn
	Exhausted
)

// OpenRequest asks a home to open a turn.
type OpenRequest struct {
	// ID names the grant; the asking daemon chooses it.
	ID   string
	Turn Turn
	// Left is how long the asking daemon waits.
	Left time.Duration
}

// OpenReply answers an OpenRequest.
type OpenReply struct {
	Outcome Outcome
	// Turns is the history, the oldest first.
	Turns []archivist.Turn
}

// CloseRequest closes a grant, also one that was never made.
type CloseRequest struct {
	ID   string
	Used int
	// Kept is the turn, if it was recorded.
	Kept *archivist.Turn
}

// CloseReply answers a CloseRequest.
type CloseReply struct{}

// Service opens turns for peers.
type Service struct {
	steward *Steward
	busy    atomic.Int64
}

// Service returns what peers call.
func (s *Steward) Service() *Service { return &Service{steward: s} }

// Open opens a turn for a peer.
func (v *Service) Open(q OpenRequest, r *OpenReply) error {
	s := v.steward
	defer v.busy.Add(-1)
	if v.busy.Add(1) > maxServed || s.leaving.Load() {
		r.Outcome = Closed
		return nil
	}
	ctx, cancel := context.WithTimeout(s.tomb.Context(nil), q.Left)
	defer cancel()
	chain, err := s.open(ctx, q.Turn)
	switch {
	case errors.Is(err, archivist.ErrNoTurn):
		r.Outcome = NoTurn
		return nil
	case errors.Is(err, budgeter.ErrExhausted):
		r.Outcome = Exhausted
		return nil
	case err != nil:
		s.recorder.Event("steward", "not opened for a peer").Str("id", q.Turn.ID).Err(err).End()
		return nil
	}
	if q.Turn.Tokens > 0 {
		h := holding{program: q.Turn.Program, tokens: q.Turn.Tokens, until: time.Now().Add(q.Turn.Lasts + expireMargin)}
		if !s.book.add(q.ID, h) {
			s.budgets.Finish(h.program, h.tokens, 0)
			return nil
		}
	}
	s.served.Add(1)
	r.Outcome = Granted
	if chain != nil {
		r.Turns = chain.Turns()
	}
	return nil
}

// Close closes a grant; doing it twice changes nothing.
func (v *Service) Close(q CloseRequest, _ *CloseReply) error {
	s := v.steward
	if h, ok := s.book.close(q.ID, time.Now()); ok {
		s.budgets.Finish(h.program, h.tokens, q.Used)
	}
	if q.Kept != nil {
		s.turns.Learn(*q.Kept)
	}
	return nil
}
