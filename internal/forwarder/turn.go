package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// turn is the state of a request that has a history or a budget.
type turn struct {
	request *Request
	grant   *granter.Grant
	// tokens is the number of tokens forwarded to the client.
	tokens int
	// input and output are the texts that the turn adds to the history.
	input, output []byte
}

// openTurn loads the history and reserves the budget of a turn. It returns nil for a
// request that has neither.
func (f *Forwarder) openTurn(ctx context.Context, j *job) (*turn, *classifier.Fault) {
	q, r := j.request, j.route
	budgeted := q.Budgeted && q.Program != ""
	if r.Kind != cataloger.Streaming || !r.Retain && !budgeted {
		return nil, nil
	}
	t := granter.Turn{
		ID: j.scope.ID(q.ID), Program: j.scope.ID(q.Program), Parent: j.scope.ID(q.Parent), History: r.Retain, Lasts: time.Until(j.deadline),
	}
	if budgeted {
		t.Budget, t.Tokens = q.Budget, q.MaxTokens
		if t.Tokens == 0 {
			// Without a token limit the turn may use the whole budget.
			t.Tokens = q.Budget
		}
	}
	if r.Retain {
		if err := f.programs.Check(t, len(q.Body)); err != nil {
			return nil, classifier.New(classifier.TooLarge, classifier.RanNo, "%v", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.StoreTimeout)
	defer cancel()
	grant, err := f.programs.Open(ctx, t)
	switch {
	case errors.Is(err, archivist.ErrNoTurn):
		return nil, classifier.New(classifier.NoSuchTurn, classifier.RanNo, "turn %q is not stored", q.Parent)
	case errors.Is(err, budgeter.ErrExhausted):
		return nil, classifier.New(classifier.BudgetExhausted, classifier.RanNo, "the remaining budget of program %q is less than %d tokens", q.Program, t.Tokens)
	case errors.Is(err, archivist.ErrMemory):
		return nil, classifier.New(classifier.Overloaded, classifier.RanNo, "%v", err).After(f.retryAfter())
	case err != nil:
		return nil, classifier.New(classifier.StoreAway, classifier.RanNo, "%v", f.withoutScope(j, err)).After(withJitter(f.options.OutageRetryAfter))
	}
	return &turn{request: q, grant: grant, input: q.Body}, nil
}

// chain returns the history before the turn, or nil if the turn has no history.
func (t *turn) chain() *archivist.Chain { return t.grant.Chain() }

// body returns the request body for the replica, the history followed by the new input,
// or nil if the turn has no history.
func (t *turn) body() [][]byte {
	if t == nil || t.chain() == nil {
		return nil
	}
	return append(t.chain().Texts(), t.input)
}

// historyLength returns the number of turns in the history.
func (t *turn) historyLength() int {
	if t.chain() == nil {
		return 0
	}
	return t.chain().Len()
}

// addEvent adds an event that is forwarded to the client to the turn.
func (t *turn) addEvent(e event, tokens int) {
	if t == nil || !e.hasData {
		return
	}
	t.tokens += tokens
	if t.chain() != nil {
		t.output = append(append(t.output, e.data...), '\n')
	}
}

// isTooLarge reports whether the turn's text is too large to be stored.
func (t *turn) isTooLarge() bool {
	return t != nil && t.chain() != nil && len(t.input)+len(t.output) > archivist.MaxTurnBytes
}

// persist stores the turn in the history. It is called before the client's stream ends.
func (f *Forwarder) persist(ctx context.Context, t *turn) error {
	if t == nil || t.chain() == nil {
		return nil
	}
	text := make([]byte, 0, len(t.input)+len(t.output))
	text = append(append(text, t.input...), t.output...)
	return t.grant.Record(ctx, text)
}

// close releases the turn's grant and reports the tokens used.
func (t *turn) close() {
	if t != nil {
		t.grant.Close(t.tokens)
	}
}
