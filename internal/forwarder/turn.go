package forwarder

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/archivist"
	"pimentorail.example/pimentorail/internal/budgeter"
	"pimentorail.example/pimentorail/internal/cataloger"
	"pimentorail.example/pimentorail/internal/granter"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// newline follows each line of an output.
var newline = []byte("\n")

// turn is the state of a request that has a history or a budget.
type turn struct {
	request *Request
	grant   *granter.Grant
	// tokens is the number of tokens forwarded to the client.
	tokens int
	// input and output are the texts that the turn adds to the history.
	input  []byte
	output leasedText
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

// addEvent adds an event that will be forwarded to the client to the turn. It returns an error
// if the memory of the response does not suffice for the output.
func (t *turn) addEvent(e event, tokens int, l *responseLease) error {
	if t == nil || !e.hasData {
		return nil
	}
	t.tokens += tokens
	if t.chain() == nil {
		return nil
	}
	for line := range bytes.Lines(e.raw) {
		data, isData := dataOf(bytes.TrimRight(line, "\r\n"))
		if !isData {
			continue
		}
		if err := t.output.append(l, data); err != nil {
			return err
		}
		if err := t.output.append(l, newline); err != nil {
			return err
		}
	}
	return nil
}

// hasOutput reports whether the output of the turn is kept.
func (t *turn) hasOutput() bool { return t != nil && t.chain() != nil }

// isTooLarge reports whether the turn's text is too large to be stored.
func (t *turn) isTooLarge() bool {
	return t.hasOutput() && len(t.input)+t.output.bytes > archivist.MaxTurnBytes
}

// persist stores the turn in the history. It is called before the client's stream ends.
func (f *Forwarder) persist(ctx context.Context, t *turn) error {
	if t == nil || t.chain() == nil {
		return nil
	}
	text := make([]byte, 0, len(t.input)+t.output.bytes)
	text = t.output.appendTo(append(text, t.input...))
	t.output = leasedText{}
	return t.grant.Record(ctx, text)
}

// close releases the turn's grant and reports the tokens used.
func (t *turn) close() {
	if t != nil {
		t.grant.Close(t.tokens)
	}
}
