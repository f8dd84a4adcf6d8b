package conductor

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// attempt is one attempt at a call; a call outside any program has no beginReply.
type attempt struct {
	conductor   *Conductor
	call        *Call
	id          string
	beginReply  *sequencer.BeginReply
	beginSentAt time.Time
	renewer     *renewer
	// streamed is set once the caller has received a part of the answer.
	streamed bool
	// replica is the replica that serves the call.
	replica string
}

func (a *attempt) partition() int {
	return a.call.name().Partition(a.conductor.o.PartitionMap.Partitions())
}

// begin polls the program's owner until the call is admitted. Each poll is short, because
// the ticket's lifetime counts from before the last poll was sent. A poll is not canceled
// when the caller disconnects: that would lose a granted ticket, and with it the certainty
// that the call did not run.
func (a *attempt) begin(caller context.Context) (*sequencer.BeginReply, *classifier.Fault) {
	q := &sequencer.BeginRequest{
		Name: a.call.name(), Number: a.call.Number, Key: a.call.Key, Kind: a.call.kind(),
		Target: a.call.Target.Name, Repeatable: a.call.repeatable(), Hash: a.call.Hash,
		Messages: a.call.Messages, MaxTokens: a.call.MaxTokens, Attempt: a.id,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), beginTimeout)
	defer cancel()
	for {
		r, f := a.beginOnce(ctx, q)
		if f != nil || !r.Waiting {
			return r, f
		}
		if ctx.Err() != nil || caller.Err() != nil {
			return nil, classifier.New(classifier.CallOutOfOrder, classifier.RanNo, "earlier calls of the program are in flight or missing").After(time.Second)
		}
	}
}

// beginOnce sends one poll to the owner and repeats it if the reply is lost.
func (a *attempt) beginOnce(ctx context.Context, q *sequencer.BeginRequest) (*sequencer.BeginReply, *classifier.Fault) {
	for {
		a.beginSentAt = time.Now()
		callCtx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		r, f := callOwner(callCtx, a.conductor.ownerClient, a.partition(), sequencer.ServiceName+".Begin", q,
			func(r *sequencer.BeginReply) bool { return r.Moved })
		cancel()
		if f == nil {
			return r, r.Fault
		}
		if ctx.Err() != nil {
			return nil, f
		}
	}
}

// finish records the outcome of the call, or withdraws the call if it did not run.
func (a *attempt) finish(ctx context.Context, out *sequencer.Outcome, f *classifier.Fault) (*sequencer.Outcome, *classifier.Fault) {
	if out == nil {
		out = &sequencer.Outcome{Ran: f.Ran, Fault: f}
	}
	out.Number = a.beginReply.Ticket.Number
	// Target holds the id of the replica (fixed field name).
	out.Target = a.replica
	recordFault := a.recordOutcome(ctx, *out)
	switch {
	case f != nil && f.Ran == classifier.RanNo:
		return nil, f
	case recordFault != nil && a.call.repeatable():
		return nil, recordFault.With(classifier.RanUnknown)
	case recordFault != nil:
		return nil, classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "the outcome of call %d is not recorded: %s", out.Number, recordFault.Message).After(finishTimeout)
	case f != nil:
		return nil, f
	}
	return out, nil
}

// recordOutcome sends the outcome to the owner and retries until it is committed, the owner
// rejects it or finishTimeout expires.
func (a *attempt) recordOutcome(ctx context.Context, out sequencer.Outcome) *classifier.Fault {
	q := &sequencer.FinishRequest{Ticket: a.beginReply.Ticket, Outcome: out}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	for {
		r, f := callOwner(ctx, a.conductor.ownerClient, a.partition(), sequencer.ServiceName+".Finish", q,
			func(r *sequencer.FinishReply) bool { return r.Moved })
		if f != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%s", f.Message).After(time.Second)
		}
		if r.Fault == nil || !retryable(r.Fault.Code) || ctx.Err() != nil {
			return r.Fault
		}
		select {
		case <-time.After(maxBackoff):
		case <-ctx.Done():
			return r.Fault
		}
	}
}

// retryable reports whether a retry of recordOutcome may succeed after the fault.
func retryable(c classifier.Code) bool {
	return c == classifier.StoreAway || c == classifier.Doubt || c == classifier.OwnerAway
}
