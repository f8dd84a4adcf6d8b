package conductor

import (
	"context"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/dispatcher"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// serviceCall is an in-flight service call. It is late once the call's timeout has passed
// without an answer.
type serviceCall struct {
	attempt *attempt
	slot    *slot
	ctx     context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	late    bool
	done    chan struct{}
	out     *sequencer.Outcome
	fault   *classifier.Fault
}

func (g *serviceCall) run() error {
	defer g.cancel()
	c := g.attempt.call
	start := time.Now()
	q := dispatcher.ServiceRequest{
		ID: g.attempt.id, ContentType: c.ContentType, Body: c.Body, NotRunStatuses: c.Target.NotRunStatuses,
	}
	if !c.repeatable() {
		q.Valid = g.attempt.ticketValid
	}
	r, err := g.attempt.conductor.o.Targets.Service(g.ctx, g.slot.address, q)
	if err != nil {
		g.fault = g.outcomeUnknown(faultOf(err))
		g.slot.release(allocator.ReleaseRequest{Failed: true})
	} else {
		g.out = &sequencer.Outcome{Ran: classifier.RanYes, Status: r.Status, ContentType: r.ContentType, Content: r.Body}
		g.slot.release(allocator.ReleaseRequest{Service: 1, First: time.Since(start), Took: time.Since(start)})
	}
	g.mu.Lock()
	late := g.late
	close(g.done)
	g.mu.Unlock()
	if late && g.out != nil && g.attempt.beginReply != nil {
		out := *g.out
		// Target holds the id of the replica (fixed field name).
		out.Target = g.slot.replica
		_ = g.attempt.recordOutcome(context.Background(), out)
	}
	return nil
}

// outcomeUnknown converts the fault of a call that may have run and must not be repeated,
// so that the caller looks up the outcome later.
func (g *serviceCall) outcomeUnknown(f *classifier.Fault) *classifier.Fault {
	if f.Ran == classifier.RanUnknown && !g.attempt.call.repeatable() {
		return classifier.New(classifier.OutcomeUnknown, f.Ran, "%s", f.Message).After(time.Second)
	}
	return f
}

// markLate marks the answer as late; it returns true if the answer has already arrived.
func (g *serviceCall) markLate() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
		return true
	default:
		g.late = true
		return false
	}
}
