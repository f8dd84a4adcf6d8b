package conductor

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// lateAnswerTimeout is the minimum time for which an answer is awaited to a service call that
// must not be repeated, counted from its dispatch.
const lateAnswerTimeout = time.Minute

// dispatch places and sends the call. It retries only if the call certainly did not run.
func (a *attempt) dispatch(ctx context.Context) (*sequencer.Outcome, *classifier.Fault) {
	var f *classifier.Fault
	failed := map[string]bool{}
	for range maxAttempts {
		s, placeFault := a.place(ctx, failed)
		if placeFault != nil {
			return nil, placeFault
		}
		if !a.ticketValid() {
			s.release(allocator.ReleaseRequest{})
			return nil, classifier.New(classifier.TicketExpired, classifier.RanNo, "the ticket expired before dispatch").After(time.Second)
		}
		var out *sequencer.Outcome
		out, f = a.send(ctx, s)
		if f == nil {
			return out, nil
		}
		failed[s.replica] = true
		if f.Ran != classifier.RanNo || ctx.Err() != nil {
			break
		}
	}
	if f.RetryAfterMS == 0 {
		f = f.After(time.Second)
	}
	return nil, f
}

// ticketValid reports whether the call may still be dispatched; a call outside any program
// needs no ticket.
func (a *attempt) ticketValid() bool { return a.renewer == nil || a.renewer.valid() }

// send sends the call to the slot's replica and releases the slot.
func (a *attempt) send(ctx context.Context, s *slot) (*sequencer.Outcome, *classifier.Fault) {
	a.replica = s.replica
	if a.renewer != nil {
		a.renewer.setReplica(s.replica)
	}
	if a.call.Target.Kind == declarer.Engine {
		return a.sendModel(ctx, s)
	}
	return a.sendService(ctx, s)
}

func (a *attempt) sendModel(ctx context.Context, s *slot) (*sequencer.Outcome, *classifier.Fault) {
	q := dispatcher.ModelRequest{
		ID: a.streamID(), Priority: s.level, Model: a.call.Target.Name,
		Messages: a.call.Messages, MaxTokens: a.call.MaxTokens,
	}
	if a.beginReply != nil {
		q.HoldProgram = a.call.name().String()
		q.Messages, q.MaxTokens = a.beginReply.Prompt, a.beginReply.MaxTokens
	}
	r, err := a.conductor.o.Targets.Model(ctx, s.address, q, a.sink)
	if err != nil {
		s.release(allocator.ReleaseRequest{Failed: ctx.Err() == nil})
		return nil, faultOf(err)
	}
	a.conductor.recordAnswer(r.CompletionTokens)
	s.release(allocator.ReleaseRequest{
		Service: max(1, r.CompletionTokens), First: r.TimeToFirstToken, Gap: r.TokenGap, Took: r.Duration, Prefill: r.PromptTokens - r.CachedTokens,
	})
	return &sequencer.Outcome{
		Ran: classifier.RanYes, Status: 200, Content: []byte(r.Text), Finish: r.Finish,
		Usage: sequencer.Usage{Prompt: r.PromptTokens, Completion: r.CompletionTokens, Cached: r.CachedTokens},
	}, nil
}

func (a *attempt) sink(text string) {
	if a.call.Sink != nil {
		a.streamed = true
		a.call.Sink(text)
	}
}

// streamID returns the same id for all attempts at a program's call, so that a later attempt
// at the same engine finds the stream of an earlier one.
func (a *attempt) streamID() string {
	if a.beginReply == nil {
		return a.id
	}
	return streamID(a.beginReply.Ticket)
}

func faultOf(err error) *classifier.Fault {
	var e *dispatcher.Error
	if errors.As(err, &e) {
		return e.Fault()
	}
	return classifier.From(err)
}

// sendService sends a service call. A call that must not be repeated continues in the
// background after its timeout, so that a late answer can still be recorded.
func (a *attempt) sendService(ctx context.Context, s *slot) (*sequencer.Outcome, *classifier.Fault) {
	g := &serviceCall{attempt: a, slot: s, done: make(chan struct{})}
	timeout := time.Duration(a.call.Target.TimeoutMS) * time.Millisecond
	total := timeout
	if !a.call.repeatable() {
		total = max(timeout, lateAnswerTimeout)
	}
	g.ctx, g.cancel = context.WithTimeout(context.WithoutCancel(ctx), total)
	a.conductor.tomb.Go(g.run)
	select {
	case <-g.done:
		return g.out, g.fault
	case <-time.After(timeout):
	}
	if g.markLate() {
		return g.out, g.fault
	}
	return nil, classifier.New(classifier.OutcomeUnknown, classifier.RanUnknown,
		"%s did not answer within %v", s.replica, timeout).After(timeout)
}
