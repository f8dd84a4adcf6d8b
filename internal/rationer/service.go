package rationer

import (
	"context"
	"time"

	"pimentorail.example/pimentorail/internal/ratelimiter"
)

// Service serves the other members by net/rpc.
type Service struct{ rationer *Rationer }

// Service returns the RPC service for other members.
func (x *Rationer) Service() *Service { return &Service{x} }

// Take takes a credit for another daemon.
func (s *Service) Take(q TakeRequest, r *TakeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
	defer cancel()
	*r = s.rationer.serve(ctx, q)
	return nil
}

// GiveBack returns a credit.
func (s *Service) GiveBack(q GiveBackRequest, _ *Empty) error {
	s.rationer.giveBack(q.Key)
	return nil
}

// Vote decides on the ballot of a candidate.
func (s *Service) Vote(b ratelimiter.Ballot, r *ratelimiter.Vote) error {
	x := s.rationer
	x.mu.Lock()
	defer x.mu.Unlock()
	*r = x.limiter.Vote(b, time.Now())
	return nil
}

// Release takes an arc over from a member that stops.
func (s *Service) Release(r ratelimiter.Release, _ *Empty) error {
	x := s.rationer
	x.mu.Lock()
	defer x.mu.Unlock()
	x.limiter.Accept(r, time.Now())
	return nil
}

// Ping tells another member that this one is there.
func (s *Service) Ping(Empty, *Empty) error { return nil }
