package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/steward"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// turn is what a request of a program has beside a plain request.
type turn struct {
	request *Request
	grant   *steward.Grant
	// tokens is the number of tokens that went to the client.
	tokens int
	// input and output are what the turn adds to the history.
	input, output []byte
}

// prepare loads the history and reserves the budget of a turn; it returns nil for
// a request that is no turn.
func (f *Forwarder) prepare(ctx context.Context, j *job) (*turn, *classifier.Fault) {
	q, r := j.request, j.route
	budgeted := q.Budgeted && q.Program != ""
	if r.Kind != cataloger.Streaming || !r.Retain && !budgeted {
		return nil, nil
	}
	need := steward.Turn{ID: q.ID, Program: q.Program, Parent: q.Parent, History: r.Retain, Lasts: time.Until(j.deadline)}
	if budgeted {
		need.Budget, need.Tokens = q.Budget, q.MaxTokens
		if need.Tokens == 0 {
			// A turn without a bound may generate all that there is.
			need.Tokens = q.Budget
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.options.StorePatience)
	defer cancel()
	grant, err := f.programs.Open(ctx, need)
	switch {
	case errors.Is(err, archivist.ErrNoTurn):
		return nil, classifier.New(classifier.NoSuchTurn, classifier.RanNo, "turn %q is not kept", q.Parent)
	case errors.Is(err, budgeter.ErrExhausted):
		return nil, classifier.New(classifier.BudgetExhausted, classifier.RanNo, "the budget of program %q does not hold %d tokens more", q.Program, need.Tokens)
	case err != nil:
		return nil, classifier.New(classifier.StoreAway, classifier.RanNo, "%v", err).After(spreadOver(f.options.OutageComeBack))
	}
	return &turn{request: q, grant: grant, input: q.Body}, nil
}

// chain returns the history before the turn, nil if it has none.
func (t *turn) chain() *archivist.Chain { return t.grant.Chain() }

// body returns what the replica reads: the history and the new input.
func (t *turn) body() [][]byte {
	if t == nil || t.chain() == nil {
		return nil
	}
	return append(t.chain().Texts(), t.input)
}

// length returns the number of turns before this one.
func (t *turn) length() int {
	if t.chain() == nil {
		return 0
	}
	return t.chain().Len()
}

// took notes an event that goes to the client.
func (t *turn) took(e event, tokens int) {
	if t == nil || !e.counts {
		return
	}
	t.tokens += tokens
	if t.chain() != nil {
		t.output = append(append(t.output, e.data...), '\n')
	}
}

// record keeps the turn before its answer ends.
func (f *Forwarder) record(ctx context.Context, t *turn) error {
	if t == nil || t.chain() == nil {
		return nil
	}
	text := make([]byte, 0, len(t.input)+len(t.output))
	text = append(append(text, t.input...), t.output...)
	return t.grant.Record(ctx, text)
}

// finish closes a turn that is over.
func (t *turn) finish() {
	if t != nil {
		t.grant.Close(t.tokens)
	}
}
