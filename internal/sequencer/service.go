package sequencer

import "context"

// Service exposes an Owner over net/rpc.
type Service struct {
	ctx   context.Context
	owner *Owner
}

// NewService returns the RPC service of an owner; the context bounds all calls.
func NewService(ctx context.Context, o *Owner) *Service { return &Service{ctx: ctx, owner: o} }

// Begin serves Owner.Begin.
func (s *Service) Begin(q *BeginRequest, r *BeginReply) error {
	s.owner.Begin(s.ctx, q, r)
	return nil
}

// Finish serves Owner.Finish.
func (s *Service) Finish(q *FinishRequest, r *FinishReply) error {
	s.owner.Finish(s.ctx, q, r)
	return nil
}

// Renew serves Owner.Renew.
func (s *Service) Renew(q *RenewRequest, r *RenewReply) error {
	s.owner.Renew(s.ctx, q, r)
	return nil
}

// Create serves Owner.Create.
func (s *Service) Create(q *CreateRequest, r *ViewReply) error {
	s.owner.Create(s.ctx, q, r)
	return nil
}

// Read serves Owner.Read.
func (s *Service) Read(q *ReadRequest, r *ViewReply) error {
	s.owner.Read(s.ctx, q, r)
	return nil
}

// End serves Owner.End.
func (s *Service) End(q *ReadRequest, r *ViewReply) error {
	s.owner.End(s.ctx, q, r)
	return nil
}

// Lookup serves Owner.Lookup.
func (s *Service) Lookup(q *LookupRequest, r *LookupReply) error {
	s.owner.Lookup(s.ctx, q, r)
	return nil
}

// Gone serves Owner.Gone.
func (s *Service) Gone(q *GoneRequest, r *GoneReply) error {
	s.owner.Gone(s.ctx, q, r)
	return nil
}
