package sequencer

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Finish records the outcome of a call; without a fault in the reply the record is committed.
func (o *Owner) Finish(ctx context.Context, q *FinishRequest, r *FinishReply) {
	k := q.Ticket
	if r.Fault = k.Name.Check(); r.Fault != nil {
		return
	}
	f, ok := o.fence(k.Name)
	if !ok {
		o.turnAway(k.Name, &r.Fault, &r.Moved)
		return
	}
	t, p, fault := o.enter(ctx, k.Name)
	if fault != nil {
		r.Fault = fault.With(classifier.RanUnknown)
		return
	}
	record, fault := o.settle(ctx, f, t, p, q)
	t.release()
	if fault != nil || record == nil {
		r.Fault = fault
		return
	}
	o.awaitCommit(ctx, record, r)
}

// commitment is what a reply waits for: a record, or a settlement that has made
// its turn visible.
type commitment interface {
	Wait(ctx context.Context) error
}

func (o *Owner) awaitCommit(ctx context.Context, record commitment, r *FinishReply) {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	switch err := record.Wait(ctx); {
	case err == nil:
	case errors.Is(err, journaler.ErrFenced):
		r.Moved = true
	default:
		r.Fault = classifier.New(classifier.Doubt, classifier.RanUnknown, "the outcome is not recorded yet").After(storeRetry)
	}
}

// settle decides on an outcome for a locked tree and returns the record to wait for.
func (o *Owner) settle(ctx context.Context, f leaser.Fence, t *tree, p *program, q *FinishRequest) (commitment, *classifier.Fault) {
	k := q.Ticket
	if turn, ok := p.turn(k.Number, ""); ok {
		return o.resettle(f, t, p, turn, q)
	}
	c := p.open
	switch {
	case c == nil && k.Number == p.row.Next:
		// The owner changed or the ticket expired; the reservation is already spent.
		k.Reserved = 0
		p.open = &call{ticket: k, repeatable: true}
		c = p.open
	case c == nil || c.ticket.Attempt != k.Attempt:
		return nil, classifier.New(classifier.TicketExpired, q.Outcome.Ran, "another attempt of call %d took over", k.Number)
	case c.settling != nil:
		return c.settling, nil
	}
	if len(c.ticket.Messages) == 0 {
		c.ticket.Messages = k.Messages
	}
	if q.Outcome.Ran == classifier.RanNo || (k.Kind == ModelCall && q.Outcome.Ran != classifier.RanYes) {
		return nil, o.release(f, t, p, q)
	}
	return o.record(ctx, f, t, p, q.Outcome)
}

// resettle accepts a repeated outcome, and a known one in place of an unknown one.
func (o *Owner) resettle(f leaser.Fence, t *tree, p *program, turn *turnRow, q *FinishRequest) (commitment, *classifier.Fault) {
	if turn.Attempt != q.Ticket.Attempt {
		return nil, classifier.New(classifier.TicketExpired, q.Outcome.Ran, "another attempt of call %d is recorded", turn.Number)
	}
	if turn.Outcome.Ran != classifier.RanUnknown || q.Outcome.Ran == classifier.RanUnknown {
		return nil, nil
	}
	next := *turn
	next.Outcome = q.Outcome
	next.Outcome.Number = turn.Number
	w, err := encodeTurn(context.Background(), o.o.Objects, p.name, next)
	if err != nil {
		return nil, storeAway(err).With(classifier.RanUnknown)
	}
	record, fault := o.submit(p.name, f, []storer.Write{w})
	if fault != nil {
		return nil, fault.With(classifier.RanUnknown)
	}
	return o.await(&settlement{program: p, turn: next, record: record, corrects: true}, t), nil
}

// await lets a settlement run.
func (o *Owner) await(s *settlement, t *tree) *settlement {
	s.owner, s.tree, s.done = o, t, make(chan struct{})
	o.tomb.Go(s.run)
	return s
}

// release withdraws a call that did not run, or a model call that failed.
func (o *Owner) release(f leaser.Fence, t *tree, p *program, q *FinishRequest) *classifier.Fault {
	used := 0
	if q.Outcome.Ran != classifier.RanNo {
		used = p.open.ticket.Reserved
	}
	persisted := p.open.persisted
	o.withdraw(t, p, used)
	if !persisted && used == 0 {
		return nil
	}
	writes, err := t.rows(p)
	if err != nil {
		return classifier.From(err)
	}
	// The withdrawal need not be durable before the answer: a lost one leaves an intent in doubt.
	_, fault := o.submit(p.name, f, writes)
	return fault
}

// record appends the turn of the open call and returns the record that commits it.
func (o *Owner) record(ctx context.Context, f leaser.Fence, t *tree, p *program, out Outcome) (commitment, *classifier.Fault) {
	c := p.open
	k := c.ticket
	out.Number = k.Number
	turn := turnRow{
		Number: k.Number, Kind: k.Kind, Key: k.Key, Hash: k.Hash, Attempt: k.Attempt,
		Messages: k.Messages, Outcome: out, Previous: p.row.Chain,
	}
	turn.Chain = link(p.row.Chain, turn)
	tw, err := encodeTurn(ctx, o.o.Objects, p.name, turn)
	if err != nil {
		return nil, storeAway(err).With(classifier.RanUnknown)
	}
	used := 0
	if k.Kind == ModelCall {
		used = min(k.Reserved, max(0, out.Usage.Prompt-p.row.History)+out.Usage.Completion)
		p.row.History = out.Usage.Prompt + out.Usage.Completion
		p.row.Attained += out.Usage.Prompt - out.Usage.Cached + out.Usage.Completion
		p.row.Last = out.Target
	}
	t.inUse -= k.Reserved
	t.charge(p, used)
	p.row.Chain, p.row.Next, p.row.Intent = turn.Chain, k.Number+1, nil
	writes, err := t.rows(p)
	if err != nil {
		return nil, classifier.From(err)
	}
	record, fault := o.submit(p.name, f, append(writes, tw))
	if fault != nil {
		// Memory is ahead of the store: forget it and let the program be loaded again.
		o.drop(p.name.Root(), t)
		return nil, fault.With(classifier.RanUnknown)
	}
	c.settling = o.await(&settlement{program: p, turn: turn, record: record}, t)
	return c.settling, nil
}

// rows returns the writes of the program and of its root.
func (t *tree) rows(p *program) ([]storer.Write, error) {
	w, err := encodeProgram(p.name, p.row)
	if err != nil || p == t.root {
		return []storer.Write{w}, err
	}
	root, err := encodeProgram(t.root.name, t.root.row)
	return []storer.Write{w, root}, err
}

// settlement makes a turn visible once it is committed.
type settlement struct {
	owner   *Owner
	tree    *tree
	program *program
	turn    turnRow
	record  *journaler.Record
	// corrects says that the turn replaces an unknown outcome.
	corrects bool
	done     chan struct{}
}

// Wait returns the result of the record once its turn is visible to readers.
func (s *settlement) Wait(ctx context.Context) error {
	select {
	case <-s.done:
		return s.record.Wait(ctx)
	case <-ctx.Done():
		return errors.Wrap(journaler.ErrDoubt, ctx.Err().Error())
	}
}

func (s *settlement) run() error {
	defer close(s.done)
	select {
	case <-s.record.Done():
	case <-s.owner.tomb.Dying():
		return nil
	}
	s.tree.acquire()
	defer s.tree.release()
	if s.record.Err() != nil {
		s.owner.drop(s.program.name.Root(), s.tree)
		return nil
	}
	if s.corrects {
		s.program.turns[s.turn.Number-1] = s.turn
		return nil
	}
	s.program.remember(s.turn)
	s.program.free()
	return nil
}
