package forwarder

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// turn is what a request of a program has beside a plain request.
type turn struct {
	request  *Request
	route    *cataloger.Route
	chain    *archivist.Chain
	reserved int
	// tokens is the number of tokens that went to the client.
	tokens int
	// input and output are what the turn adds to the history.
	input, output []byte
}

// prepare loads the history and reserves the budget of a turn; it returns nil
// for a request that is no turn.
func (f *Forwarder) prepare(ctx context.Context, q *Request, r *cataloger.Route) (*turn, *classifier.Fault) {
	if r.Kind != cataloger.Streaming || !r.Retain && !q.Budgeted {
		return nil, nil
	}
	t := &turn{request: q, route: r, input: q.Body}
	ctx, cancel := context.WithTimeout(ctx, f.options.StorePatience)
	defer cancel()
	if r.Retain {
		chain, err := f.turns.Chain(ctx, q.Parent)
		if errors.Is(err, archivist.ErrNoTurn) {
			return nil, classifier.New(classifier.NoSuchTurn, classifier.RanNo, "turn %q is not kept", q.Parent)
		}
		if err != nil {
			return nil, f.storeAway(err, "history")
		}
		t.chain = chain
	}
	if q.Budgeted && q.Program != "" {
		tokens := q.MaxTokens
		if tokens == 0 {
			// A turn without a bound may generate all that there is.
			tokens = q.Budget
		}
		err := f.budgets.Reserve(ctx, q.Program, q.Budget, tokens)
		if errors.Is(err, budgeter.ErrExhausted) {
			return nil, classifier.New(classifier.BudgetExhausted, classifier.RanNo, "the budget of program %q does not hold %d tokens more", q.Program, tokens)
		}
		if err != nil {
			return nil, f.storeAway(err, "budget")
		}
		t.reserved = tokens
	}
	return t, nil
}

// body returns what the replica reads: the history and the new input.
func (t *turn) body() [][]byte {
	if t == nil || t.chain == nil {
		return nil
	}
	return append(t.chain.Texts(), t.input)
}

// took notes an event that goes to the client.
func (t *turn) took(e event, tokens int) {
	if t == nil || !e.counts {
		return
	}
	t.tokens += tokens
	if t.chain != nil {
		t.output = append(append(t.output, e.data...), '\n')
	}
}

// record keeps the turn before its answer ends.
func (f *Forwarder) record(ctx context.Context, t *turn) error {
	if t == nil || t.chain == nil {
		return nil
	}
	text := make([]byte, 0, len(t.input)+len(t.output))
	text = append(append(text, t.input...), t.output...)
	return f.turns.Record(ctx, t.chain, archivist.Turn{ID: t.request.ID, Parent: t.request.Parent, Text: text})
}

// finish settles the budget of a turn that is over.
func (f *Forwarder) finish(t *turn) {
	if t != nil && t.reserved > 0 {
		f.budgets.Finish(t.request.Program, t.reserved, t.tokens)
	}
}
