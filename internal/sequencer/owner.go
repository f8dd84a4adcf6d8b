package sequencer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/journaler"
	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
	"pimentorail.example/pimentorail/pkg/classifier"
)

const (
	ticketLifetime = 15 * time.Second
	sweepPeriod    = time.Second
	idleLimit      = time.Minute
	maxBytes       = 128 << 20
	maxWaiting     = 16
	maxTurns       = 400
	reserveChunk   = 4096
	pollWait       = time.Second
	commitWait     = 5 * time.Second
	storeRetry     = 2 * time.Second
)

// Holder says which partitions this daemon owns; a Leaser is one.
type Holder interface {
	Owns(partition int) (leaser.Fence, bool)
	// Keeps reports whether the last known map names this daemon, whatever its lease.
	Keeps(partition int) bool
	Partitions() int
}

// Journal takes fenced records in order; a Journaler is one.
type Journal interface {
	Submit(f leaser.Fence, writes []storer.Write) (*journaler.Record, error)
	Away() bool
}

// Options configures an Owner.
type Options struct {
	Holder  Holder
	Journal Journal
	Table   storer.Table
	Objects storer.Objects
	// MaxTurns bounds the calls of a program; zero takes the default.
	MaxTurns int
	// MaxBytes bounds the histories in memory of programs without a call; zero takes the default.
	MaxBytes int
}

// Owner serves the programs of the partitions that its daemon owns.
type Owner struct {
	o        Options
	mu       sync.Mutex
	trees    map[Name]*tree
	draining map[int]bool
	// pending holds the last record of each root that may not be committed yet.
	pending map[Name]*journaler.Record
	tomb    *tomb.Tomb
}

// New returns an owner without programs.
func New(o Options) *Owner {
	if o.MaxTurns == 0 {
		o.MaxTurns = maxTurns
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = maxBytes
	}
	return &Owner{o: o, trees: map[Name]*tree{}, draining: map[int]bool{}, pending: map[Name]*journaler.Record{}}
}

// Start sweeps expired tickets and idle programs until the context ends.
func (o *Owner) Start(ctx context.Context) {
	o.tomb, _ = tomb.WithContext(ctx)
	o.tomb.Go(o.run)
}

// Wait returns when the owner has stopped.
func (o *Owner) Wait() error { return o.tomb.Wait() }

func (o *Owner) run() error {
	for {
		select {
		case <-time.After(sweepPeriod):
			o.sweep()
		case <-o.tomb.Dying():
			return nil
		}
	}
}

// Gained implements leaser.Observer.
func (o *Owner) Gained(f leaser.Fence) {
	o.Lost(f.Partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.draining, f.Partition)
}

// Lost implements leaser.Observer: programs of the partition are dropped from memory.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, t := range o.trees {
		if n.Partition(o.o.Holder.Partitions()) == partition {
			delete(o.trees, n)
			t.dead.Store(true)
		}
	}
}

// Drain implements leaser.Observer: no call begins or finishes here afterwards.
func (o *Owner) Drain(ctx context.Context, partition int) error {
	o.mu.Lock()
	o.draining[partition] = true
	o.mu.Unlock()
	f, ok := o.o.Holder.Owns(partition)
	if !ok {
		return nil
	}
	flush, err := o.o.Journal.Submit(f, nil)
	if err == nil {
		err = flush.Wait(ctx)
	}
	if err != nil {
		o.mu.Lock()
		delete(o.draining, partition)
		o.mu.Unlock()
	}
	return errors.Wrap(err, "flush")
}

// fence returns the partition's fence if calls may begin or finish here.
func (o *Owner) fence(n Name) (leaser.Fence, bool) {
	p := n.Partition(o.o.Holder.Partitions())
	o.mu.Lock()
	draining := o.draining[p]
	o.mu.Unlock()
	if draining {
		return leaser.Fence{}, false
	}
	return o.o.Holder.Owns(p)
}

// turnAway says why calls of a program can't be served here: another daemon owns
// it, or this one does and its lease lapsed, since the store does not answer.
func (o *Owner) turnAway(n Name, fault **classifier.Fault, moved *bool) {
	p := n.Partition(o.o.Holder.Partitions())
	if _, owns := o.o.Holder.Owns(p); !owns && o.o.Holder.Keeps(p) {
		*fault = storeAway(errors.New("the lease has lapsed"))
		return
	}
	*moved = true
}

// lockTree returns the locked tree of a root, loaded or not.
func (o *Owner) lockTree(root Name) *tree {
	for {
		o.mu.Lock()
		t, ok := o.trees[root]
		if !ok {
			t = newTree()
			o.trees[root] = t
		}
		o.mu.Unlock()
		t.acquire()
		if !t.dead.Load() {
			t.used = time.Now()
			return t
		}
		t.release()
	}
}

// enter returns the loaded and locked tree of a name.
func (o *Owner) enter(ctx context.Context, n Name) (*tree, *program, *classifier.Fault) {
	t := o.lockTree(n.Root())
	p, f := o.load(ctx, t, n)
	if f != nil {
		o.leaveEmpty(t, n)
		t.release()
		return nil, nil, f
	}
	return t, p, nil
}

// leaveEmpty forgets a locked tree whose root was not found.
func (o *Owner) leaveEmpty(t *tree, n Name) {
	if t.root == nil {
		o.drop(n.Root(), t)
	}
}

// drop forgets a locked tree.
func (o *Owner) drop(root Name, t *tree) {
	t.dead.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.trees[root] == t {
		delete(o.trees, root)
	}
}

// load reads the root and the named program if they are not in memory.
func (o *Owner) load(ctx context.Context, t *tree, n Name) (*program, *classifier.Fault) {
	if t.root == nil {
		if f := o.awaitPending(ctx, n.Root()); f != nil {
			return nil, f
		}
		p, f := o.read(ctx, n.Root())
		if f != nil {
			return nil, f
		}
		p.row.Spent += p.row.Reserved
		p.row.Reserved = 0
		t.root = p
		t.programs[p.name.ID] = p
	}
	if p, ok := t.programs[n.ID]; ok {
		return p, nil
	}
	if f := o.awaitPending(ctx, n.Root()); f != nil {
		return nil, f
	}
	p, f := o.read(ctx, n)
	if f != nil {
		return nil, f
	}
	t.programs[n.ID] = p
	return p, nil
}

// read fetches a program with its turns and checks the chain.
func (o *Owner) read(ctx context.Context, n Name) (*program, *classifier.Fault) {
	row, err := o.o.Table.Get(ctx, n.rowKey())
	if err != nil {
		return nil, storeAway(err)
	}
	if row.Version == 0 {
		return nil, classifier.New(classifier.NoSuchProgram, classifier.RanNo, "no program %q", n.ID)
	}
	r, err := decodeProgram(row.Value)
	if err != nil {
		return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: %v", n.ID, err)
	}
	p := newProgram(n, r)
	rows, err := storer.All(ctx, o.o.Table, n.turnPrefix())
	if err != nil {
		return nil, storeAway(err)
	}
	chain := ""
	for i, tr := range rows {
		t, err := decodeTurn(ctx, o.o.Objects, tr.Value)
		if err != nil {
			return nil, storeAway(err)
		}
		if t.Number != i+1 || t.Previous != chain || link(chain, t) != t.Chain {
			return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: turn %d breaks the chain", n.ID, i+1)
		}
		chain = t.Chain
		p.remember(t)
	}
	if r.Next != len(p.turns)+1 || r.Chain != chain {
		return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: %d turns for next %d", n.ID, len(p.turns), r.Next)
	}
	if in := r.Intent; in != nil {
		t := Ticket{Name: n, Number: in.Number, Attempt: in.Attempt, Kind: ServiceCall, Hash: in.Hash, Key: in.Key, Lifetime: ticketLifetime}
		p.open = &call{ticket: t, target: in.Target, persisted: true, expires: time.Now().Add(ticketLifetime)}
	}
	return p, nil
}

// submit queues rows of a locked tree; a full ring is a fault.
func (o *Owner) submit(n Name, f leaser.Fence, writes []storer.Write) (*journaler.Record, *classifier.Fault) {
	r, err := o.o.Journal.Submit(f, writes)
	if err != nil {
		return nil, storeAway(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[n.Root()] = r
	return r, nil
}

// awaitPending returns once all earlier records of a root are settled, so that a load sees them.
func (o *Owner) awaitPending(ctx context.Context, root Name) *classifier.Fault {
	o.mu.Lock()
	r := o.pending[root]
	o.mu.Unlock()
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollWait)
	defer cancel()
	if err := r.Wait(ctx); errors.Is(err, journaler.ErrDoubt) {
		return storeAway(err)
	}
	return nil
}

func storeAway(err error) *classifier.Fault {
	klog.V(1).Infof("sequencer: store away: %v", err)
	return classifier.New(classifier.StoreAway, classifier.RanNo, "the store does not answer").After(storeRetry)
}
