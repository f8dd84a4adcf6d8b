package sequencer

import (
	"context"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Finish records the outcome of a call, or withdraws a call that did not run. A reply with
// neither Fault nor Moved means that a recorded outcome is committed.
func (o *Owner) Finish(ctx context.Context, q *FinishRequest, r *FinishReply) {
	k := q.Ticket
	if r.Fault = k.Name.Check(); r.Fault != nil {
		return
	}
	f, ok := o.fence(k.Name)
	if !ok {
		o.replyNotOwner(k.Name, &r.Fault, &r.Moved)
		return
	}
	t, p, fault := o.lockLoaded(ctx, k.Name)
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

// commitWaiter waits for a commit: of a record, or of a settlement, which also makes its
// turn visible in memory.
type commitWaiter interface {
	Wait(ctx context.Context) error
}

func (o *Owner) awaitCommit(ctx context.Context, record commitWaiter, r *FinishReply) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	switch err := record.Wait(ctx); {
	case err == nil:
	case errors.Is(err, journaler.ErrFenced):
		r.Moved = true
	default:
		r.Fault = classifier.New(classifier.Doubt, classifier.RanUnknown, "the outcome is not recorded yet").After(storeRetryAfter)
	}
}

// settle applies an outcome to a locked tree and returns the commit to wait for, if any.
func (o *Owner) settle(ctx context.Context, f leaser.Fence, t *tree, p *program, q *FinishRequest) (commitWaiter, *classifier.Fault) {
	k := q.Ticket
	if turn, ok := p.turn(k.Number, ""); ok {
		return o.resettle(f, t, p, turn, q)
	}
	c := p.openCall
	switch {
	case c == nil && k.Number == p.row.NextNumber:
		// The owner changed or the ticket expired: the reservation is already charged.
		k.Reserved = 0
		p.openCall = &call{ticket: k, repeatable: true}
		c = p.openCall
	case c == nil || c.ticket.Attempt != k.Attempt:
		return nil, classifier.New(classifier.TicketExpired, q.Outcome.Ran, "call %d belongs to another attempt", k.Number)
	case c.pendingSettlement != nil:
		return c.pendingSettlement, nil
	}
	if len(c.ticket.Messages) == 0 {
		c.ticket.Messages = k.Messages
	}
	if q.Outcome.Ran == classifier.RanNo || (k.Kind == ModelCall && q.Outcome.Ran != classifier.RanYes) {
		return nil, o.releaseCall(f, t, p, q)
	}
	return o.recordTurn(ctx, f, t, p, q.Outcome)
}

// resettle handles an outcome for a turn recorded by the same attempt: a known outcome
// replaces an unknown one, and any other repeat changes nothing.
func (o *Owner) resettle(f leaser.Fence, t *tree, p *program, turn *turnRow, q *FinishRequest) (commitWaiter, *classifier.Fault) {
	if turn.Attempt != q.Ticket.Attempt {
		return nil, classifier.New(classifier.TicketExpired, q.Outcome.Ran, "call %d is recorded for another attempt", turn.Number)
	}
	if turn.Outcome.Ran != classifier.RanUnknown || q.Outcome.Ran == classifier.RanUnknown {
		return nil, nil
	}
	next := *turn
	next.Outcome = q.Outcome
	next.Outcome.Number = turn.Number
	w, err := encodeTurn(context.Background(), o.options.Objects, p.name, next)
	if err != nil {
		return nil, storeUnavailable(err).With(classifier.RanUnknown)
	}
	record, fault := o.submit(p.name, f, []storer.Write{w})
	if fault != nil {
		return nil, fault.With(classifier.RanUnknown)
	}
	return o.startSettlement(&settlement{program: p, turn: next, record: record, replacesUnknown: true}, t), nil
}

// startSettlement runs a settlement in the background.
func (o *Owner) startSettlement(s *settlement, t *tree) *settlement {
	s.owner, s.tree, s.done = o, t, make(chan struct{})
	o.tomb.Go(s.run)
	return s
}

// releaseCall withdraws a call that did not run or a model call without a complete answer.
func (o *Owner) releaseCall(f leaser.Fence, t *tree, p *program, q *FinishRequest) *classifier.Fault {
	used := 0
	if q.Outcome.Ran != classifier.RanNo {
		used = p.openCall.ticket.Reserved
	}
	persisted := p.openCall.persisted
	o.withdraw(t, p, used)
	if !persisted && used == 0 {
		return nil
	}
	writes, err := t.programWrites(p)
	if err != nil {
		return classifier.From(err)
	}
	// The reply need not wait for the withdrawal to commit: if it is lost, the intent
	// remains and the call's outcome is in doubt.
	_, fault := o.submit(p.name, f, writes)
	return fault
}

// recordTurn submits the turn of the in-flight call and returns the settlement to wait for.
func (o *Owner) recordTurn(ctx context.Context, f leaser.Fence, t *tree, p *program, out Outcome) (commitWaiter, *classifier.Fault) {
	c := p.openCall
	k := c.ticket
	out.Number = k.Number
	turn := turnRow{
		Number: k.Number, Kind: k.Kind, Key: k.Key, Hash: k.Hash, Attempt: k.Attempt,
		Messages: k.Messages, Outcome: out, Previous: p.row.Chain,
	}
	turn.Chain = chainHash(p.row.Chain, turn)
	turnWrite, err := encodeTurn(ctx, o.options.Objects, p.name, turn)
	if err != nil {
		return nil, storeUnavailable(err).With(classifier.RanUnknown)
	}
	used := 0
	if k.Kind == ModelCall {
		used = min(k.Reserved, max(0, out.Usage.Prompt-p.row.HistoryTokens)+out.Usage.Completion)
		p.row.HistoryTokens = out.Usage.Prompt + out.Usage.Completion
		p.row.Attained += out.Usage.Prompt - out.Usage.Cached + out.Usage.Completion
		p.row.LastTarget = out.Target
	}
	t.inFlightTokens -= k.Reserved
	t.charge(p, used)
	p.row.Chain, p.row.NextNumber, p.row.Intent = turn.Chain, k.Number+1, nil
	writes, err := t.programWrites(p)
	if err != nil {
		return nil, classifier.From(err)
	}
	record, fault := o.submit(p.name, f, append(writes, turnWrite))
	if fault != nil {
		// The state in memory is ahead of the store: drop the tree so that it is reloaded.
		o.drop(p.name.Root(), t)
		return nil, fault.With(classifier.RanUnknown)
	}
	c.pendingSettlement = o.startSettlement(&settlement{program: p, turn: turn, record: record}, t)
	return c.pendingSettlement, nil
}

// programWrites returns the row writes of the program and of its root.
func (t *tree) programWrites(p *program) ([]storer.Write, error) {
	w, err := encodeProgram(p.name, p.row)
	if err != nil || p == t.root {
		return []storer.Write{w}, err
	}
	root, err := encodeProgram(t.root.name, t.root.row)
	return []storer.Write{w, root}, err
}

// settlement applies a turn to the tree in memory once its record is committed.
type settlement struct {
	owner   *Owner
	tree    *tree
	program *program
	turn    turnRow
	record  *journaler.Record
	// replacesUnknown is set if the turn replaces one with an unknown outcome.
	replacesUnknown bool
	done            chan struct{}
}

// Wait returns the result of the record once readers can see the turn.
func (s *settlement) Wait(ctx context.Context) error {
	select {
	case <-s.done:
		return s.record.Wait(ctx)
	case <-ctx.Done():
		return errors.Wrap(journaler.ErrInDoubt, ctx.Err().Error())
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
	if s.replacesUnknown {
		s.program.turns[s.turn.Number-1] = s.turn
		return nil
	}
	s.program.addTurn(s.turn)
	s.program.closeCall()
	return nil
}
