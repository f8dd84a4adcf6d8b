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

// slot is a granted slot of a replica.
type slot struct {
	conductor *Conductor
	id        string
	replica   string
	address   string
	account   string
	level     int
}

// release returns the slot with what was observed.
func (s *slot) release(q allocator.ReleaseRequest) {
	q.ID, q.Replica = s.id, s.replica
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, _ = ask(ctx, s.conductor.owners, s.conductor.replicaPartition(s.replica), allocator.ServiceName+".Release", &q,
		func(*allocator.ReleaseReply) bool { return false })
}

func (c *Conductor) replicaPartition(replica string) int {
	return allocator.PartitionOf(replica, c.o.Map.Partitions())
}

// place asks a few replicas, queues at the best and returns its slot.
func (w *work) place(ctx context.Context, failed map[string]bool) (*slot, *classifier.Fault) {
	names := w.usable(failed)
	if len(names) == 0 {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "no replica of %q takes calls", w.call.Target.Name).After(time.Second)
	}
	var fault *classifier.Fault
	for _, cand := range w.rank(names) {
		s, f := w.acquire(ctx, cand)
		if f == nil {
			return s, nil
		}
		if fault == nil || f.RetryAfterMS < fault.RetryAfterMS {
			fault = f
		}
	}
	return nil, fault
}

// usable returns the replicas that take new work, those that have not failed if there are any.
func (w *work) usable(failed map[string]bool) []string {
	var fresh, rest []string
	for _, r := range w.call.Target.Replicas {
		id := declarer.ReplicaID(w.call.Target.Name, r.Name)
		switch {
		case w.conductor.o.Leaving(id):
		case failed[id]:
			rest = append(rest, id)
		default:
			fresh = append(fresh, id)
		}
	}
	if len(fresh) > 0 {
		return fresh
	}
	return rest
}

// rank probes a short list of replicas and orders them by expected completion.
func (w *work) rank(names []string) []router.Candidate {
	last := ""
	if w.begun != nil {
		last = w.begun.LastTarget
	}
	list := w.conductor.shortlist(names, last, w.prefix())
	candidates := make([]router.Candidate, len(list))
	var wait sync.WaitGroup
	for i, name := range list {
		p := &probe{work: w, into: &candidates[i], name: name}
		if name == last {
			p.cached = w.begun.HistoryTokens
		}
		wait.Go(p.run)
	}
	wait.Wait()
	return router.Choose(candidates, router.Prompt{Tokens: w.promptTokens(), Answer: w.conductor.expectedAnswer()})
}

// probe asks one replica's owner.
type probe struct {
	work   *work
	into   *router.Candidate
	name   string
	cached int
}

func (p *probe) run() {
	c := p.work.conductor
	*p.into = router.Candidate{Replica: p.name, Cached: p.cached, Wait: unprobedWait}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q := &allocator.ProbeRequest{Replica: p.name, Account: p.work.call.Account.Name, Weight: p.work.call.Account.Weight}
	r, f := ask(ctx, c.owners, c.replicaPartition(p.name), allocator.ServiceName+".Probe", q,
		func(r *allocator.ProbeReply) bool { return r.Moved })
	if f != nil || r.Leaving {
		return
	}
	p.into.Wait, p.into.Gap, p.into.Stale = r.Wait, r.Gap, r.Stale
	p.into.Prefill, p.into.Beside = r.Prefill, r.InFlight
}

// acquire queues at a replica until a slot is granted or the wait is refused.
func (w *work) acquire(ctx context.Context, cand router.Candidate) (*slot, *classifier.Fault) {
	c := w.conductor
	_, r, ok := c.o.Config.Snapshot().Replica(cand.Replica)
	if !ok {
		return nil, classifier.New(classifier.TargetAway, classifier.RanNo, "replica %q is no longer declared", cand.Replica).After(time.Second)
	}
	started := w.begun != nil && w.begun.Ticket.Number > 1
	s := &slot{conductor: c, id: w.attempt + "@" + cand.Replica, replica: cand.Replica, address: r.Address, account: w.call.Account.Name}
	q := &allocator.AcquireRequest{
		ID: s.id, Replica: s.replica, Session: c.o.Map.Session(), Account: s.account, Weight: w.call.Account.Weight,
		Tokens: max(0, w.promptTokens()-cand.Cached), Limit: c.queueLimit(w.call, started), New: !started,
	}
	if w.begun != nil {
		q.Attained = w.begun.Attained
	}
	ctx, cancel := context.WithTimeout(ctx, q.Limit+callTimeout)
	defer cancel()
	for {
		a, f := ask(ctx, c.owners, c.replicaPartition(s.replica), allocator.ServiceName+".Acquire", q,
			func(r *allocator.AcquireReply) bool { return r.Moved })
		switch {
		case f != nil:
			s.release(allocator.ReleaseRequest{})
			return nil, f
		case a.Fault != nil:
			return nil, a.Fault
		case a.Granted:
			s.level = a.Level
			return s, nil
		case ctx.Err() != nil:
			s.release(allocator.ReleaseRequest{})
			return nil, classifier.New(classifier.Overloaded, classifier.RanNo, "no slot of %s in time", s.replica).After(time.Second)
		}
	}
}

// promptTokens estimates the size of the prompt.
func (w *work) promptTokens() int {
	messages := w.call.Messages
	if w.begun != nil {
		messages = w.begun.Prompt
	}
	n := len(w.call.Body)
	for _, m := range messages {
		n += len(m)
	}
	return n / bytesPerToken
}

// prefix identifies the first message, which programs of one kind share.
func (w *work) prefix() string {
	messages := w.call.Messages
	if w.begun != nil {
		messages = w.begun.Prompt
	}
	if len(messages) == 0 {
		return ""
	}
	return w.call.Account.Name + string(messages[0])
}

func streamID(t sequencer.Ticket) string {
	sum := xxhash.Sum64String(t.Name.String() + "/" + strconv.Itoa(t.Number) + "/" + t.Hash)
	return t.Name.ID + "-" + strconv.Itoa(t.Number) + "-" + hex.EncodeToString([]byte(strconv.FormatUint(sum, 16)))
}
