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
	ticketLifetime     = 15 * time.Second
	sweepPeriod        = time.Second
	idleTimeout        = time.Minute
	defaultMaxBytes    = 128 << 20
	maxWaitingCalls    = 16
	defaultMaxTurns    = 400
	reserveChunkTokens = 4096
	pollTimeout        = time.Second
	commitTimeout      = 5 * time.Second
	storeRetryAfter    = 2 * time.Second
)

// Ownership reports which partitions this daemon owns. leaser.Leaser implements it.
type Ownership interface {
	// Owns returns the fence of a partition while this daemon holds a valid lease on it.
	Owns(partition int) (leaser.Fence, bool)
	// Assigned reports whether the last known map assigns the partition to this daemon,
	// even if its lease has lapsed.
	Assigned(partition int) bool
	Partitions() int
}

// Journal commits fenced records in order. journaler.Journaler implements it.
type Journal interface {
	Submit(f leaser.Fence, writes []storer.Write) (*journaler.Record, error)
	// Unavailable reports whether the store is unavailable.
	Unavailable() bool
}

// Options configures an Owner.
type Options struct {
	Ownership Ownership
	Journal   Journal
	Table     storer.Table
	Objects   storer.Objects
	// MaxTurns bounds the recorded calls of a program; zero means the default.
	MaxTurns int
	// MaxBytes bounds the histories in memory: above it, idle trees are evicted.
	// Zero means the default.
	MaxBytes int
}

// Owner serves the programs of the partitions that this daemon owns.
type Owner struct {
	options  Options
	mu       sync.Mutex
	trees    map[Name]*tree
	draining map[int]bool
	// pending holds the last submitted record of each root until it is committed or
	// failed.
	pending map[Name]*journaler.Record
	tomb    *tomb.Tomb
}

// New returns an owner with no programs loaded.
func New(o Options) *Owner {
	if o.MaxTurns == 0 {
		o.MaxTurns = defaultMaxTurns
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	return &Owner{options: o, trees: map[Name]*tree{}, draining: map[int]bool{}, pending: map[Name]*journaler.Record{}}
}

// Start runs the periodic sweep of expired tickets and idle trees until the context ends.
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

// Gained implements leaser.Observer: it discards stale state and ends draining.
func (o *Owner) Gained(f leaser.Fence) {
	o.Lost(f.Partition)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.draining, f.Partition)
}

// Lost implements leaser.Observer: it drops the partition's programs from memory.
func (o *Owner) Lost(partition int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for n, t := range o.trees {
		if n.Partition(o.options.Ownership.Partitions()) == partition {
			delete(o.trees, n)
			t.dropped.Store(true)
		}
	}
}

// Drain implements leaser.Observer: it stops calls from beginning or finishing here and
// waits until the records submitted so far are committed or failed. If that fails, draining
// ends.
func (o *Owner) Drain(ctx context.Context, partition int) error {
	o.mu.Lock()
	o.draining[partition] = true
	o.mu.Unlock()
	f, ok := o.options.Ownership.Owns(partition)
	if !ok {
		return nil
	}
	flush, err := o.options.Journal.Submit(f, nil)
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

// fence returns the fence of the program's partition, and false if this daemon does not
// own the partition or drains it.
func (o *Owner) fence(n Name) (leaser.Fence, bool) {
	p := n.Partition(o.options.Ownership.Partitions())
	o.mu.Lock()
	draining := o.draining[p]
	o.mu.Unlock()
	if draining {
		return leaser.Fence{}, false
	}
	return o.options.Ownership.Owns(p)
}

// replyNotOwner fills in why calls of a program can't be served here: either another
// daemon owns it, or this daemon's lease lapsed because the store is unavailable.
func (o *Owner) replyNotOwner(n Name, fault **classifier.Fault, moved *bool) {
	p := n.Partition(o.options.Ownership.Partitions())
	if _, owns := o.options.Ownership.Owns(p); !owns && o.options.Ownership.Assigned(p) {
		*fault = storeUnavailable(errors.New("the lease has lapsed"))
		return
	}
	*moved = true
}

// lockTree returns the locked tree of a root and creates an empty one if there is none.
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
		if !t.dropped.Load() {
			t.lastUsed = time.Now()
			return t
		}
		t.release()
	}
}

// lockLoaded locks the program's tree and loads the root and the program.
func (o *Owner) lockLoaded(ctx context.Context, n Name) (*tree, *program, *classifier.Fault) {
	t := o.lockTree(n.Root())
	p, f := o.load(ctx, t, n)
	if f != nil {
		o.dropIfEmpty(t, n)
		t.release()
		return nil, nil, f
	}
	return t, p, nil
}

// dropIfEmpty drops a locked tree whose root is not loaded.
func (o *Owner) dropIfEmpty(t *tree, n Name) {
	if t.root == nil {
		o.drop(n.Root(), t)
	}
}

// drop removes a locked tree from memory; waiters for its lock then look it up again.
func (o *Owner) drop(root Name, t *tree) {
	t.dropped.Store(true)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.trees[root] == t {
		delete(o.trees, root)
	}
}

// load reads the root and the named program if they are not in memory. A stored
// reservation of the root counts as spent, since an earlier owner's calls may have used it.
func (o *Owner) load(ctx context.Context, t *tree, n Name) (*program, *classifier.Fault) {
	if t.root == nil {
		if f := o.awaitPending(ctx, n.Root()); f != nil {
			return nil, f
		}
		p, f := o.readProgram(ctx, n.Root())
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
	p, f := o.readProgram(ctx, n)
	if f != nil {
		return nil, f
	}
	t.programs[n.ID] = p
	return p, nil
}

// readProgram reads a program with its turns from the store and verifies the hash chain.
// An intent becomes an in-flight call with a new lifetime.
func (o *Owner) readProgram(ctx context.Context, n Name) (*program, *classifier.Fault) {
	row, err := o.options.Table.Get(ctx, n.rowKey())
	if err != nil {
		return nil, storeUnavailable(err)
	}
	if row.Version == 0 {
		return nil, classifier.New(classifier.NoSuchProgram, classifier.RanNo, "no program %q", n.ID)
	}
	r, err := decodeProgram(row.Value)
	if err != nil {
		return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: %v", n.ID, err)
	}
	p := newProgram(n, r)
	rows, err := storer.ScanAll(ctx, o.options.Table, n.turnPrefix())
	if err != nil {
		return nil, storeUnavailable(err)
	}
	chain := ""
	for i, tr := range rows {
		t, err := decodeTurn(ctx, o.options.Objects, tr.Value)
		if err != nil {
			return nil, storeUnavailable(err)
		}
		if t.Number != i+1 || t.Previous != chain || chainHash(chain, t) != t.Chain {
			return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: turn %d does not continue the hash chain", n.ID, i+1)
		}
		chain = t.Chain
		p.addTurn(t)
	}
	if r.NextNumber != len(p.turns)+1 || r.Chain != chain {
		return nil, classifier.New(classifier.Internal, classifier.RanNo, "program %q: %d turns are stored, but the next number is %d or the chain differs", n.ID, len(p.turns), r.NextNumber)
	}
	if in := r.Intent; in != nil {
		t := Ticket{Name: n, Number: in.Number, Attempt: in.Attempt, Kind: ServiceCall, Hash: in.Hash, Key: in.Key, Lifetime: ticketLifetime}
		// The replica is not stored in the intent. The target's name stands in for it until a
		// renewal sets the replica.
		p.openCall = &call{ticket: t, replica: in.TargetName, persisted: true, expires: time.Now().Add(ticketLifetime)}
	}
	return p, nil
}

// submit queues writes of a locked tree, or returns a fault if the journal's queue is full.
func (o *Owner) submit(n Name, f leaser.Fence, writes []storer.Write) (*journaler.Record, *classifier.Fault) {
	r, err := o.options.Journal.Submit(f, writes)
	if err != nil {
		return nil, storeUnavailable(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[n.Root()] = r
	return r, nil
}

// awaitPending waits until all earlier records of a root are committed or failed, so that a
// load reads their effects.
func (o *Owner) awaitPending(ctx context.Context, root Name) *classifier.Fault {
	o.mu.Lock()
	r := o.pending[root]
	o.mu.Unlock()
	if r == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := r.Wait(ctx); errors.Is(err, journaler.ErrInDoubt) {
		return storeUnavailable(err)
	}
	return nil
}

func storeUnavailable(err error) *classifier.Fault {
	klog.V(1).Infof("sequencer: store unavailable: %v", err)
	return classifier.New(classifier.StoreAway, classifier.RanNo, "the store does not answer").After(storeRetryAfter)
}
