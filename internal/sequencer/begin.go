package sequencer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Begin grants a ticket for a call, replays its recorded outcome, or asks the entry daemon
// to poll again while earlier calls are in flight.
func (o *Owner) Begin(ctx context.Context, q *BeginRequest, r *BeginReply) {
	if r.Fault = q.validate(); r.Fault != nil {
		return
	}
	deadline := time.Now().Add(pollTimeout)
	for {
		f, ok := o.fence(q.Name)
		if !ok {
			o.replyNotOwner(q.Name, &r.Fault, &r.Moved)
			return
		}
		t, p, fault := o.lockLoaded(ctx, q.Name)
		if fault != nil {
			r.Fault = fault
			return
		}
		wait, record := o.admit(f, t, p, q, r)
		if wait == nil {
			t.release()
			if record != nil {
				o.awaitBeginRecord(ctx, t, p, record, r)
			}
			return
		}
		p.waiting++
		t.release()
		woken := awaitWake(ctx, wait, time.Until(deadline))
		t.acquire()
		p.waiting--
		t.release()
		if !woken {
			r.Waiting = true
			return
		}
	}
}

func (q *BeginRequest) validate() *classifier.Fault {
	if f := q.Name.Check(); f != nil {
		return f
	}
	if q.Number < 0 || q.Attempt == "" || q.Hash == "" || q.MaxTokens < 0 {
		return classifier.New(classifier.BadRequest, classifier.RanNo, "number or max tokens is negative, or attempt or hash is empty")
	}
	if q.Kind != ModelCall && q.Kind != ServiceCall {
		return classifier.New(classifier.BadRequest, classifier.RanNo, "kind %q is neither model nor service", q.Kind)
	}
	return nil
}

// awaitWake waits until wake is closed; false means a timeout or the end of the context.
func awaitWake(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	select {
	case <-wake:
		return true
	case <-time.After(d):
	case <-ctx.Done():
	}
	return false
}

// admit decides on a call of a locked tree. It fills the reply, or returns a channel to
// wait on; a returned record must commit before the ticket may be used.
func (o *Owner) admit(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) (<-chan struct{}, *journaler.Record) {
	if turn, ok := p.turn(q.Number, q.Key); ok {
		r.replay(turn, q)
		return nil, nil
	}
	if p.openCall != nil || q.Number > p.row.NextNumber {
		return o.queue(p, q, r), nil
	}
	if r.Fault = o.startFault(t, p); r.Fault != nil {
		return nil, nil
	}
	if q.Kind == ModelCall {
		return nil, o.beginModelCall(f, t, p, q, r)
	}
	return nil, o.beginServiceCall(f, t, p, q, r)
}

// replay returns a recorded outcome, or a fault if the request differs from the recorded one.
func (r *BeginReply) replay(turn *turnRow, q *BeginRequest) {
	if turn.Hash != q.Hash {
		r.Fault = classifier.New(classifier.CallReused, classifier.RanNo, "call %d is recorded with a different request hash", turn.Number)
		return
	}
	out := turn.Outcome
	r.Replay = &out
}

// queue returns the channel that a call waits on, or grants the ticket again if the
// in-flight call is the same attempt.
func (o *Owner) queue(p *program, q *BeginRequest, r *BeginReply) <-chan struct{} {
	if c := p.openCall; c != nil && c.ticket.Attempt == q.Attempt && c.pendingSettlement == nil {
		r.grant(p, c)
		return nil
	}
	if p.waiting >= maxWaitingCalls {
		r.Fault = classifier.New(classifier.TooManyWaiting, classifier.RanNo, "%d calls of the program already wait", p.waiting).After(time.Second)
		return nil
	}
	return p.wake
}

// startFault returns the reason why no call of the program may start, if there is one.
func (o *Owner) startFault(t *tree, p *program) *classifier.Fault {
	switch {
	case p.row.State == stateEnded || t.root.row.State == stateEnded:
		return classifier.New(classifier.ProgramEnded, classifier.RanNo, "program %q has ended", p.name.ID)
	case p.row.NextNumber > o.options.MaxTurns:
		return classifier.New(classifier.TooManyTurns, classifier.RanNo, "program %q has reached its limit of %d calls", p.name.ID, o.options.MaxTurns)
	case o.options.Journal.Unavailable():
		return storeUnavailable(errors.New("the journal can't commit"))
	}
	return nil
}

// beginModelCall reserves budget for a model call, at one token per byte of new input. The
// stored reservation grows in chunks of reserveChunkTokens, so that most calls need no write.
func (o *Owner) beginModelCall(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) *journaler.Record {
	added := newMessages(p.history, q.Messages)
	input := messageBytes(added)
	available := t.remaining()
	if p != t.root && p.row.Budget > 0 {
		available = min(available, p.row.Budget-p.row.Spent)
	}
	if available < input+1 {
		r.Fault = classifier.New(classifier.BudgetExhausted, classifier.RanNo,
			"%d tokens remain, but the call may need %d", max(0, available), input+1)
		return nil
	}
	limit := min(q.MaxTokens, available-input)
	c := o.startCall(p, q)
	c.repeatable = true
	c.ticket.Messages = added
	c.ticket.Reserved = input + limit
	t.inFlightTokens += c.ticket.Reserved
	r.grant(p, c)
	r.MaxTokens = limit
	if t.root.row.Reserved >= t.inFlightTokens {
		return nil
	}
	t.root.row.Reserved = min(t.inFlightTokens+reserveChunkTokens, t.root.row.Budget-t.root.row.Spent)
	return o.persist(f, t, p, r, t.root)
}

// beginServiceCall starts a service call; one that must not be repeated needs a durable
// intent before it is dispatched.
func (o *Owner) beginServiceCall(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) *journaler.Record {
	c := o.startCall(p, q)
	c.repeatable = q.Repeatable
	r.grant(p, c)
	if q.Repeatable {
		return nil
	}
	c.persisted = true
	p.row.Intent = &intent{Number: c.ticket.Number, Attempt: q.Attempt, Key: q.Key, Hash: q.Hash, TargetName: q.Target}
	return o.persist(f, t, p, r, p)
}

// startCall sets the in-flight call of a program with a new ticket.
func (o *Owner) startCall(p *program, q *BeginRequest) *call {
	c := &call{expires: time.Now().Add(ticketLifetime)}
	c.ticket = Ticket{
		Name: q.Name, Number: p.row.NextNumber, Attempt: q.Attempt, Kind: q.Kind,
		Hash: q.Hash, Key: q.Key, Lifetime: ticketLifetime,
	}
	p.openCall = c
	return c
}

func (r *BeginReply) grant(p *program, c *call) {
	r.Ticket = c.ticket
	r.Prompt = append(slices.Clone(p.history), c.ticket.Messages...)
	r.MaxTokens = c.ticket.Reserved - messageBytes(c.ticket.Messages)
	r.Attained = p.row.Attained
	r.HistoryTokens = p.row.HistoryTokens
	r.LastTarget = p.row.LastTarget
	if c.replica != "" {
		r.LastTarget = c.replica
	}
}

// persist submits the changed program's row; it must commit before the ticket may be used.
func (o *Owner) persist(f leaser.Fence, t *tree, p *program, r *BeginReply, changed *program) *journaler.Record {
	w, err := encodeProgram(changed.name, changed.row)
	if err != nil {
		o.withdraw(t, p, 0)
		r.Fault = classifier.From(err).With(classifier.RanNo)
		return nil
	}
	record, fault := o.submit(p.name, f, []storer.Write{w})
	if fault != nil {
		o.withdraw(t, p, 0)
		r.Fault = fault
	}
	return record
}

// awaitBeginRecord waits until the record of an admitted call is committed. On failure it
// replaces the reply by a fault, so that the call does not start.
func (o *Owner) awaitBeginRecord(ctx context.Context, t *tree, p *program, record *journaler.Record, r *BeginReply) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := record.Wait(ctx)
	if err == nil {
		return
	}
	attempt := r.Ticket.Attempt
	*r = BeginReply{}
	if errors.Is(err, journaler.ErrFenced) {
		o.drop(p.name.Root(), t)
		r.Moved = true
		return
	}
	r.Fault = storeUnavailable(err)
	t.acquire()
	defer t.release()
	if p.openCall != nil && p.openCall.ticket.Attempt == attempt {
		o.withdraw(t, p, 0)
	}
}

// withdraw ends the in-flight call of a locked tree without a turn and charges the tokens
// that it may have used.
func (o *Owner) withdraw(t *tree, p *program, used int) {
	c := p.openCall
	t.inFlightTokens -= c.ticket.Reserved
	t.charge(p, used)
	p.row.Intent = nil
	p.closeCall()
}

// charge moves used tokens from the durable reservation to the spent total.
func (t *tree) charge(p *program, used int) {
	t.root.row.Spent += used
	t.root.row.Reserved = max(0, t.root.row.Reserved-used)
	if p != t.root {
		p.row.Spent += used
	}
}
