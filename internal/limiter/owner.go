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

// Holder says which partitions this daemon keeps; a Leaser is one.
type Holder interface {
	Keeps(partition int) bool
	Partitions() int
}

// Owner grants slices for the accounts of the partitions that its daemon keeps.
type Owner struct {
	holder   Holder
	limits   Limits
	mu       sync.Mutex
	accounts map[string]*Grants
	gained   map[int]time.Duration
	start    time.Time
}

// NewOwner returns an owner without grants.
func NewOwner(h Holder, l Limits) *Owner {
	return &Owner{holder: h, limits: l, accounts: map[string]*Grants{}, gained: map[int]time.Duration{}, start: time.Now()}
}

// PartitionOf returns the partition that an account belongs to.
func PartitionOf(account string, partitions int) int {
	return leaser.PartitionOf("account/"+account, partitions)
}

// Gained implements leaser.Observer: slices of an earlier owner may live for one lifetime.
func (o *Owner) Gained(f leaser.Fence) {
	o.Lost(f.Partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gained[f.Partition] = time.Since(o.start)
}

// Lost implements leaser.Observer: grants of the partition's accounts are forgotten.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for a := range o.accounts {
		if PartitionOf(a, o.holder.Partitions()) == partition {
			delete(o.accounts, a)
		}
	}
}

// Drain implements leaser.Observer.
func (o *Owner) Drain(context.Context, int) error { return nil }

// Ask grants a slice.
func (o *Owner) Ask(q *AskRequest, r *AskReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	partition := PartitionOf(q.Account, o.holder.Partitions())
	if !o.holder.Keeps(partition) {
		r.Moved = true
		return
	}
	limit, ok := o.limits.InFlight(q.Account)
	if !ok {
		return
	}
	now := time.Since(o.start)
	g := o.accounts[q.Account]
	if g == nil {
		g = NewGrants(o.gained[partition])
		o.accounts[q.Account] = g
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
