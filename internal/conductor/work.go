package conductor

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// work is one attempt at a call.
type work struct {
	conductor *Conductor
	call      *Call
	attempt   string
	begun     *sequencer.BeginReply
	begunAt   time.Time
	keeper    *keeper
	// emitted says that the caller has seen a part of the answer.
	emitted bool
	// replica is the one that serves the call.
	replica string
}

func (w *work) partition() int {
	return w.call.name().Partition(w.conductor.o.Map.Partitions())
}

// begin waits for the call's turn; each question to the owner is short, so that
// the ticket's lifetime counts from before the last one was sent. A question
// that was sent is not given up when the caller leaves: its ticket would be
// lost, and with it the certainty that the call did not run.
func (w *work) begin(caller context.Context) (*sequencer.BeginReply, *classifier.Fault) {
	q := &sequencer.BeginRequest{
		Name: w.call.name(), Number: w.call.Number, Key: w.call.Key, Kind: w.call.kind(),
		Target: w.call.Target.Name, Repeatable: w.call.repeatable(), Hash: w.call.Hash,
		Messages: w.call.Messages, MaxTokens: w.call.MaxTokens, Attempt: w.attempt,
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), beginLimit)
	defer cancel()
	for {
		r, f := w.askTurn(ctx, q)
		if f != nil || !r.Waiting {
			return r, f
		}
		if ctx.Err() != nil || caller.Err() != nil {
			return nil, classifier.New(classifier.CallOutOfOrder, classifier.RanNo, "earlier calls of the program are under way or missing").After(time.Second)
		}
	}
}

// askTurn asks the owner once, again if the answer is lost.
func (w *work) askTurn(ctx context.Context, q *sequencer.BeginRequest) (*sequencer.BeginReply, *classifier.Fault) {
	for {
		w.begunAt = time.Now()
		once, stop := context.WithTimeout(ctx, callTimeout)
		r, f := ask(once, w.conductor.owners, w.partition(), sequencer.ServiceName+".Begin", q,
			func(r *sequencer.BeginReply) bool { return r.Moved })
		stop()
		if f == nil {
			return r, r.Fault
		}
		if ctx.Err() != nil {
			return nil, f
		}
	}
}

// finish records an outcome, or withdraws the call.
func (w *work) finish(ctx context.Context, out *sequencer.Outcome, f *classifier.Fault) (*sequencer.Outcome, *classifier.Fault) {
	if out == nil {
		out = &sequencer.Outcome{Ran: f.Ran, Fault: f}
	}
	out.Number = w.begun.Ticket.Number
	out.Target = w.replica
	g := w.record(ctx, *out)
	switch {
	case f != nil && f.Ran == classifier.RanNo:
		return nil, f
	case g != nil && w.call.repeatable():
		return nil, g.With(classifier.RanUnknown)
	case g != nil:
		return nil, classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown, "the outcome of call %d is not recorded: %s", out.Number, g.Message).After(finishLimit)
	case f != nil:
		return nil, f
	}
	return out, nil
}

// record sends an outcome to the owner until it is committed or time is up.
func (w *work) record(ctx context.Context, out sequencer.Outcome) *classifier.Fault {
	q := &sequencer.FinishRequest{Ticket: w.begun.Ticket, Outcome: out}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishLimit)
	defer cancel()
	for {
		r, f := ask(ctx, w.conductor.owners, w.partition(), sequencer.ServiceName+".Finish", q,
			func(r *sequencer.FinishReply) bool { return r.Moved })
		if f != nil {
			return classifier.New(classifier.Doubt, classifier.RanUnknown, "%s", f.Message).After(time.Second)
		}
		if r.Fault == nil || !again(r.Fault.Code) || ctx.Err() != nil {
			return r.Fault
		}
		select {
		case <-time.After(lastPause):
		case <-ctx.Done():
			return r.Fault
		}
	}
}

// again reports whether a record may succeed later.
func again(c classifier.Code) bool {
	return c == classifier.StoreAway || c == classifier.Doubt || c == classifier.OwnerAway
}
