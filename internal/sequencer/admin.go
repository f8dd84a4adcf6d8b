package sequencer

import (
	"context"
	"slices"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Create creates a program; it is idempotent for the same budget.
func (o *Owner) Create(ctx context.Context, q *CreateRequest, r *ViewReply) {
	if r.Fault = q.Name.Check(); r.Fault != nil {
		return
	}
	parent, child := q.Name.Parent()
	if q.Budget < 0 || (!child && q.Budget == 0) {
		r.Fault = classifier.New(classifier.BadRequest, classifier.RanNo, "budget %d is out of range: it must not be negative, and a root program needs a positive one, in tokens", q.Budget)
		return
	}
	f, ok := o.fence(q.Name)
	if !ok {
		o.replyNotOwner(q.Name, &r.Fault, &r.Moved)
		return
	}
	t := o.lockTree(q.Name.Root())
	defer t.release()
	defer o.dropIfEmpty(t, q.Name)
	if child {
		if r.Fault = o.checkParent(ctx, t, parent); r.Fault != nil {
			return
		}
	}
	p, fault := o.load(ctx, t, q.Name)
	switch {
	case fault == nil:
		o.replyExisting(p, q, r)
	case fault.Code == classifier.NoSuchProgram:
		o.create(ctx, f, t, q, r)
	default:
		r.Fault = fault
	}
}

// checkParent returns a fault if the parent does not exist or has ended.
func (o *Owner) checkParent(ctx context.Context, t *tree, parent Name) *classifier.Fault {
	p, fault := o.load(ctx, t, parent)
	if fault != nil {
		return fault
	}
	if p.row.State == stateEnded || t.root.row.State == stateEnded {
		return classifier.New(classifier.ProgramEnded, classifier.RanNo, "parent %q has ended", parent.ID)
	}
	return nil
}

// replyExisting answers a repeated Create, or returns a fault if the budgets differ.
func (o *Owner) replyExisting(p *program, q *CreateRequest, r *ViewReply) {
	if p.row.Budget != q.Budget {
		r.Fault = classifier.New(classifier.ProgramExists, classifier.RanNo, "program %q already exists with budget %d", q.Name.ID, p.row.Budget)
		return
	}
	r.View = view(p, false)
}

// create commits the row of a new program while its tree stays locked.
func (o *Owner) create(ctx context.Context, f leaser.Fence, t *tree, q *CreateRequest, r *ViewReply) {
	p := newProgram(q.Name, programRow{State: stateLive, Budget: q.Budget, NextNumber: 1})
	w, err := encodeProgram(q.Name, p.row)
	if err != nil {
		r.Fault = classifier.From(err)
		return
	}
	record, fault := o.submit(p.name, f, []storer.Write{w})
	if fault != nil {
		r.Fault = fault
		return
	}
	var finished FinishReply
	o.awaitCommit(ctx, record, &finished)
	r.Fault, r.Moved = finished.Fault, finished.Moved
	if r.Fault != nil || r.Moved {
		o.drop(q.Name.Root(), t)
		return
	}
	t.programs[q.Name.ID] = p
	if t.root == nil {
		t.root = p
	}
	r.View = view(p, false)
}

// Read returns a program's state and, if requested, its history.
func (o *Owner) Read(ctx context.Context, q *ReadRequest, r *ViewReply) {
	t, p := o.lockOwned(ctx, q.Name, &r.Fault, &r.Moved)
	if p == nil {
		return
	}
	defer t.release()
	r.View = view(p, q.History)
	r.View.Reserved = t.inFlightTokens
}

// End ends a program; in-flight calls are still recorded.
func (o *Owner) End(ctx context.Context, q *ReadRequest, r *ViewReply) {
	t, p := o.lockOwned(ctx, q.Name, &r.Fault, &r.Moved)
	if p == nil {
		return
	}
	f, ok := o.fence(q.Name)
	if !ok {
		t.release()
		r.Moved = true
		return
	}
	p.row.State = stateEnded
	if p == t.root && t.inFlightTokens == 0 {
		p.row.Reserved = 0
	}
	r.View = view(p, false)
	w, err := encodeProgram(p.name, p.row)
	if err != nil {
		t.release()
		r.Fault = classifier.From(err)
		return
	}
	record, fault := o.submit(p.name, f, []storer.Write{w})
	t.release()
	if fault != nil {
		r.Fault = fault.With(classifier.RanUnknown)
		return
	}
	var finished FinishReply
	o.awaitCommit(ctx, record, &finished)
	r.Fault, r.Moved = finished.Fault, finished.Moved
}

// Lookup returns the recorded outcome of a call.
func (o *Owner) Lookup(ctx context.Context, q *LookupRequest, r *LookupReply) {
	t, p := o.lockOwned(ctx, q.Name, &r.Fault, &r.Moved)
	if p == nil {
		return
	}
	defer t.release()
	turn, ok := p.turn(q.Number, "")
	if !ok {
		r.Fault = classifier.New(classifier.NoSuchCall, classifier.RanNo, "program %q has no recorded call %d", q.Name.ID, q.Number)
		return
	}
	r.Outcome = turn.Outcome
}

// Gone returns the programs that have ended, do not exist or have been idle for longer
// than the request's limit. It omits programs that this daemon does not own.
func (o *Owner) Gone(ctx context.Context, q *GoneRequest, r *GoneReply) {
	for _, s := range q.Names {
		n, ok := ParseName(s)
		if !ok {
			r.Gone = append(r.Gone, s)
			continue
		}
		if _, owned := o.fence(n); !owned {
			continue
		}
		t, p, fault := o.lockLoaded(ctx, n)
		if fault != nil {
			if fault.Code == classifier.NoSuchProgram {
				r.Gone = append(r.Gone, s)
			}
			continue
		}
		ended := p.row.State == stateEnded || t.root.row.State == stateEnded
		idle := q.Idle > 0 && time.Since(p.idleSince) > q.Idle
		if p.openCall == nil && (ended || idle) {
			r.Gone = append(r.Gone, s)
		}
		t.release()
	}
}

// lockOwned returns the program and its locked tree, or fills in the fault or moved.
func (o *Owner) lockOwned(ctx context.Context, n Name, fault **classifier.Fault, moved *bool) (*tree, *program) {
	if *fault = n.Check(); *fault != nil {
		return nil, nil
	}
	if _, ok := o.fence(n); !ok {
		o.replyNotOwner(n, fault, moved)
		return nil, nil
	}
	t, p, f := o.lockLoaded(ctx, n)
	if f != nil {
		*fault = f
		return nil, nil
	}
	return t, p
}

func view(p *program, history bool) View {
	v := View{
		ID: p.name.ID, State: p.row.State, Budget: p.row.Budget, Spent: p.row.Spent,
		Calls: len(p.turns), Chain: p.row.Chain,
	}
	if parent, ok := p.name.Parent(); ok {
		v.Parent = parent.ID
	}
	if history {
		v.Messages = slices.Clone(p.history)
	}
	return v
}
