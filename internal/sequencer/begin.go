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

// Begin gives a call its turn, replays its recorded outcome, or asks the entry to wait.
func (o *Owner) Begin(ctx context.Context, q *BeginRequest, r *BeginReply) {
	if r.Fault = q.check(); r.Fault != nil {
		return
	}
	deadline := time.Now().Add(pollWait)
	for {
		f, ok := o.fence(q.Name)
		if !ok {
			o.turnAway(q.Name, &r.Fault, &r.Moved)
			return
		}
		t, p, fault := o.enter(ctx, q.Name)
		if fault != nil {
			r.Fault = fault
			return
		}
		wait, record := o.admit(f, t, p, q, r)
		if wait == nil {
			t.release()
			if record != nil {
				o.confirm(ctx, t, p, record, r)
			}
			return
		}
		p.waiting++
		t.release()
		again := await(ctx, wait, time.Until(deadline))
		t.acquire()
		p.waiting--
		t.release()
		if !again {
			r.Waiting = true
			return
		}
	}
}

func (q *BeginRequest) check() *classifier.Fault {
	if f := q.Name.Check(); f != nil {
		return f
	}
	if q.Number < 0 || q.Attempt == "" || q.Hash == "" || q.MaxTokens < 0 {
		return classifier.New(classifier.BadRequest, classifier.RanNo, "number, attempt, hash or max tokens is out of range")
	}
	if q.Kind != ModelCall && q.Kind != ServiceCall {
		return classifier.New(classifier.BadRequest, classifier.RanNo, "kind %q is neither model nor service", q.Kind)
	}
	return nil
}

// await waits for a wake-up; false means that time is up.
func await(ctx context.Context, wake <-chan struct{}, d time.Duration) bool {
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

// admit decides on a call of a locked tree: it fills the reply, or returns what
// to wait for, or the record that must commit before the ticket may be used.
func (o *Owner) admit(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) (<-chan struct{}, *journaler.Record) {
	if turn, ok := p.turn(q.Number, q.Key); ok {
		r.replay(turn, q)
		return nil, nil
	}
	if p.open != nil || q.Number > p.row.Next {
		return o.queue(p, q, r), nil
	}
	if r.Fault = o.refuse(t, p); r.Fault != nil {
		return nil, nil
	}
	if q.Kind == ModelCall {
		return nil, o.openModel(f, t, p, q, r)
	}
	return nil, o.openService(f, t, p, q, r)
}

func (r *BeginReply) replay(turn *turnRow, q *BeginRequest) {
	if turn.Hash != q.Hash {
		r.Fault = classifier.New(classifier.CallReused, classifier.RanNo, "call %d was another request", turn.Number)
		return
	}
	out := turn.Outcome
	r.Replay = &out
}

// queue returns what a call waits for, or repeats the ticket of the same attempt.
func (o *Owner) queue(p *program, q *BeginRequest, r *BeginReply) <-chan struct{} {
	if c := p.open; c != nil && c.ticket.Attempt == q.Attempt && c.settling == nil {
		r.grant(p, c)
		return nil
	}
	if p.waiting >= maxWaiting {
		r.Fault = classifier.New(classifier.TooManyWaiting, classifier.RanNo, "%d calls of the program wait", p.waiting).After(time.Second)
		return nil
	}
	return p.wake
}

// refuse returns why no call of the program may start now.
func (o *Owner) refuse(t *tree, p *program) *classifier.Fault {
	switch {
	case p.row.State == stateEnded || t.root.row.State == stateEnded:
		return classifier.New(classifier.ProgramEnded, classifier.RanNo, "program %q has ended", p.name.ID)
	case p.row.Next > o.o.MaxTurns:
		return classifier.New(classifier.TooManyTurns, classifier.RanNo, "program %q has made %d calls", p.name.ID, o.o.MaxTurns)
	case o.o.Journal.Away():
		return storeAway(errors.New("journal fails"))
	}
	return nil
}

// openModel reserves budget for a model call.
func (o *Owner) openModel(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) *journaler.Record {
	added := fresh(p.history, q.Messages)
	input := size(added)
	room := t.room()
	if p != t.root && p.row.Budget > 0 {
		room = min(room, p.row.Budget-p.row.Spent)
	}
	if room < input+1 {
		r.Fault = classifier.New(classifier.BudgetExhausted, classifier.RanNo,
			"%d tokens are left and the call needs up to %d", max(0, room), input+1)
		return nil
	}
	limit := min(q.MaxTokens, room-input)
	c := o.opened(p, q)
	c.repeatable = true
	c.ticket.Messages = added
	c.ticket.Reserved = input + limit
	t.inUse += c.ticket.Reserved
	r.grant(p, c)
	r.MaxTokens = limit
	if t.root.row.Reserved >= t.inUse {
		return nil
	}
	t.root.row.Reserved = min(t.inUse+reserveChunk, t.root.row.Budget-t.root.row.Spent)
	return o.persist(f, t, p, r, t.root)
}

// openService records the intent of a call that must not be repeated.
func (o *Owner) openService(f leaser.Fence, t *tree, p *program, q *BeginRequest, r *BeginReply) *journaler.Record {
	c := o.opened(p, q)
	c.repeatable = q.Repeatable
	r.grant(p, c)
	if q.Repeatable {
		return nil
	}
	c.persisted = true
	p.row.Intent = &intent{Number: c.ticket.Number, Attempt: q.Attempt, Key: q.Key, Hash: q.Hash, Target: q.Target}
	return o.persist(f, t, p, r, p)
}

func (o *Owner) opened(p *program, q *BeginRequest) *call {
	c := &call{expires: time.Now().Add(ticketLifetime)}
	c.ticket = Ticket{
		Name: q.Name, Number: p.row.Next, Attempt: q.Attempt, Kind: q.Kind,
		Hash: q.Hash, Key: q.Key, Lifetime: ticketLifetime,
	}
	p.open = c
	return c
}

func (r *BeginReply) grant(p *program, c *call) {
	r.Ticket = c.ticket
	r.Prompt = append(slices.Clone(p.history), c.ticket.Messages...)
	r.MaxTokens = c.ticket.Reserved - size(c.ticket.Messages)
	r.Attained = p.row.Attained
	r.HistoryTokens = p.row.History
	r.LastTarget = p.row.Last
	if c.target != "" {
		r.LastTarget = c.target
	}
}

// persist writes one program row before the ticket may be used.
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

// confirm waits until the record of an open call is committed; without that the call does not start.
func (o *Owner) confirm(ctx context.Context, t *tree, p *program, record *journaler.Record, r *BeginReply) {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
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
	r.Fault = storeAway(err)
	t.acquire()
	defer t.release()
	if p.open != nil && p.open.ticket.Attempt == attempt {
		o.withdraw(t, p, 0)
	}
}

// withdraw ends the open call of a locked tree without a record and charges what it may have used.
func (o *Owner) withdraw(t *tree, p *program, used int) {
	c := p.open
	t.inUse -= c.ticket.Reserved
	t.charge(p, used)
	p.row.Intent = nil
	p.free()
}

// charge moves used tokens from the reservation to what is spent.
func (t *tree) charge(p *program, used int) {
	t.root.row.Spent += used
	t.root.row.Reserved = max(0, t.root.row.Reserved-used)
	if p != t.root {
		p.row.Spent += used
	}
}
