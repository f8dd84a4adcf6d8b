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
	chain    *archivist.Chain
	reserved int
	// tokens is the number of tokens that went to the client.
	tokens int
	// input and output are what the turn adds to the history.
	input, output []byte
}

// prepare loads the history and reserves the budget of a turn, side by side; it
// returns nil for a request that is no turn.
func (f *Forwarder) prepare(ctx context.Context, q *Request, r *cataloger.Route) (*turn, *classifier.Fault) {
	budgeted := q.Budgeted && q.Program != ""
	if r.Kind != cataloger.Streaming || !r.Retain && !budgeted {
		return nil, nil
	}
	t := &turn{request: q, input: q.Body}
	ctx, cancel := context.WithTimeout(ctx, f.options.StorePatience)
	defer cancel()
	l := &loading{forwarder: f, request: q, done: make(chan struct{})}
	if r.Retain && budgeted {
		go l.run(ctx)
	} else if r.Retain {
		l.run(ctx)
	}
	var fault *classifier.Fault
	if budgeted {
		t.reserved, fault = f.reserve(ctx, q)
	}
	if r.Retain {
		<-l.done
		t.chain = l.chain
		if l.fault != nil {
			// What the history says goes first: a turn without one never runs.
			fault = l.fault
		}
	}
	if fault != nil {
		f.finish(t)
		return nil, fault
	}
	return t, nil
}

// loading reads the history of a turn.
type loading struct {
	forwarder *Forwarder
	request   *Request
	done      chan struct{}
	chain     *archivist.Chain
	fault     *classifier.Fault
}

func (l *loading) run(ctx context.Context) {
	defer close(l.done)
	chain, err := l.forwarder.turns.Chain(ctx, l.request.Parent)
	switch {
	case errors.Is(err, archivist.ErrNoTurn):
		l.fault = classifier.New(classifier.NoSuchTurn, classifier.RanNo, "turn %q is not kept", l.request.Parent)
	case err != nil:
		l.fault = l.forwarder.storeAway(err, "history")
	}
	l.chain = chain
}

// reserve sets the tokens of a turn aside and returns how many.
func (f *Forwarder) reserve(ctx context.Context, q *Request) (int, *classifier.Fault) {
	tokens := q.MaxTokens
	if tokens == 0 {
		// A turn without a bound may generate all that there is.
		tokens = q.Budget
	}
	err := f.budgets.Reserve(ctx, q.Program, q.Budget, tokens)
	switch {
	case errors.Is(err, budgeter.ErrExhausted):
		return 0, classifier.New(classifier.BudgetExhausted, classifier.RanNo, "the budget of program %q does not hold %d tokens more", q.Program, tokens)
	case err != nil:
		return 0, f.storeAway(err, "budget")
	}
	return tokens, nil
}

// body returns what the replica reads: the history and the new input.
func (t *turn) body() [][]byte {
	if t == nil || t.chain == nil {
		return nil
	}
	return append(t.chain.Texts(), t.input)
}

// length returns the number of turns before this one.
func (t *turn) length() int {
	if t.chain == nil {
		return 0
	}
	return t.chain.Len()
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
