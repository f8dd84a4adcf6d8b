package conductor

import (
	"context"

	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

// Create creates a program.
func (c *Conductor) Create(ctx context.Context, q sequencer.CreateRequest) (*sequencer.View, *classifier.Fault) {
	return c.view(ctx, "Create", q.Name, &q)
}

// Read returns a program's state and, if requested, its history.
func (c *Conductor) Read(ctx context.Context, q sequencer.ReadRequest) (*sequencer.View, *classifier.Fault) {
	return c.view(ctx, "Read", q.Name, &q)
}

// End ends a program.
func (c *Conductor) End(ctx context.Context, q sequencer.ReadRequest) (*sequencer.View, *classifier.Fault) {
	return c.view(ctx, "End", q.Name, &q)
}

// view calls a method of the program's owner that replies with a view.
func (c *Conductor) view(ctx context.Context, method string, n sequencer.Name, args any) (*sequencer.View, *classifier.Fault) {
	if f := n.Check(); f != nil {
		return nil, f
	}
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	r, f := callOwner(ctx, c.ownerClient, n.Partition(c.o.PartitionMap.Partitions()), sequencer.ServiceName+"."+method, args,
		func(r *sequencer.ViewReply) bool { return r.Moved })
	switch {
	case f != nil && method != "Read":
		// The reply may be lost although the change took effect.
		return nil, f.With(classifier.RanUnknown)
	case f != nil:
		return nil, f
	case r.Fault != nil:
		return nil, r.Fault
	}
	return &r.View, nil
}

// Lookup returns the recorded outcome of a call.
func (c *Conductor) Lookup(ctx context.Context, q sequencer.LookupRequest) (*sequencer.Outcome, *classifier.Fault) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	r, f := callOwner(ctx, c.ownerClient, q.Name.Partition(c.o.PartitionMap.Partitions()), sequencer.ServiceName+".Lookup", &q,
		func(r *sequencer.LookupReply) bool { return r.Moved })
	if f != nil {
		return nil, f
	}
	return &r.Outcome, r.Fault
}
