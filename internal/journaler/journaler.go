package journaler

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"pimentorail.example/pimentorail/internal/leaser"
	"pimentorail.example/pimentorail/internal/storer"
)

const (
	ringRecords     = 4096
	maxBatchRecords = 512
	maxBatchBytes   = 4 << 20
	firstBackoff    = 20 * time.Millisecond
	lastBackoff     = time.Second
	awayAfter       = 700 * time.Millisecond
)

// Options configures a Journaler.
type Options struct {
	Table   storer.Table
	Session string
	// Interval is the least time between the starts of two batches.
	Interval time.Duration
}

// Counts counts what a Journaler has committed.
type Counts struct {
	Batches int
	Records int
	Bytes   int
}

// Journaler batches records into fenced transactions.
type Journaler struct {
	o       Options
	ring    chan *Record
	mu      sync.Mutex
	failing time.Time
	counts  Counts
	number  uint64
	version uint64
	tomb    *tomb.Tomb
}

// New returns a journaler that accepts records and commits them once started.
func New(o Options) *Journaler {
	return &Journaler{o: o, ring: make(chan *Record, ringRecords)}
}

// Start commits batches until the context ends.
func (j *Journaler) Start(ctx context.Context) {
	j.tomb, _ = tomb.WithContext(ctx)
	j.tomb.Go(j.run)
}

// Wait returns when the journaler has stopped.
func (j *Journaler) Wait() error { return j.tomb.Wait() }

// Submit queues writes in order, or fails with ErrFull.
func (j *Journaler) Submit(f leaser.Fence, writes []storer.Write) (*Record, error) {
	r := newRecord(f, writes)
	select {
	case j.ring <- r:
		return r, nil
	default:
		return nil, ErrFull
	}
}

// Away reports whether the store has not taken a batch for a while.
func (j *Journaler) Away() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.failing.IsZero() && time.Since(j.failing) > awayAfter
}

// Counts returns what was committed so far.
func (j *Journaler) Counts() Counts {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.counts
}

func (j *Journaler) run() error {
	ctx := j.tomb.Context(context.Background())
	for {
		select {
		case r := <-j.ring:
			start := time.Now()
			j.commit(ctx, j.gather(r))
			j.pause(j.o.Interval - time.Since(start))
		case <-j.tomb.Dying():
			j.drain()
			return nil
		}
	}
}

func (j *Journaler) pause(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-j.tomb.Dying():
	}
}

// gather takes what waits in the ring, within the bounds of a batch.
func (j *Journaler) gather(first *Record) *batch {
	j.number++
	b := &batch{number: j.number, records: []*Record{first}}
	size := recordBytes(first)
	for len(b.records) < maxBatchRecords && size < maxBatchBytes {
		select {
		case r := <-j.ring:
			b.records = append(b.records, r)
			size += recordBytes(r)
		default:
			return b
		}
	}
	return b
}

func recordBytes(r *Record) int {
	n := 0
	for _, w := range r.writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}

// commit repeats a batch until each of its records is settled.
func (j *Journaler) commit(ctx context.Context, b *batch) {
	backoff := firstBackoff
	key := batchPrefix + j.o.Session
	b.reject(b.fenceVersions())
	for len(b.records) > 0 {
		tx, s := b.transaction(key, j.version)
		version, err := j.o.Table.Commit(ctx, tx)
		if err == nil {
			j.succeed(b, tx, version)
			return
		}
		if ctx.Err() != nil {
			b.settle(ErrClosed)
			return
		}
		if !errors.Is(err, storer.ErrConflict) {
			j.fail(err)
		}
		applied, err := j.resolve(ctx, b, key, s)
		if err != nil {
			j.fail(err)
			j.pause(backoff)
			backoff = min(2*backoff, lastBackoff)
		}
		if applied {
			j.succeed(b, tx, j.version)
			return
		}
	}
	// The store has answered that every record is fenced off.
	j.recover()
}

// recover notes that the store answers.
func (j *Journaler) recover() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failing = time.Time{}
}

// resolve reads back whether the batch took effect, and rejects what is fenced off.
func (j *Journaler) resolve(ctx context.Context, b *batch, key string, s stamp) (bool, error) {
	row, err := j.o.Table.Get(ctx, key)
	if err != nil {
		return false, err
	}
	j.version = row.Version
	var got stamp
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &got); err != nil {
			return false, errors.Wrap(err, "batch row")
		}
	}
	if got == s {
		return true, nil
	}
	versions := map[string]uint64{}
	for k := range b.fenceVersions() {
		part, err := j.o.Table.Get(ctx, k)
		if err != nil {
			return false, err
		}
		versions[k] = part.Version
	}
	b.reject(versions)
	return false, nil
}

func (j *Journaler) fail(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failing.IsZero() {
		j.failing = time.Now()
		klog.Warningf("journaler: store fails: %v", err)
	}
}

func (j *Journaler) succeed(b *batch, tx storer.Transaction, version uint64) {
	j.version = version
	j.recover()
	j.mu.Lock()
	j.counts.Batches++
	j.counts.Records += len(b.records)
	for _, w := range tx.Writes {
		j.counts.Bytes += len(w.Key) + len(w.Value)
	}
	j.mu.Unlock()
	b.settle(nil)
}

// drain settles what was never sent.
func (j *Journaler) drain() {
	for {
		select {
		case r := <-j.ring:
			r.settle(ErrClosed)
		default:
			return
		}
	}
}
