package allocator

import "context"

// Service serves an Owner by net/rpc.
type Service struct {
	ctx   context.Context
	owner *Owner
}

// NewService returns the RPC service of an owner; calls end with the context.
func NewService(ctx context.Context, o *Owner) *Service { return &Service{ctx: ctx, owner: o} }

// Acquire serves Owner.Acquire.
func (s *Service) Acquire(q *AcquireRequest, a *AcquireReply) error {
	s.owner.Acquire(s.ctx, q, a)
	return nil
}

// Release serves Owner.Release.
func (s *Service) Release(q *ReleaseRequest, a *ReleaseReply) error {
	s.owner.Release(q, a)
	return nil
}

// Probe serves Owner.Probe.
func (s *Service) Probe(q *ProbeRequest, a *ProbeReply) error {
	s.owner.Probe(q, a)
	return nil
}
