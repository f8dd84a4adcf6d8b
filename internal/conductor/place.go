package conductor

import (
	"context"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pimentorail.example/pimentorail/internal/allocator"
	"pimentorail.example/pimentorail/internal/declarer"
	"pimentorail.example/pimentorail/internal/router"
	"pimentorail.example/pimentorail/internal/sequencer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	probeTimeout   = 100 * time.Millisecond
	releaseTimeout = 2 * time.Second
	bytesPerToken  = 4
	unprobedWait   = 10 * time.Second
)

// slot is a slot of a replica, requested or granted.
type slot struct {
	conductor *Conductor
	id        string
	replica   string
	address   string
	account   string
	level     int
}

// release returns the slot to the replica's owner and reports the observed service times.
func (s *slot) release(q allocator.ReleaseRequest) {
	q.ID, q.Replica = s.id, s.replica
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, _ = callOwner(ctx, s.conductor.ownerClient, s.conductor.replicaPartition(s.replica), allocator.ServiceName+".Release", &q,
		func(*allocator.ReleaseReply) bool { return false })
}

func (c *Conductor) replicaPartition(replica string) int {
	return allocator.PartitionOf(replica, c.o.PartitionMap.Partitions())
}

// place probes a few replicas and acquires a slot of the best one that grants it. Otherwise
// it returns the fault with the shortest retry delay.
func (a *attempt) place(ctx context.Context, failed map[string]bool) (*slot, *classifier.Fault) {
	names := a.availableReplicas(failed)
	if len(names) == 0 {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "no replica of %q accepts calls", a.call.Target.Name).After(time.Second)
	}
	var fault *classifier.Fault
	for _, candidate := range a.rank(names) {
		s, f := a.acquire(ctx, candidate)
		if f == nil {
			return s, nil
		}
		if fault == nil || f.RetryAfterMS < fault.RetryAfterMS {
			fault = f
		}
	}
	return nil, fault
}

// availableReplicas returns the replicas that accept new calls. It leaves out those that
// failed this call, unless all of them did.
func (a *attempt) availableReplicas(failed map[string]bool) []string {
	var untried, fallback []string
	for _, r := range a.call.Target.Replicas {
		id := declarer.ReplicaID(a.call.Target.Name, r.Name)
		switch {
		case a.conductor.o.Leaving(id):
		case failed[id]:
			fallback = append(fallback, id)
		default:
			untried = append(untried, id)
		}
	}
	if len(untried) > 0 {
		return untried
	}
	return fallback
}

// rank probes a shortlist of replicas and orders them by expected completion time.
func (a *attempt) rank(names []string) []router.Candidate {
	last := ""
	if a.beginReply != nil {
		// LastTarget holds the id of a replica (fixed field name).
		last = a.beginReply.LastTarget
	}
	list := a.conductor.shortlist(names, last, a.prefix())
	candidates := make([]router.Candidate, len(list))
	var wait sync.WaitGroup
	for i, name := range list {
		p := &probe{attempt: a, candidate: &candidates[i], replica: name}
		if name == last {
			p.cachedTokens = a.beginReply.HistoryTokens
		}
		wait.Go(p.run)
	}
	wait.Wait()
	return router.Rank(candidates, router.CallSize{PromptTokens: a.promptTokens(), AnswerTokens: a.conductor.expectedAnswerTokens()})
}

// probe queries one replica's owner for its load. A replica that gives no answer in time
// counts with a wait of unprobedWait.
type probe struct {
	attempt      *attempt
	candidate    *router.Candidate
	replica      string
	cachedTokens int
}

func (p *probe) run() {
	c := p.attempt.conductor
	*p.candidate = router.Candidate{Replica: p.replica, Cached: p.cachedTokens, Wait: unprobedWait}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q := &allocator.ProbeRequest{Replica: p.replica, Account: p.attempt.call.Account.Name, Weight: p.attempt.call.Account.Weight}
	r, f := callOwner(ctx, c.ownerClient, c.replicaPartition(p.replica), allocator.ServiceName+".Probe", q,
		func(r *allocator.ProbeReply) bool { return r.Moved })
	if f != nil || r.Leaving {
		return
	}
	p.candidate.Wait, p.candidate.Gap, p.candidate.Stale = r.Wait, r.Gap, r.Stale
	p.candidate.Prefill, p.candidate.InFlight = r.Prefill, r.InFlight
}

// acquire waits in a replica's queue until a slot is granted, the replica's owner refuses
// or the wait exceeds its limit.
func (a *attempt) acquire(ctx context.Context, candidate router.Candidate) (*slot, *classifier.Fault) {
	c := a.conductor
	_, r, ok := c.o.Config.Snapshot().Replica(candidate.Replica)
	if !ok {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "replica %q is no longer declared", candidate.Replica).After(time.Second)
	}
	started := a.beginReply != nil && a.beginReply.Ticket.Number > 1
	s := &slot{conductor: c, id: a.id + "@" + candidate.Replica, replica: candidate.Replica, address: r.Address, account: a.call.Account.Name}
	q := &allocator.AcquireRequest{
		ID: s.id, Replica: s.replica, Session: c.o.PartitionMap.Session(), Account: s.account, Weight: a.call.Account.Weight,
		Tokens: max(0, a.promptTokens()-candidate.Cached), Limit: c.queueLimit(a.call, started), New: !started,
	}
	if a.beginReply != nil {
		q.Attained = a.beginReply.Attained
	}
	ctx, cancel := context.WithTimeout(ctx, q.Limit+ownerCallTimeout)
	defer cancel()
	for {
		reply, f := callOwner(ctx, c.ownerClient, c.replicaPartition(s.replica), allocator.ServiceName+".Acquire", q,
			func(r *allocator.AcquireReply) bool { return r.Moved })
		switch {
		case f != nil:
			s.release(allocator.ReleaseRequest{})
			return nil, f
		case reply.Fault != nil:
			return nil, reply.Fault
		case reply.Granted:
			s.level = reply.Level
			return s, nil
		case ctx.Err() != nil:
			s.release(allocator.ReleaseRequest{})
			return nil, classifier.New(classifier.Overloaded, classifier.RanNo, "no slot of %s was granted in time", s.replica).After(time.Second)
		}
	}
}

// promptTokens estimates the size of the prompt from its bytes.
func (a *attempt) promptTokens() int {
	messages := a.call.Messages
	if a.beginReply != nil {
		messages = a.beginReply.Prompt
	}
	n := len(a.call.Body)
	for _, m := range messages {
		n += len(m)
	}
	return n / bytesPerToken
}

// prefix identifies the account and the first message, which programs of one kind share.
func (a *attempt) prefix() string {
	messages := a.call.Messages
	if a.beginReply != nil {
		messages = a.beginReply.Prompt
	}
	if len(messages) == 0 {
		return ""
	}
	return a.call.Account.Name + string(messages[0])
}

func streamID(t sequencer.Ticket) string {
	sum := xxhash.Sum64String(t.Name.String() + "/" + strconv.Itoa(t.Number) + "/" + t.Hash)
	return t.Name.ID + "-" + strconv.Itoa(t.Number) + "-" + hex.EncodeToString([]byte(strconv.FormatUint(sum, 16)))
}
