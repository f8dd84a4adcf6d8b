package limiter

import (
	"context"
	"sync"
	"time"

	"pimentorail.example/pimentorail/internal/leaser"
)

// Limits returns the in-flight limit of an account, and false if it is not declared.
type Limits interface {
	InFlight(account string) (int, bool)
}

// Ownership reports which partitions the last known map assigns to this daemon, whether or
// not its lease is valid. A leaser.Leaser implements it.
type Ownership interface {
	Assigned(partition int) bool
	Partitions() int
}

// Owner grants slices for the accounts of the partitions that its daemon owns.
type Owner struct {
	ownership Ownership
	limits    Limits
	mu        sync.Mutex
	grants    map[string]*Grants
	gained    map[int]time.Duration
	start     time.Time
}

// NewOwner returns an owner without grants.
func NewOwner(p Ownership, l Limits) *Owner {
	return &Owner{ownership: p, limits: l, grants: map[string]*Grants{}, gained: map[int]time.Duration{}, start: time.Now()}
}

// PartitionOf returns the partition that an account belongs to.
func PartitionOf(account string, partitions int) int {
	return leaser.PartitionOf("account/"+account, partitions)
}

// Gained implements leaser.Observer. It records the time, since slices of the previous owner
// may be valid for one more lifetime.
func (o *Owner) Gained(f leaser.Fence) {
	o.Lost(f.Partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gained[f.Partition] = time.Since(o.start)
}

// Lost implements leaser.Observer. It discards the grants of the partition's accounts.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.grants {
		if PartitionOf(a, o.ownership.Partitions()) == partition {
			delete(o.grants, a)
		}
	}
}

// Drain implements leaser.Observer.
func (o *Owner) Drain(context.Context, int) error { return nil }

// Ask grants a slice of an account's limit to a holder.
func (o *Owner) Ask(q *AskRequest, r *AskReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	partition := PartitionOf(q.Account, o.ownership.Partitions())
	if !o.ownership.Assigned(partition) {
		r.Moved = true
		return
	}
	limit, ok := o.limits.InFlight(q.Account)
	if !ok {
		return
	}
	now := time.Since(o.start)
	g := o.grants[q.Account]
	if g == nil {
		g = NewGrants(o.gained[partition])
		o.grants[q.Account] = g
	}
	r.Amount = g.Ask(q.Holder, q.Want, min(q.Held, limit), limit, now)
}

// Service serves an Owner by net/rpc.
type Service struct{ owner *Owner }

// NewService returns the RPC service of an owner.
func NewService(o *Owner) *Service { return &Service{owner: o} }

// Ask serves Owner.Ask.
func (s *Service) Ask(q *AskRequest, r *AskReply) error {
	s.owner.Ask(q, r)
	return nil
}
